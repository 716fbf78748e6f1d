/**
 * Measures the request rate of each prompt prefix and derives the number of engines that serve
 * it: a rarely requested prefix stays on the few engines that have it in their cache.
 */

import {
  maximumAffinityCandidates,
  maximumTrackedPrefixes,
  minimumAffinityCandidates,
  prefixRatePerCandidate,
  prefixRateWindowMilliseconds,
} from "./constants.ts";

interface PrefixCount {
  /** Monotonic milliseconds at which the current window started. */
  windowStart: number;
  /** Requests in the current window. */
  current: number;
  /** Requests in the window before it. */
  previous: number;
}

export class PrefixRates {
  /** Ordered by last use (LRU): the first entry is evicted first. */
  readonly #counts = new Map<string, PrefixCount>();

  /** Counts one request and returns the rate of the prefix in requests per second. */
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

/** Number of affinity candidates for a prefix with the given request rate. */
export function affinityCandidateCountFor(requestsPerSecond: number): number {
  return Math.min(
    maximumAffinityCandidates,
    minimumAffinityCandidates +
      Math.floor(requestsPerSecond / prefixRatePerCandidate),
  );
}
