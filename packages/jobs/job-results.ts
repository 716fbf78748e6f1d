/** Selects the results that a caller of a job receives, and waits for further ones. */

import { Buffer } from "node:buffer";
import type { JobId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { maximumResultBytes } from "./constants.ts";
import type { JobPartition } from "./job-partition.ts";
import type { JobState } from "./partition-state.ts";
import type { ItemResult } from "./records.ts";

export interface ResultPage {
  readonly results: readonly ItemResult[];
  /** Size of their texts in UTF-8. */
  readonly bytes: number;
}

/** Returns the results from a position on, up to `maximumResultBytes`, but at least one if any. */
export function pageOf(
  state: JobState,
  after: number,
): ResultPage {
  const results: ItemResult[] = [];
  let bytes = 0;
  for (let position = after; position < state.results.length; position++) {
    const result = state.results[position]!;
    const resultBytes = Buffer.byteLength(result.text);
    if (results.length > 0 && bytes + resultBytes > maximumResultBytes) break;
    bytes += resultBytes;
    results.push(result);
  }
  return { results, bytes };
}

/**
 * Reads up to the present end of the partition if the job may have a result at the position that
 * the copy lacks; returns false if the read fails.
 */
export async function checkMissingResult(
  partition: JobPartition,
  state: JobState,
  position: number,
  { now, logger }: { readonly now: () => number; readonly logger: Logger },
): Promise<boolean> {
  if (!mayGetResult(state, position)) return true;
  if (!await partition.refresh()) return false;
  if (position > 0 && mayGetResult(state, position)) {
    logger.info("a job has no result at the requested position", {
      job: state.record.job,
      position,
      listed: state.results.length,
      items: state.record.items.length,
      isEnded: state.isEnded,
      copyAgeMilliseconds: Math.round(now() - partition.completeUntil),
    });
  }
  return true;
}

/** Waits for a result at the position while the job may get one and the time is not over. */
export async function waitForResult(
  partition: JobPartition,
  state: JobState,
  { position, until, now, isOver }: {
    readonly position: number;
    /** Monotonic milliseconds. */
    readonly until: number;
    readonly now: () => number;
    readonly isOver: () => boolean;
  },
): Promise<void> {
  while (mayGetResult(state, position) && now() < until && !isOver()) {
    await waitForChange(partition, state.record.job, until - now());
  }
}

/** True if the job has no result at the position yet, but may get one. */
function mayGetResult(
  { record, results }: JobState,
  position: number,
): boolean {
  return results.length <= position && results.length < record.items.length;
}

/** Resolves at the next change of the job or after the time limit. */
function waitForChange(
  partition: JobPartition,
  job: JobId,
  milliseconds: number,
): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      cancel();
      resolve();
    };
    const timer = setTimeout(finish, Math.max(0, milliseconds));
    const cancel = partition.onNextJobChange(job, finish);
  });
}
