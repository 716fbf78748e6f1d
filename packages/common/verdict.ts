/**
 * The verdict on a failed request: whether it may have run. Only the verdict `not_run` allows a
 * retry of a request that is not marked as repeatable.
 */

export type Verdict = "not_run" | "unknown" | "ran";

/** Returns the value of the field `not_run` in an error response to a caller. */
export function notRunField(verdict: Verdict): boolean | "unknown" {
  if (verdict === "unknown") return "unknown";
  return verdict === "not_run";
}
