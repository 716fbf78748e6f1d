/** Computes when to write a control checkpoint and when to join again after an eviction. */

import {
  checkpointRankShare,
  checkpointRetentionShare,
  rejoinInitialDelayMilliseconds,
  rejoinMaximumDelayMilliseconds,
} from "./constants.ts";

export interface CheckpointDueInput {
  /** Current time by the clock of the log, in milliseconds. */
  readonly logNow: number;
  /** Log time of the last checkpoint, or else of the first record that was read. */
  readonly since: number;
  readonly retentionMilliseconds: number;
  /** Place of this instance in the ranking of checkpoint writers, 0 for the first. */
  readonly rank: number;
}

/** Members further down the ranking write later, in case those before them have failed. */
export function isCheckpointDue(input: CheckpointDueInput): boolean {
  const { logNow, since, retentionMilliseconds, rank } = input;
  const share = checkpointRetentionShare + rank * checkpointRankShare;
  return logNow - since >= share * retentionMilliseconds;
}

/** Delay in milliseconds before joining again after this many evictions in a row, from 1. */
export function rejoinDelay(evictions: number): number {
  return Math.min(
    rejoinInitialDelayMilliseconds * 2 ** (evictions - 1),
    rejoinMaximumDelayMilliseconds,
  );
}
