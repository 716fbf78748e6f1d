/** Selects the results that a caller of a job receives, and waits for further ones. */

import { Buffer } from "node:buffer";
import type { JobId } from "../common/ids.ts";
import { maximumResultBytes } from "./constants.ts";
import type { JobPartition } from "./job-partition.ts";
import type { JobState } from "./partition-state.ts";

/** Returns the results from a position on, up to `maximumResultBytes`, but at least one if any. */
export function pageOf(state: JobState, after: number) {
  const page = [];
  let bytes = 0;
  for (const result of state.results.slice(after)) {
    bytes += Buffer.byteLength(result.text);
    if (page.length > 0 && bytes > maximumResultBytes) break;
    page.push(result);
  }
  return page;
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
