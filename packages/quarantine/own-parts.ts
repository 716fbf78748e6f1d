/**
 * Decides on requests by their own part, which no other request shares: a request that crashes
 * servers for a reason of its own is not tried on further ones, also if its caller repeats it.
 */

import type { PromptPartId } from "../common/ids.ts";
import {
  convictionOdds,
  crashReportsMilliseconds,
  maximumCrashesOfRequest,
  minimumCrashesOfRequest,
  ownPriorChance,
} from "./constants.ts";
import type { CrashEvidence } from "./crash-evidence.ts";

/**
 * `repeated`: servers crashed under the request, which may go to a further one. `trial`: it goes to
 * the server with the fewest requests. `held`: reports of the last crash may be missing.
 */
export type OwnStanding =
  | { readonly kind: "clear" | "repeated" | "trial" | "held" }
  | {
    readonly kind: "rejected";
    readonly crashes: number;
    readonly odds: number;
    /** Monotonic milliseconds. */
    readonly lastCrashAt: number;
  };

export function judgeOwnPart(
  evidence: CrashEvidence,
  ownPart: PromptPartId | undefined,
  now: number,
): OwnStanding {
  if (!ownPart || !evidence.hasCrashes(ownPart)) return { kind: "clear" };
  const times = evidence.crashTimes(ownPart);
  const crashes = times.length;
  if (crashes < minimumCrashesOfRequest) return { kind: "repeated" };
  const lastCrashAt = times.at(-1)!;
  if (now - lastCrashAt < crashReportsMilliseconds) return { kind: "held" };
  const odds = evidence.explanationsOf(ownPart).reduce(
    (product, chance) => product / chance,
    ownPriorChance / (1 - ownPriorChance),
  );
  const mustStop = crashes >= maximumCrashesOfRequest;
  if (mustStop || odds >= convictionOdds) {
    return { kind: "rejected", crashes, odds, lastCrashAt };
  }
  return { kind: "trial" };
}
