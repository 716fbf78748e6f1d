/**
 * Encodes, splits and collects checkpoints of a partition. A checkpoint holds the whole state as
 * of an offset, `asOf`, and is written to the stream in parts. A reader that has every record
 * ignores checkpoints. A reader that has a gap because the log trimmed records buffers what it
 * reads until it has a complete checkpoint that covers all records before the first one that the
 * log still holds; its `asOf` is then at least the offset of that record minus one. The content of
 * a checkpoint depends only on the records up to `asOf`, so it does not matter which owner wrote
 * it.
 */

import type { Offset } from "../../common/ids.ts";
import type { StoredRecord } from "../../log/log-client.ts";
import { decodeRecord } from "../../log/record.ts";
import { decodeValue, encodeValue } from "../../protocol/frames.ts";
import { maximumCheckpointPartBytes } from "../constants.ts";
import { type EntryOf, entrySchema } from "./entries.ts";
import type { JobState, PartitionState, RangeState } from "./state.ts";

/** A range in a checkpoint: maps and sets are stored as arrays. */
interface StoredRange
  extends Omit<RangeState, "done" | "started" | "aborted" | "index"> {
  /** Bits from the byte that holds the watermark on; all lines before the watermark are done. */
  done: Uint8Array;
  started: Map<number, Offset>;
  aborted: number[];
  /** Offset, time, `hasCopies`, first and last position of each record. */
  index: [number, number, boolean, number, number][];
}

export function encodeState(state: PartitionState): Uint8Array {
  return encodeValue({
    appliedOffset: state.appliedOffset,
    epoch: state.epoch,
    writers: [...state.writers],
    jobs: [...state.jobs.values()].map((job) => ({
      ...job,
      finished: [...job.finished],
    })),
    ranges: [...state.ranges].map(([key, range]) => [key, {
      ...range,
      done: range.done.subarray(range.watermark >> 3),
      started: [...range.started],
      attempts: [...range.attempts],
      intents: [...range.intents],
      aborted: [...range.aborted],
      index: range.index.map((record) => [
        record.offset,
        record.time,
        record.hasCopies,
        record.first,
        record.last,
      ]),
    }]),
  });
}

export function decodeState(bytes: Uint8Array): PartitionState {
  // `encodeState` of the same record version wrote these bytes, so the shape is known.
  const stored = decodeValue(bytes) as {
    appliedOffset: Offset;
    epoch: PartitionState["epoch"];
    writers: [never, number][];
    jobs: (Omit<JobState, "finished"> & { finished: [number, never][] })[];
    ranges: [string, StoredRange][];
  };
  return {
    appliedOffset: stored.appliedOffset,
    epoch: stored.epoch ?? undefined,
    writers: new Map(stored.writers),
    jobs: new Map(
      stored.jobs.map((job) => [job.spec.id, {
        ...job,
        cancelledAt: job.cancelledAt ?? undefined,
        endedAt: job.endedAt ?? undefined,
        finished: new Map(job.finished),
      }]),
    ),
    ranges: new Map(
      stored.ranges.map(([key, range]) => [key, decodeRange(range)]),
    ),
  };
}

function decodeRange(range: StoredRange): RangeState {
  const done = new Uint8Array(Math.ceil(range.spec.lines / 8)).fill(0xff);
  done.set(range.done, range.watermark >> 3);
  return {
    ...range,
    done,
    started: new Map(range.started),
    attempts: new Map(range.attempts),
    intents: new Map(range.intents),
    aborted: new Set(range.aborted),
    index: range.index.map(([offset, time, hasCopies, first, last]) => ({
      offset: offset as Offset,
      first,
      last,
      time,
      hasCopies,
    })),
  };
}

/** Splits the encoded state into the entries of one checkpoint. */
export function createCheckpointEntries(
  id: string,
  state: PartitionState,
  maximumPartBytes: number = maximumCheckpointPartBytes,
): EntryOf<"checkpoint">[] {
  const bytes = new Uint8Array(encodeState(state));
  const parts = Math.max(
    1,
    Math.ceil(bytes.length / maximumPartBytes),
  );
  return Array.from({ length: parts }, (_, part) => ({
    kind: "checkpoint",
    id,
    asOf: state.appliedOffset,
    part,
    parts,
    data: bytes.subarray(
      part * maximumPartBytes,
      (part + 1) * maximumPartBytes,
    ),
  }));
}

/** A checkpoint of which all parts have been read. */
export interface CompleteCheckpoint {
  /** Offset of the last record that the state contains. */
  readonly asOf: Offset;
  readonly data: Uint8Array;
}

/** Collects the parts of checkpoints from the records of a stream. */
export class CheckpointCollector {
  readonly #parts = new Map<string, Map<number, Uint8Array>>();

  /** Adds the parts in a record and returns the checkpoints that they complete. */
  add(stored: StoredRecord): CompleteCheckpoint[] {
    const complete: CompleteCheckpoint[] = [];
    for (const raw of decodeRecord(stored.data)?.entries ?? []) {
      if ((raw as { kind?: unknown } | null)?.kind !== "checkpoint") continue;
      const parsed = entrySchema.safeParse(raw);
      if (!parsed.success || parsed.data.kind !== "checkpoint") continue;
      const { id, asOf, part, parts, data } = parsed.data;
      const receivedParts = this.#parts.get(id) ??
        new Map<number, Uint8Array>();
      receivedParts.set(part, data);
      this.#parts.set(id, receivedParts);
      if (receivedParts.size < parts) continue;
      this.#parts.delete(id);
      complete.push({ asOf, data: joinParts(receivedParts, parts) });
    }
    return complete;
  }
}

function joinParts(
  receivedParts: Map<number, Uint8Array>,
  parts: number,
): Uint8Array {
  const orderedParts = Array.from(
    { length: parts },
    (_, part) => receivedParts.get(part) ?? new Uint8Array(),
  );
  const joined = new Uint8Array(
    orderedParts.reduce((sum, part) => sum + part.length, 0),
  );
  let position = 0;
  for (const part of orderedParts) {
    joined.set(part, position);
    position += part.length;
  }
  return joined;
}
