/**
 * Derives the bucket limit for a limit that operators check over a sliding window: rate times
 * window, plus the burst, plus some overage. Part of the overage is added to the rate, so that
 * demand close to the limit is not refused because it arrives unevenly; the rest is left for
 * admissions that instances do not know of yet.
 */

import { usedOverageShare } from "./constants.ts";
import type { BucketLimit } from "./shared-bucket.ts";

export interface LimitWindow {
  readonly windowMilliseconds: number;
  /** Share of a window's requests by which a limit may be exceeded; 0.1 for 10 %. */
  readonly overage: number;
}

const millisecondsPerSecond = 1_000;

export function bucketLimitForWindow(
  { ratePerSecond, burst }: BucketLimit,
  { windowMilliseconds, overage }: LimitWindow,
): BucketLimit {
  const seconds = windowMilliseconds / millisecondsPerSecond;
  const extra = (ratePerSecond * seconds + burst) * overage * usedOverageShare;
  return { ratePerSecond: ratePerSecond + extra / seconds, burst };
}
