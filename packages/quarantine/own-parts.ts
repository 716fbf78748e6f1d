/**
 * Decides on requests by their own part, which no other request shares: a request that crashes
 * servers for a reason of its own is not tried on further ones, also if its caller repeats it.
 */

import type { Clock } from "../common/clock.ts";
import type { PromptPartId } from "../common/ids.ts";
import {
  convictionOdds,
  crashReportsMilliseconds,
  maximumCrashesOfRequest,
  minimumCrashesOfRequest,
  ownPriorChance,
} from "./constants.ts";
import type { CrashEvidence } from "./crash-evidence.ts";
import type { Verdict } from "./verdict-records.ts";

/**
 * `repeated`: servers crashed under the request, which may go to a further one. `trial`: it goes to
 * the server with the fewest requests. `held`: reports of the last crash may be missing, or, with
 * the number of crashes, it must not be sent again although something else may be the cause.
 */
export type OwnStanding =
  | { readonly kind: "clear" | "repeated" | "trial" }
  | { readonly kind: "held"; readonly crashes?: number }
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
  if (odds >= (mustStop ? 1 : convictionOdds)) {
    return { kind: "rejected", crashes, odds, lastCrashAt };
  }
  return mustStop ? { kind: "held", crashes } : { kind: "trial" };
}

/** The reason for the rejection of a request; it is not stored. */
export function verdictOnOwnPart(
  part: PromptPartId,
  { crashes, odds, lastCrashAt }: Extract<OwnStanding, { kind: "rejected" }>,
  clock: Clock,
): Verdict {
  return {
    part,
    alternatives: [],
    crashes,
    requests: 1,
    odds: Math.round(odds),
    decidedAt: clock.wallNow() - (clock.monotonicNow() - lastCrashAt),
  };
}
