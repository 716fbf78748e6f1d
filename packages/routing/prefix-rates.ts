/**
 * Measured request rates of prompt prefixes, and from them the number of engines a prefix may
 * spread over: a prefix that is rarely asked for stays where it is cached.
 */

import {
  maximumAffinityCandidates,
  maximumTrackedPrefixes,
  minimumAffinityCandidates,
  prefixRatePerCandidate,
  prefixRateWindowMilliseconds,
} from "./constants.ts";

interface PrefixCount {
  windowStart: number;
  current: number;
  previous: number;
}

export class PrefixRates {
  /** In order of last use, so that the first entry is the one to drop. */
  readonly #counts = new Map<string, PrefixCount>();

  /** Counts one request and returns the rate of the prefix in requests a second. */
  record(prefix: string, now: number): number {
    const window = prefixRateWindowMilliseconds;
    let count = this.#counts.get(prefix);
    if (!count || now - count.windowStart >= 2 * window) {
      count = { windowStart: now, current: 0, previous: 0 };
    } else if (now - count.windowStart >= window) {
      count.windowStart += window;
      count.previous = count.current;
      count.current = 0;
    }
    count.current += 1;
    this.#counts.delete(prefix);
    this.#counts.set(prefix, count);
    if (this.#counts.size > maximumTrackedPrefixes) {
      const [oldest] = this.#counts.keys();
      if (oldest !== undefined) this.#counts.delete(oldest);
    }
    const remaining = 1 - (now - count.windowStart) / window;
    return (count.current + count.previous * remaining) / (window / 1000);
  }
}

/** Number of rendezvous candidates for a prefix with the given rate. */
export function affinityCandidateCountFor(requestsPerSecond: number): number {
  return Math.min(
    maximumAffinityCandidates,
    minimumAffinityCandidates +
      Math.floor(requestsPerSecond / prefixRatePerCandidate),
  );
}
