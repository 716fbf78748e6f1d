/**
 * Reads the stream of one partition and keeps the state that the reducer computes from it. If the
 * log has trimmed records that were not read yet, the state is restored from a checkpoint; see
 * `checkpoint.ts`.
 */

import type { Clock } from "../../common/clock.ts";
import type { Offset, StreamName } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { LogClient, StoredRecord } from "../../log/log-client.ts";
import { StreamReader } from "../../log/stream-reader.ts";
import { LogUnavailableError } from "../../common/errors.ts";
import {
  missingCheckpointMilliseconds,
  offsetBeyondEnd,
} from "../constants.ts";
import { CheckpointCollector, decodeState } from "./checkpoint.ts";
import type { PartitionEntry } from "./entries.ts";
import { applyRecord } from "./reducer.ts";
import { createPartitionState, type PartitionState } from "./state.ts";

export interface PartitionFollowerOptions {
  client: LogClient;
  stream: StreamName;
  clock: Clock;
  logger: Logger;
  /** Called after each record with the entries that took effect. */
  onApplied: (entries: readonly PartitionEntry[], stored: StoredRecord) => void;
  /** Called once, when all records have been applied that the log held at the start. */
  onCaughtUp?: () => void;
  /** Called when the log trimmed records before they were read; the state will be replaced. */
  onGap?: () => void;
}

/** Records read after a gap. They are buffered until a usable checkpoint has been read. */
interface PendingRestore {
  readonly collector: CheckpointCollector;
  /** Offset of the oldest record that the log still held when the gap was found. */
  readonly firstOffset: Offset;
  readonly bufferedRecords: StoredRecord[];
  /** Monotonic time at which the reader first reached the end of the stream after the gap. */
  endReachedAt: number | undefined;
}

export class PartitionFollower {
  readonly #options: PartitionFollowerOptions;
  readonly #reader: StreamReader;
  readonly #applyWaiters: {
    offset: Offset;
    settle: (applied: boolean) => void;
  }[] = [];
  #state: PartitionState = createPartitionState();
  #pendingRestore: PendingRestore | undefined;
  #hasCaughtUp = false;
  /** End of the stream, read at the start: the offset after its last record. */
  #initialEnd: Offset | undefined;
  #isStopped = false;
  /**
   * Time at which the log accepted the record with the last part of the newest checkpoint, in
   * wall-clock milliseconds.
   */
  lastCheckpointAt: number | undefined;
  /** Records applied after that record. */
  recordsSinceCheckpoint = 0;
  /** Time at which the log accepted the first record applied here, in wall-clock milliseconds. */
  firstRecordAt: number | undefined;

  constructor(options: PartitionFollowerOptions) {
    this.#options = options;
    this.#reader = new StreamReader({
      client: options.client,
      stream: options.stream,
      clock: options.clock,
      logger: options.logger,
      onRecord: (record) => this.#handleRecord(record),
      onGap: (start) => this.#handleGap(start),
      onEndReached: (end) => this.#handleEndReached(end),
    });
  }

  get state(): PartitionState {
    return this.#state;
  }

  /** Whether all records have been applied that the log held when the follower started. */
  get hasCaughtUp(): boolean {
    return this.#hasCaughtUp;
  }

  start(): void {
    this.#reader.start();
    void this.#readInitialEnd();
  }

  stop(): void {
    this.#isStopped = true;
    this.#reader.stop();
    for (const waiter of this.#applyWaiters.splice(0)) waiter.settle(false);
  }

  /** Resolves to true once the record has been applied, to false if the follower stops first. */
  whenApplied(offset: Offset): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false);
    if (!this.#pendingRestore && this.#state.appliedOffset >= offset) {
      return Promise.resolve(true);
    }
    return new Promise((settle) => this.#applyWaiters.push({ offset, settle }));
  }

  /**
   * Asks the log for the end of the stream with a read that does not wait. The reader's long poll
   * at the end of a stream is answered only when a record arrives or its wait is over.
   */
  async #readInitialEnd(): Promise<void> {
    const { client, stream } = this.#options;
    try {
      const from = offsetBeyondEnd;
      const { end } = await client.read(stream, { from, waitMilliseconds: 0 });
      this.#initialEnd = end;
      this.#checkCaughtUp();
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      // The long poll of the reader reports the end once the log is available again.
    }
  }

  #checkCaughtUp(): void {
    const end = this.#initialEnd;
    if (this.#hasCaughtUp || this.#pendingRestore || this.#isStopped) return;
    if (end === undefined || this.#state.appliedOffset < end - 1) return;
    this.#hasCaughtUp = true;
    this.#options.onCaughtUp?.();
  }

  #handleRecord(record: StoredRecord): void {
    if (this.#isStopped) return;
    if (this.#pendingRestore) this.#bufferRecord(this.#pendingRestore, record);
    else this.#apply(record);
    this.#checkCaughtUp();
  }

  #apply(record: StoredRecord): void {
    const entries = applyRecord(this.#state, record);
    this.recordsSinceCheckpoint++;
    this.firstRecordAt ??= record.time;
    for (const entry of entries) {
      if (entry.kind === "checkpoint" && entry.part === entry.parts - 1) {
        this.lastCheckpointAt = record.time;
        this.recordsSinceCheckpoint = 0;
      }
    }
    this.#options.onApplied(entries, record);
    while (
      this.#applyWaiters[0] &&
      this.#applyWaiters[0].offset <= this.#state.appliedOffset
    ) this.#applyWaiters.shift()?.settle(true);
  }

  #handleGap(start: Offset): void {
    this.#options.logger.info(
      "the log has trimmed older records, waiting for a checkpoint",
      { stream: this.#options.stream, start },
    );
    this.#pendingRestore = {
      collector: new CheckpointCollector(),
      firstOffset: start,
      bufferedRecords: [],
      endReachedAt: undefined,
    };
    this.#options.onGap?.();
  }

  #bufferRecord(pending: PendingRestore, record: StoredRecord): void {
    pending.bufferedRecords.push(record);
    const checkpoint = pending.collector.add(record).find(({ asOf }) =>
      asOf >= pending.firstOffset - 1
    );
    if (checkpoint) this.#restore(pending, decodeState(checkpoint.data));
  }

  #restore(pending: PendingRestore, state: PartitionState): void {
    this.#pendingRestore = undefined;
    this.#state = state;
    for (const record of pending.bufferedRecords) {
      if (record.offset > state.appliedOffset) this.#apply(record);
    }
  }

  #handleEndReached(end: Offset): void {
    const pending = this.#pendingRestore;
    if (!pending) {
      this.#initialEnd ??= end;
      this.#checkCaughtUp();
      return;
    }
    const now = this.#options.clock.monotonicNow();
    pending.endReachedAt ??= now;
    if (now - pending.endReachedAt < missingCheckpointMilliseconds) return;
    this.#options.logger.error(
      "the partition has no checkpoint, its older records are lost",
      { stream: this.#options.stream, start: pending.firstOffset },
    );
    const state = createPartitionState();
    state.appliedOffset = pending.firstOffset - 1 as Offset;
    this.#restore(pending, state);
    this.#checkCaughtUp();
  }
}
