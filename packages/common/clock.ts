/**
 * Time sources. Leases, request deadlines and freshness use the monotonic clock, which also
 * advances while the process is suspended. Wall-clock time is for times that are stored or shared
 * between processes, such as the creation, deadline and expiry of a job, and for logs.
 */

import { performance } from "node:perf_hooks";

export interface Clock {
  /** Milliseconds on the monotonic clock, from an arbitrary origin. */
  readonly monotonicNow: () => number;
  /** Milliseconds since the Unix epoch. */
  readonly wallNow: () => number;
}

export const systemClock: Clock = {
  monotonicNow: () => performance.now(),
  wallNow: () => Date.now(),
};
