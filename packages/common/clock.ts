/**
 * Time sources. Leases, deadlines and freshness use the monotonic clock, which also advances
 * while the process is stopped; wall-clock time only labels records and logs.
 */

import { performance } from "node:perf_hooks";

export interface Clock {
  /** Milliseconds on the monotonic clock. */
  readonly monotonicNow: () => number;
  /** Milliseconds since the Unix epoch. */
  readonly wallNow: () => number;
}

export const systemClock: Clock = {
  monotonicNow: () => performance.now(),
  wallNow: () => Date.now(),
};
