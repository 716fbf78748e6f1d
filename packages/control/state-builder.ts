/**
 * Builds the control state from the stream, from wherever a reader starts. While older records
 * are missing it buffers the records until a usable checkpoint is complete.
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

interface MissingRecords {
  /** Offset of the first record that is held. */
  readonly first: Offset;
  readonly buffer: StoredRecord[];
  readonly collector: CheckpointCollector;
}

export interface SeenCheckpoint {
  readonly asOf: Offset;
  /** Time in the log of the record that completed the checkpoint. */
  readonly time: number;
}

/** Called for each applied record, also for those that were buffered. */
export type AppliedListener = (
  record: StoredRecord,
  state: ReducedControlState,
) => void;

export class ControlStateBuilder {
  readonly #onApplied: AppliedListener;
  readonly #tracker = new CheckpointTracker();
  #state: ReducedControlState = createInitialState();
  #missing: MissingRecords | undefined;
  #next = 0;

  constructor(onApplied: AppliedListener = () => {}) {
    this.#onApplied = onApplied;
  }

  get state(): ReducedControlState {
    return this.#state;
  }

  /** False while records are missing; the state is then an old one. */
  get isComplete(): boolean {
    return this.#missing === undefined;
  }

  /** The newest complete checkpoint in the stream. */
  get lastCheckpoint(): SeenCheckpoint | undefined {
    return this.#tracker.last;
  }

  /** The records before `start` are gone. */
  skipTo(start: Offset): void {
    if (start <= this.#next) return;
    this.#next = start;
    this.#missing = {
      first: start,
      buffer: [],
      collector: new CheckpointCollector(),
    };
  }

  /** Takes the next record of the stream. */
  push(record: StoredRecord): void {
    if (record.offset < this.#next) return;
    this.#next = record.offset + 1;
    const parts = checkpointParts(record);
    this.#tracker.add(parts, record.time);
    const missing = this.#missing;
    if (!missing) {
      this.#apply(record);
      return;
    }
    missing.buffer.push(record);
    for (const part of parts) {
      const state = missing.collector.add(part);
      // A state as of the record just before the first held one misses nothing either.
      if (!state || state.appliedOffset < missing.first - 1) continue;
      this.#missing = undefined;
      this.#state = state;
      for (const buffered of missing.buffer) this.#apply(buffered);
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

/** Notes complete checkpoints by counting their parts, without keeping the data. */
class CheckpointTracker {
  readonly #seen = new Map<string, Set<number>>();
  last: SeenCheckpoint | undefined;

  add(parts: readonly CheckpointPart[], time: number): void {
    for (const { checkpoint, part, parts: total, asOf } of parts) {
      const seen = this.#seen.get(checkpoint) ?? new Set();
      this.#seen.set(checkpoint, seen.add(part));
      if (seen.size < total) continue;
      this.#seen.clear();
      if (!this.last || asOf >= this.last.asOf) this.last = { asOf, time };
    }
  }
}

/** Reads the control stream to its present end; for programs that do not follow it. */
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
