/**
 * When a caller that was refused because all servers are full should come back. Answers the load
 * of a burst, in which many callers are refused at about the same time: they return spread over the
 * time that they can wait, and not before room is expected.
 */

import {
  defaultRetryAfterMilliseconds,
  retryAfterDeadlineShare,
} from "./constants.ts";

export interface RetryAfterOptions {
  /** Time until a server is expected to have room. */
  readonly expectedWaitMilliseconds: number;
  /** Time left until the caller's deadline. */
  readonly remainingMilliseconds: number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
}

export function chooseRetryAfter(
  { expectedWaitMilliseconds, remainingMilliseconds, random }:
    RetryAfterOptions,
): number {
  const earliest = Math.max(
    defaultRetryAfterMilliseconds,
    expectedWaitMilliseconds,
  );
  const latest = remainingMilliseconds * retryAfterDeadlineShare;
  return earliest + Math.max(0, latest - earliest) * random();
}
