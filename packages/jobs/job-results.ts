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

/** Logs that a reader who has results already gets no further one of an unfinished job. */
export function logMissingResult(
  logger: Logger,
  { record, results, isEnded }: JobState,
  { position, copyAgeMilliseconds }: {
    readonly position: number;
    /** How old the local copy of the job may be. */
    readonly copyAgeMilliseconds: number;
  },
): void {
  if (position === 0 || position >= record.items.length) return;
  logger.info("a job has no result at the requested position", {
    job: record.job,
    position,
    listed: results.length,
    items: record.items.length,
    isEnded,
    copyAgeMilliseconds: Math.round(copyAgeMilliseconds),
  });
}

/** Waits until the job has a result at the position, or cannot get one, or the time is over. */
export async function waitForResult(
  partition: JobPartition,
  { record, results }: JobState,
  { position, until, now, isOver }: {
    readonly position: number;
    /** Monotonic milliseconds. */
    readonly until: number;
    readonly now: () => number;
    readonly isOver: () => boolean;
  },
): Promise<void> {
  const needsMore = () =>
    results.length <= position && results.length < record.items.length;
  while (needsMore() && now() < until && !isOver()) {
    await waitForChange(partition, record.job, until - now());
  }
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
