/**
 * The bucket that uses what a limit allows in a window. Operators judge a limit over a sliding
 * window: rate times window, plus the burst, plus some overage. Part of the overage goes into
 * the rate, so that a demand close to the limit is not refused for its unevenness; the rest is
 * left for admissions that instances do not know of yet.
 */

import { usedOverageShare } from "./constants.ts";
import type { BucketLimit } from "./shared-bucket.ts";

export interface LimitWindow {
  readonly windowMilliseconds: number;
  /** Share of a window's requests by which a limit may be exceeded. */
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
