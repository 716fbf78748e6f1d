/**
 * Builds the control state from the control stream, starting at any offset. While older records
 * are missing, it buffers records until a checkpoint that covers the missing ones is complete.
 */

import type { Offset } from "../common/ids.ts";
import type { LogClient, StoredRecord } from "../log/log-client.ts";
import { decodeRecord } from "../log/record.ts";
import { CheckpointCollector } from "./checkpoint.ts";
import { controlSchemaVersion, controlStream } from "./constants.ts";
import { type CheckpointPart, checkpointPartSchema } from "./records.ts";
import {
  createInitialState,
  type ReducedControlState,
} from "./reduced-state.ts";
import { applyStoredRecord } from "./reducer.ts";

/** Records and checkpoint parts that are collected while older records are missing. */
interface PendingRestore {
  /** Offset of the first buffered record. */
  readonly firstOffset: Offset;
  readonly buffer: StoredRecord[];
  readonly collector: CheckpointCollector;
}

export interface CompleteCheckpoint {
  readonly asOf: Offset;
  /** Log time of the record that completed the checkpoint. */
  readonly time: number;
}

/** Called for each applied record, including those that were buffered. */
export type AppliedListener = (
  record: StoredRecord,
  state: ReducedControlState,
) => void;

export class ControlStateBuilder {
  readonly #onApplied: AppliedListener;
  readonly #tracker = new CheckpointTracker();
  #state: ReducedControlState = createInitialState();
  #pendingRestore: PendingRestore | undefined;
  #nextOffset = 0;

  constructor(onApplied: AppliedListener = () => {}) {
    this.#onApplied = onApplied;
  }

  get state(): ReducedControlState {
    return this.#state;
  }

  /** False while older records are missing; the state is outdated until they are restored. */
  get isComplete(): boolean {
    return this.#pendingRestore === undefined;
  }

  /** The newest checkpoint of which all parts were read. */
  get lastCheckpoint(): CompleteCheckpoint | undefined {
    return this.#tracker.last;
  }

  /** Continues at `start` because the log has dropped the records before it. */
  skipTo(start: Offset): void {
    if (start <= this.#nextOffset) return;
    this.#nextOffset = start;
    this.#pendingRestore = {
      firstOffset: start,
      buffer: [],
      collector: new CheckpointCollector(),
    };
  }

  /** Applies or buffers the next record of the stream; ignores records already read. */
  push(record: StoredRecord): void {
    if (record.offset < this.#nextOffset) return;
    this.#nextOffset = record.offset + 1;
    const parts = checkpointParts(record);
    this.#tracker.add(parts, record.time);
    const restore = this.#pendingRestore;
    if (!restore) {
      this.#apply(record);
      return;
    }
    restore.buffer.push(record);
    for (const part of parts) {
      const state = restore.collector.add(part);
      // A checkpoint as of the record just before the first buffered one leaves no gap.
      if (!state || state.appliedOffset < restore.firstOffset - 1) continue;
      this.#pendingRestore = undefined;
      this.#state = state;
      for (const buffered of restore.buffer) this.#apply(buffered);
      return;
    }
  }

  #apply(record: StoredRecord): void {
    if (record.offset <= this.#state.appliedOffset) return;
    this.#state = applyStoredRecord(this.#state, record);
    this.#onApplied(record, this.#state);
  }
}

function checkpointParts(record: StoredRecord): CheckpointPart[] {
  const decoded = decodeRecord(record.data);
  if (!decoded || decoded.version > controlSchemaVersion) return [];
  return decoded.entries.flatMap((entry) => {
    const parsed = checkpointPartSchema.safeParse(entry);
    return parsed.success ? [parsed.data] : [];
  });
}

/** Finds complete checkpoints by counting their parts, without keeping the data. */
class CheckpointTracker {
  readonly #receivedParts = new Map<string, Set<number>>();
  last: CompleteCheckpoint | undefined;

  add(parts: readonly CheckpointPart[], time: number): void {
    for (const { checkpoint, part, parts: total, asOf } of parts) {
      const received = this.#receivedParts.get(checkpoint) ?? new Set();
      this.#receivedParts.set(checkpoint, received.add(part));
      if (received.size < total) continue;
      this.#receivedParts.clear();
      if (!this.last || asOf >= this.last.asOf) this.last = { asOf, time };
    }
  }
}

/** Reads the control stream up to its current end, for programs that do not follow it. */
export async function readControlState(
  client: LogClient,
  builder = new ControlStateBuilder(),
): Promise<ControlStateBuilder> {
  let from = builder.state.appliedOffset + 1 as Offset;
  while (true) {
    const result = await client.read(controlStream, {
      from,
      waitMilliseconds: 0,
    });
    if (result.start > from) {
      builder.skipTo(result.start);
      from = result.start;
    }
    for (const record of result.records) {
      builder.push(record);
      from = record.offset + 1 as Offset;
    }
    if (from >= result.end) return builder;
  }
}
