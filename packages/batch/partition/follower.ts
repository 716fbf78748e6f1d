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
  /** Called once, when everything has been read that was stored at the start. */
  onCaughtUp?: () => void;
  /** Records were dropped before they could be read; the state will be replaced. */
  onGap?: () => void;
}

/** Records that wait for a checkpoint, because older ones are gone. */
interface Buffering {
  readonly collector: CheckpointCollector;
  readonly firstOffset: Offset;
  readonly records: StoredRecord[];
  endSeenAt: number | undefined;
}

export class PartitionFollower {
  readonly #options: PartitionFollowerOptions;
  readonly #reader: StreamReader;
  readonly #waiting: { offset: Offset; settle: (applied: boolean) => void }[] =
    [];
  #state: PartitionState = createPartitionState();
  #buffering: Buffering | undefined;
  #hasSeenEnd = false;
  /** End of the stream when the follower was started. */
  #endAtStart: Offset | undefined;
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
      onRecord: (record) => this.#accept(record),
      onGap: (start) => this.#handleGap(start),
      onEndReached: (end) => this.#handleEnd(end),
    });
  }

  get state(): PartitionState {
    return this.#state;
  }

  /** Whether the end of the stream was reached with a complete state. */
  get hasSeenEnd(): boolean {
    return this.#hasSeenEnd;
  }

  start(): void {
    this.#reader.start();
    void this.#findEnd();
  }

  stop(): void {
    this.#isStopped = true;
    this.#reader.stop();
    for (const waiter of this.#waiting.splice(0)) waiter.settle(false);
  }

  /** Resolves once the record has been applied; false if the follower was stopped before. */
  whenApplied(offset: Offset): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false);
    if (!this.#buffering && this.#state.appliedOffset >= offset) {
      return Promise.resolve(true);
    }
    return new Promise((settle) => this.#waiting.push({ offset, settle }));
  }

  /** Asks for the end at once, because a long poll at the end answers only after its time. */
  async #findEnd(): Promise<void> {
    const { client, stream } = this.#options;
    try {
      const from = offsetBeyondEnd;
      const { end } = await client.read(stream, { from, waitMilliseconds: 0 });
      this.#endAtStart = end;
      this.#checkCaughtUp();
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      // The reader's own long poll will tell.
    }
  }

  #checkCaughtUp(): void {
    const end = this.#endAtStart;
    if (this.#hasSeenEnd || this.#buffering || this.#isStopped) return;
    if (end === undefined || this.#state.appliedOffset < end - 1) return;
    this.#hasSeenEnd = true;
    this.#options.onCaughtUp?.();
  }

  #accept(record: StoredRecord): void {
    if (this.#isStopped) return;
    if (this.#buffering) this.#buffer(this.#buffering, record);
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
      this.#waiting[0] && this.#waiting[0].offset <= this.#state.appliedOffset
    ) this.#waiting.shift()?.settle(true);
  }

  #handleGap(start: Offset): void {
    this.#options.logger.info(
      "older records are gone, waiting for a checkpoint",
      { stream: this.#options.stream, start },
    );
    this.#buffering = {
      collector: new CheckpointCollector(),
      firstOffset: start,
      records: [],
      endSeenAt: undefined,
    };
    this.#options.onGap?.();
  }

  #buffer(buffering: Buffering, record: StoredRecord): void {
    buffering.records.push(record);
    const usable = buffering.collector.add(record).find(({ asOf }) =>
      asOf >= buffering.firstOffset - 1
    );
    if (usable) this.#restore(buffering, decodeState(usable.data));
  }

  #restore(buffering: Buffering, state: PartitionState): void {
    this.#buffering = undefined;
    this.#state = state;
    for (const record of buffering.records) {
      if (record.offset > state.appliedOffset) this.#apply(record);
    }
  }

  #handleEnd(end: Offset): void {
    const buffering = this.#buffering;
    if (!buffering) {
      this.#endAtStart ??= end;
      this.#checkCaughtUp();
      return;
    }
    const now = this.#options.clock.monotonicNow();
    buffering.endSeenAt ??= now;
    if (now - buffering.endSeenAt < missingCheckpointMilliseconds) return;
    this.#options.logger.error(
      "the partition has no checkpoint, its older records are lost",
      { stream: this.#options.stream, start: buffering.firstOffset },
    );
    const state = createPartitionState();
    state.appliedOffset = buffering.firstOffset - 1 as Offset;
    this.#restore(buffering, state);
    this.#checkCaughtUp();
  }
}
