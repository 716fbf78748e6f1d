/**
 * Follows one partition of the store: reads the newest record of every key first, then each
 * later record in order. If the store has dropped the next records, it reads the newest records
 * again. The receiver then misses no key, but may miss values that were replaced in between.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { Offset } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Holding } from "../overload/held-bytes.ts";
import { deriveConnectionTimings } from "../transport/connection-timings.ts";
import {
  emptyReadPauseMilliseconds,
  followRetryMilliseconds,
  maximumCatchUps,
} from "./constants.ts";
import {
  type KeyedRecord,
  type KeyedStore,
  OffsetOutOfRangeError,
  type ReadResult,
  StoreUnavailableError,
  type StreamPartition,
} from "./keyed-store.ts";
import { readNewestPages } from "./newest-pages.ts";

export interface PartitionFollowerOptions {
  store: KeyedStore;
  target: StreamPartition;
  /**
   * Receives records in offset order. `isSnapshot` is true for the newest records of the keys,
   * followed by all records that were written while they were read.
   */
  onRecords: (
    records: readonly KeyedRecord[],
    position: Offset,
    isSnapshot: boolean,
  ) => void;
  /** Pause between two reads, so that records accumulate; 0 to read again at once. */
  pauseMilliseconds?: () => number;
  /** How long a read waits for a new record. */
  waitMilliseconds?: () => number;
  /** Called after each failed read, with the time at which the first of the series was noticed. */
  onFailure?: (failingSince: number) => void;
  /** Opens a holding for the newest records until they are delivered. */
  openSnapshotHolding?: () => Holding | undefined;
  logger: Logger;
  clock?: Clock;
}

export class PartitionFollower {
  readonly #options: Required<PartitionFollowerOptions>;
  #nextOffset: Offset | undefined;
  #completeUntil = Number.NEGATIVE_INFINITY;
  #isStopped = false;
  /** When the first of the failed reads since the last successful one was noticed. */
  #failingSince: number | undefined;
  /** Ends the present read of the next records; replaced before the following one. */
  #abortController = new AbortController();
  #endPause: (() => void) | undefined;
  #runningCatchUps = 0;
  /** Waits for one that is running to end. */
  #nextCatchUp: Promise<boolean> | undefined;
  #startNextCatchUp: (() => void) | undefined;

