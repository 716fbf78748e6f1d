/**
 * Reads the completions in force of one range from its partition's stream. Copies that were
 * carried forward are read first: they hold the completion in force, while a record that is still
 * stored may hold a later completion of the same line that never took effect. For lines without a
 * copy, the first completion in stream order is in force.
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

/** A record with completions of the range, as listed in the index of the range's owner. */
export interface ResultRecord {
  readonly offset: number;
  /** Positions in the record of the first and the last entry that took effect. */
  readonly first: number;
  readonly last: number;
  readonly hasCopies: boolean;
}

export interface RangeResultsOptions {
  client: LogClient;
  stream: StreamName;
  job: JobId;
  range: number;
  /** Number of lines of the range. */
  lines: number;
  records: readonly ResultRecord[];
  /** Lines whose completion was read already. Lines are added while reading. */
  seenLines: Set<number>;
}

export async function* readRangeResults(
  options: RangeResultsOptions,
): AsyncGenerator<EntryOf<"item-completed">> {
  const { records } = options;
  const withCopies = records.filter(({ hasCopies }) => hasCopies);
  yield* readCompletions(options, withCopies, true);
  yield* readCompletions(options, records, false);
}

async function* readCompletions(
  options: RangeResultsOptions,
  wanted: readonly ResultRecord[],
  isCopy: boolean,
): AsyncGenerator<EntryOf<"item-completed">> {
  const { client, stream, lines, seenLines } = options;
  for await (const [stored, place] of readRecords(client, stream, wanted)) {
    for (const entry of completionsIn(stored, place, options)) {
      if ((entry.isCopy ?? false) !== isCopy) continue;
      if (entry.line >= lines || seenLines.has(entry.line)) continue;
      seenLines.add(entry.line);
      yield entry;
    }
  }
}

/** Reads the records at the given ascending offsets; consecutive ones share a read. */
async function* readRecords(
  client: LogClient,
  stream: StreamName,
  wanted: readonly ResultRecord[],
): AsyncGenerator<[StoredRecord, ResultRecord]> {
  let position = 0;
  for (let next = wanted[position]; next; next = wanted[position]) {
    const from = next.offset as Offset;
    const isLastOfRun = wanted[position + 1]?.offset !== from + 1;
    const { records } = await client.read(stream, {
      from,
      waitMilliseconds: 0,
      ...(isLastOfRun ? { maximumBytes: 1 } : {}),
    });
    if (records[0]?.offset !== from) {
      throw new ResultsMissingError(stream, from);
    }
    for (const record of records) {
      const resultRecord = wanted[position];
      if (!resultRecord || record.offset !== resultRecord.offset) break;
      yield [record, resultRecord];
      position++;
    }
  }
}

function completionsIn(
  stored: StoredRecord,
  { first, last }: ResultRecord,
  { job, range }: RangeResultsOptions,
): EntryOf<"item-completed">[] {
  const found: EntryOf<"item-completed">[] = [];
  const entries = decodeRecord(stored.data)?.entries ?? [];
  for (const raw of entries.slice(first, last + 1)) {
    if ((raw as { kind?: unknown }).kind !== "item-completed") continue;
    const parsed = entrySchema.safeParse(raw);
    const entry = parsed.success ? parsed.data : undefined;
    const belongsToRange = entry?.kind === "item-completed" &&
      entry.job === job &&
      entry.range === range;
    if (belongsToRange) found.push(entry);
  }
  return found;
}
