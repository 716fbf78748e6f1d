/**
 * The odds that a prompt part crashes the servers that begin to answer on it. A part that does so
 * meets a crash in every run and never gets an answer. If it is harmless, something else explains
 * the crashes; each such explanation multiplies the odds by the inverse of its probability, which
 * is at least the rate at which other runs meet crashes.
 */

import {
  assumedCrashedRuns,
  assumedRuns,
  begunBeforeFactor,
  convictionOdds,
  minimumCrashedRequests,
  minimumCrashRate,
  minimumOtherBegins,
  minimumRequestsIfSingledOut,
  priorOdds,
  suspicionOdds,
} from "./constants.ts";

export interface PartCounts {
  /**
   * Separate times at which a server crashed while a request with the part had not been answered
   * yet, since the last answer to such a request.
   */
  readonly crashes: number;
  /** What else explains these crashes: how likely each such explanation is. */
  readonly explanations: readonly number[];
  /** Different requests with the part among them. */
  readonly requests: number;
  /** One of the crashes has no other explanation. */
  readonly isSingledOut: boolean;
  /** An answer to a request with the part has begun before these crashes. */
  readonly hasBegunBefore: boolean;
  /** Runs at the same services that met other crashes before their answer, without the part. */
  readonly otherCrashedRuns: number;
  /** Runs at the same services whose answer has begun. */
  readonly otherBegins: number;
}

export type PartStanding = "clear" | "suspected" | "convicted";

export interface PartAssessment {
  readonly odds: number;
  readonly standing: PartStanding;
}

/** False if a part cannot be suspected, whatever explains its crashes. */
export function mayBeSuspected(
  { crashes, hasBegunBefore }: { crashes: number; hasBegunBefore: boolean },
): boolean {
  return priorOf(hasBegunBefore) * minimumCrashRate ** -crashes >=
    suspicionOdds;
}

export function assessPart(counts: PartCounts): PartAssessment {
  const odds = oddsOf(counts);
  // If nothing is answered, every part looks alike, and the fault may be the service's.
  const isServiceSound = counts.otherBegins >= minimumOtherBegins;
  const hasEnoughRequests = counts.requests >= neededRequests(counts);
  if (counts.crashes === 0 || odds < suspicionOdds) {
    return { odds, standing: "clear" };
  }
  const isConvicted = odds >= convictionOdds && hasEnoughRequests &&
    isServiceSound;
  return { odds, standing: isConvicted ? "convicted" : "suspected" };
}

function neededRequests({ isSingledOut }: PartCounts): number {
  return isSingledOut ? minimumRequestsIfSingledOut : minimumCrashedRequests;
}

function oddsOf(
  { explanations, hasBegunBefore, otherCrashedRuns, otherBegins }: PartCounts,
): number {
  const expectedRate = (otherCrashedRuns + assumedCrashedRuns) /
    (otherCrashedRuns + otherBegins + assumedRuns);
  const rate = Math.max(minimumCrashRate, expectedRate);
  return explanations.reduce(
    (odds, chance) => odds / Math.max(rate, chance),
    priorOf(hasBegunBefore),
  );
}

function priorOf(hasBegunBefore: boolean): number {
  return priorOdds * (hasBegunBefore ? begunBeforeFactor : 1);
}