  constructor(options: PartitionFollowerOptions) {
    this.#options = {
      pauseMilliseconds: () => 0,
      waitMilliseconds: () => deriveConnectionTimings().pollWaitMilliseconds,
      onFailure: () => {},
      openSnapshotHolding: () => undefined,
      clock: systemClock,
      ...options,
    };
  }

  /** Offset of the next record to be read; undefined before the first snapshot. */
  get position(): Offset | undefined {
    return this.#nextOffset;
  }

  /**
   * When the last read that reached the end of the partition was sent, in monotonic
   * milliseconds. Everything written before this time has been delivered.
   */
  get completeUntil(): number {
    return this.#completeUntil;
  }

  /** True from a failed read until the next successful one. */
  get isFailing(): boolean {
    return this.#failingSince !== undefined;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
    this.#abortController.abort();
    this.#endPause?.();
  }

  /**
   * Ends the present wait for new records and begins another one at once. Called when the wait has
   * become shorter: the longer one might notice only at its end that its connection is silent.
   */
  readAgain(): void {
    this.#abortController.abort();
    this.#endPause?.();
  }

  /** Ends the pause between two reads, if there is one, so that the next read starts at once. */
  skipPause(): void {
    this.#endPause?.();
  }

  /**
   * Reads up to the current end of the partition; returns false if a read fails. Calls beyond a
   * number at once share the next reading, which begins after all of them.
   */
  catchUp(): Promise<boolean> {
    if (this.#runningCatchUps < maximumCatchUps) return this.#runCatchUp();
    this.#nextCatchUp ??= new Promise((resolve) => {
      this.#startNextCatchUp = () => {
        this.#nextCatchUp = undefined;
        this.#startNextCatchUp = undefined;
        resolve(this.#runCatchUp());
      };
    });
    return this.#nextCatchUp;
  }

  async #runCatchUp(): Promise<boolean> {
    this.#runningCatchUps += 1;
    try {
      return await this.#readUntilNow();
    } finally {
      this.#runningCatchUps -= 1;
      this.#startNextCatchUp?.();
    }
  }

  async #readUntilNow(): Promise<boolean> {
    try {
      if (this.#nextOffset === undefined) await this.#readSnapshot();
      else await this.#readToEnd(this.#nextOffset);
      return true;
    } catch (error) {
      this.#options.logger.warn("reading a partition up to its end failed", {
        stream: this.#options.target.stream,
        partition: this.#options.target.partition,
        reason: String(error),
      });
      return false;
    }
  }

  async #readToEnd(from: Offset): Promise<void> {
    const { store, target, clock } = this.#options;
    try {
      for (let isAtEnd = false; !isAtEnd;) {
        const sentAt = clock.monotonicNow();
        const result = await store.read(target, {
          from: this.#nextOffset ?? from,
        });
        isAtEnd = this.#deliver(result);
        if (isAtEnd) this.#advanceCompleteUntil(sentAt);
      }
    } catch (error) {
      if (!(error instanceof OffsetOutOfRangeError)) throw error;
      await this.#readSnapshot();
    }
  }

  /** Records that everything written before `sentAt` has been delivered. */
  #advanceCompleteUntil(sentAt: number): void {
    this.#completeUntil = Math.max(this.#completeUntil, sentAt);
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      if (this.#abortController.signal.aborted) {
        this.#abortController = new AbortController();
      }
      try {
        if (this.#nextOffset === undefined) await this.#readSnapshot();
        else await this.#readNext(this.#nextOffset);
        this.#reportRecovery();
      } catch (error) {
        if (this.#isStopped) return;
        if (this.#abortController.signal.aborted) continue;
        if (error instanceof OffsetOutOfRangeError) {
          this.#options.logger.warn("history of a partition was lost", {
            stream: this.#options.target.stream,
            partition: this.#options.target.partition,
            position: this.#nextOffset,
          });
          this.#nextOffset = undefined;
          continue;
        }
        this.#reportFailure(error);
        await this.#pause(followRetryMilliseconds);
      }
    }
  }

  async #readSnapshot(): Promise<void> {
    const { store, target, clock, logger, openSnapshotHolding } = this.#options;
    const sentAt = clock.monotonicNow();
    using holding = openSnapshotHolding();
    const newest: KeyedRecord[] = [];
    let start: Offset | undefined;
    let end = 0 as Offset;
    const grow = (records: readonly KeyedRecord[]) =>
      holding?.grow(
        records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0),
      );
    for await (const page of readNewestPages(store, target)) {
      start ??= page.end;
      // A store may determine the end of a page before its records.
      end = page.records.reduce(
        (latest, { offset }) => Math.max(latest, offset + 1) as Offset,
        Math.max(end, page.end) as Offset,
      );
      newest.push(...page.records);
      grow(page.records);
    }
    // The pages are read one after another, so together they are not consistent: a record that was
    // written again meanwhile would be missing. What follows the first page comes from the history.
    const before = newest.filter(({ offset }) => offset < start!)
      .sort((left, right) => left.offset - right.offset);
    const { records: later, next } = await this.#readHistory(start!, end);
    grow(later);
    logger.info("the newest records of a partition were read", {
      stream: target.stream,
      partition: target.partition,
      end: next,
      records: before.length,
      writtenMeanwhile: later.length,
      milliseconds: Math.round(clock.monotonicNow() - sentAt),
    });
    this.#options.onRecords([...before, ...later], next, true);
    if (next > (this.#nextOffset ?? -1)) this.#nextOffset = next;
    this.#advanceCompleteUntil(sentAt);
  }

  /** Reads the records from an offset on, at least up to another one. */
  async #readHistory(
    from: Offset,
    until: Offset,
  ): Promise<Pick<ReadResult, "records" | "next">> {
    const { store, target } = this.#options;
    const records: KeyedRecord[] = [];
    let next = from;
    while (next < until) {
      const result = await store.read(target, { from: next });
      if (result.next <= next) {
        throw new StoreUnavailableError(
          `the history ends at ${next}, before the newest records`,
          { mayHaveTakenEffect: false },
        );
      }
      records.push(...result.records);
      next = result.next;
    }
    return { records, next };
  }

  async #readNext(from: Offset): Promise<void> {
    const { store, target, clock, pauseMilliseconds, waitMilliseconds } =
      this.#options;
    const sentAt = clock.monotonicNow();
    const result = await store.read(target, {
      from,
      waitMilliseconds: waitMilliseconds(),
      signal: this.#abortController.signal,
    });
    const isAtEnd = this.#deliver(result);
    if (isAtEnd) this.#advanceCompleteUntil(sentAt);
    const pause = pauseMilliseconds();
    if (!isAtEnd) return;
    if (result.records.length > 0 && pause > 0) await this.#pause(pause);
    else if (result.records.length === 0) {
      const elapsed = clock.monotonicNow() - sentAt;
      if (elapsed < emptyReadPauseMilliseconds) {
        await this.#pause(emptyReadPauseMilliseconds - elapsed);
      }
    }
  }

  /** Delivers records that are new; returns true if the end of the partition was reached. */
  #deliver({ records, next, end }: ReadResult): boolean {
    const position = this.#nextOffset ?? 0;
    const newRecords = records.filter((record) => record.offset >= position);
    if (newRecords.length > 0) this.#options.onRecords(newRecords, next, false);
    if (next > position) this.#nextOffset = next;
    return (this.#nextOffset ?? 0) >= end;
  }

  #reportRecovery(): void {
    if (!this.isFailing) return;
    this.#failingSince = undefined;
    this.#options.logger.info("reading a partition works again", {
      stream: this.#options.target.stream,
      partition: this.#options.target.partition,
    });
  }

  #reportFailure(error: unknown): void {
    const { clock, onFailure } = this.#options;
    const wasFailing = this.isFailing;
    this.#failingSince ??= clock.monotonicNow();
    onFailure(this.#failingSince);
    if (wasFailing) return;
    this.#options.logger.warn("a partition cannot be read", {
      stream: this.#options.target.stream,
      partition: this.#options.target.partition,
      reason: String(error),
    });
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#endPause?.(), milliseconds);
      this.#endPause = () => {
        clearTimeout(timer);
        this.#endPause = undefined;
        resolve();
      };
    });
  }
}
