/** When to write a control checkpoint and when to join again after an eviction. */

import {
  checkpointRankShare,
  checkpointRetentionShare,
  rejoinInitialDelayMilliseconds,
  rejoinMaximumDelayMilliseconds,
} from "./constants.ts";

export interface CheckpointDueInput {
  /** Time in the log: now, and of the last checkpoint or else the oldest record that is kept. */
  readonly logNow: number;
  readonly since: number;
  readonly retentionMilliseconds: number;
  /** Place of this instance in the ranking for checkpoints. */
  readonly rank: number;
}

/** Members further down the ranking step in only when those before them have not written. */
export function isCheckpointDue(input: CheckpointDueInput): boolean {
  const { logNow, since, retentionMilliseconds, rank } = input;
  const share = checkpointRetentionShare + rank * checkpointRankShare;
  return logNow - since >= share * retentionMilliseconds;
}

/** Delay before joining again after the given number of evictions in a row, from 1. */
export function rejoinDelay(evictions: number): number {
  return Math.min(
    rejoinInitialDelayMilliseconds * 2 ** (evictions - 1),
    rejoinMaximumDelayMilliseconds,
  );
}
