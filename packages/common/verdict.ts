/**
 * The verdict on a request that failed: may it have run? Only a request with the verdict
 * `not_run` may be sent again without permission to repeat it.
 */

export type Verdict = "not_run" | "unknown" | "ran";

/** The value of `not_run` in an error answer to a caller. */
export function notRunField(verdict: Verdict): boolean | "unknown" {
  if (verdict === "unknown") return "unknown";
  return verdict === "not_run";
}
