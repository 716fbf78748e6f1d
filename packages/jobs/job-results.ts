/** Selects the results that a caller of a job receives, and waits for further ones. */

import { Buffer } from "node:buffer";
import type { JobId } from "../common/ids.ts";
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

/** Resolves at the next change of the job or after the time limit. */
export function waitForChange(
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
