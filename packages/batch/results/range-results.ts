/**
 * Reads the visible completions of one range from its partition's stream. Copies that were
 * carried forward are read first: they hold what was decided, while a record that is still
 * stored may hold a later completion of the same line that never counted. After that the first
 * completion of a line in stream order is the visible one.
 */

import { RosemaryrudderError } from "../../common/errors.ts";
import type { JobId, Offset, StreamName } from "../../common/ids.ts";
import type { LogClient, StoredRecord } from "../../log/log-client.ts";
import { decodeRecord } from "../../log/record.ts";
import { type EntryOf, entrySchema } from "../partition/entries.ts";

export class ResultsMissingError extends RosemaryrudderError {
  constructor(stream: StreamName, offset: number) {
    super("results_missing", `record ${offset} of ${stream} is gone`);
  }
}

export interface RangeResultsOptions {
  client: LogClient;
  stream: StreamName;
  job: JobId;
  range: number;
  records: readonly { offset: number; hasCopies: boolean }[];
  /** Lines that have been read already; grows while reading. */
  seen: Set<number>;
}

export async function* readRangeResults(
  options: RangeResultsOptions,
): AsyncGenerator<EntryOf<"item-completed">> {
  const { records } = options;
  const withCopies = records.filter(({ hasCopies }) => hasCopies);
  yield* readPass(options, withCopies, true);
  yield* readPass(options, records, false);
}

async function* readPass(
  { client, stream, job, range, seen }: RangeResultsOptions,
  wanted: readonly { offset: number }[],
  isCopy: boolean,
): AsyncGenerator<EntryOf<"item-completed">> {
  const offsets = wanted.map(({ offset }) => offset);
  for await (const record of readRecords(client, stream, offsets)) {
    for (const entry of completionsIn(record, job, range)) {
      if ((entry.isCopy ?? false) !== isCopy || seen.has(entry.line)) continue;
      seen.add(entry.line);
      yield entry;
    }
  }
}

/** Reads the records at the given ascending offsets; neighbours come with one read. */
async function* readRecords(
  client: LogClient,
  stream: StreamName,
  offsets: readonly number[],
): AsyncGenerator<StoredRecord> {
  let position = 0;
  while (position < offsets.length) {
    const from = offsets[position] as Offset;
    const isAlone = offsets[position + 1] !== from + 1;
    const { records } = await client.read(stream, {
      from,
      waitMilliseconds: 0,
      ...(isAlone ? { maximumBytes: 1 } : {}),
    });
    if (records[0]?.offset !== from) {
      throw new ResultsMissingError(stream, from);
    }
    for (const record of records) {
      if (record.offset !== offsets[position]) break;
      yield record;
      position++;
    }
  }
}

function completionsIn(
  record: StoredRecord,
  job: JobId,
  range: number,
): EntryOf<"item-completed">[] {
  const found: EntryOf<"item-completed">[] = [];
  let isCancelled = false;
  for (const raw of decodeRecord(record.data)?.entries ?? []) {
    const { kind } = raw as { kind?: unknown };
    if (kind !== "item-completed" && kind !== "range-cancelled") continue;
    const parsed = entrySchema.safeParse(raw);
    if (!parsed.success) continue;
    const entry = parsed.data;
    const isOfRange = "range" in entry && entry.job === job &&
      entry.range === range;
    if (!isOfRange) continue;
    if (entry.kind === "range-cancelled") isCancelled = true;
    else if (
      entry.kind === "item-completed" && (entry.isCopy || !isCancelled)
    ) {
      found.push(entry);
    }
  }
  return found;
}
