/**
 * Carries the completions of a range forward, so that they outlive the log's retention: appends
 * copies before the log drops the originals, and then replaces the records in the range's index
 * by those of the copies. All completions of the range are copied together; otherwise an older
 * record that stays in the index could determine the outcome of a copied line.
 */

import type { LogClient } from "../../log/log-client.ts";
import { maximumQueuedCopies } from "../constants.ts";
import { type PartitionOwner, partitionStream } from "../partition/owner.ts";
import type { RangeState } from "../partition/state.ts";
import { readRangeResults } from "./range-results.ts";

/** Returns the number of completions that were copied. */
export async function carryResults(
  client: LogClient,
  owner: PartitionOwner,
  range: RangeState,
): Promise<number> {
  const { job, range: number } = range.spec;
  const records = range.index.map((record) => ({ ...record }));
  const last = records.at(-1);
  if (!last) return 0;
  const results = readRangeResults({
    client,
    stream: partitionStream(owner.partition),
    job,
    range: number,
    lines: range.spec.lines,
    records,
    seenLines: new Set(),
  });
  let copied = 0;
  let pending: Promise<void>[] = [];
  for await (const { line, isError, text } of results) {
    pending.push(owner.append({
      kind: "item-completed",
      job,
      range: number,
      line,
      isError,
      text,
      isCopy: true,
    }));
    copied++;
    if (pending.length < maximumQueuedCopies) continue;
    await Promise.all(pending);
    pending = [];
  }
  await Promise.all(pending);
  await owner.append({
    kind: "range-carried",
    job,
    range: number,
    before: last.offset + 1 as typeof last.offset,
  });
  return copied;
}
