/**
 * Follows the stream of one partition and keeps the reduced state. When older records are gone
 * it starts from a checkpoint; see `checkpoint.ts`.
 */

import type { Clock } from "../../common/clock.ts";
import type { Offset, StreamName } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { LogClient, StoredRecord } from "../../log/log-client.ts";
import { StreamReader } from "../../log/stream-reader.ts";
import { LogUnavailableError } from "../../common/errors.ts";
import { beyondEnd, missingCheckpointMilliseconds } from "../constants.ts";
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
  /** Called once, when everything has been read that was stored at the start. */
  onCaughtUp?: () => void;
  /** Records were dropped before they could be read; the state will be replaced. */
  onGap?: () => void;
}

/** Records that wait for a checkpoint, because older ones are gone. */
interface PendingRestore {
  readonly collector: CheckpointCollector;
  readonly firstOffset: Offset;
  readonly bufferedRecords: StoredRecord[];
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
  /** End of the stream when the follower was started. */
  #initialEnd: Offset | undefined;
  #isStopped = false;
  /** Time in the log of the last complete checkpoint, and records since then. */
  lastCheckpointAt: number | undefined;
  recordsSinceCheckpoint = 0;
  /** Time in the log of the first record that was applied. */
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

  /** Whether the end of the stream was reached with a complete state. */
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

  /** Resolves once the record has been applied; false if the follower was stopped before. */
  whenApplied(offset: Offset): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false);
    if (!this.#pendingRestore && this.#state.appliedOffset >= offset) {
      return Promise.resolve(true);
    }
    return new Promise((settle) => this.#applyWaiters.push({ offset, settle }));
  }

  /** Asks for the end at once, because a long poll at the end answers only after its time. */
  async #readInitialEnd(): Promise<void> {
    const { client, stream } = this.#options;
    try {
      const from = beyondEnd;
      const { end } = await client.read(stream, { from, waitMilliseconds: 0 });
      this.#initialEnd = end;
      this.#checkCaughtUp();
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      // The reader's own long poll will tell.
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
      "older records are gone, waiting for a checkpoint",
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
    const usableCheckpoint = pending.collector.add(record).find(({ asOf }) =>
      asOf >= pending.firstOffset - 1
    );
    if (usableCheckpoint) {
      this.#restore(pending, decodeState(usableCheckpoint.data));
    }
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
