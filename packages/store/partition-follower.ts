/**
 * Follows one partition of the store: reads the newest record of every key first, then each
 * later record in order. After the history was lost it reads the newest records again, so that
 * the listener misses no key, but may miss values that were replaced meanwhile.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { Offset } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import {
  emptyReadPauseMilliseconds,
  followRetryMilliseconds,
  followWaitMilliseconds,
} from "./constants.ts";
import {
  type KeyedRecord,
  type KeyedStore,
  OffsetOutOfRangeError,
  type ReadResult,
  type StreamPartition,
} from "./keyed-store.ts";
import { readNewestPages } from "./newest-pages.ts";

export interface PartitionFollowerOptions {
  store: KeyedStore;
  target: StreamPartition;
  /** Receives records in the order of their offsets; `isSnapshot` if later ones may be missing. */
  onRecords: (
    records: readonly KeyedRecord[],
    position: Offset,
    isSnapshot: boolean,
  ) => void;
  /** Pause between two reads, which lets records gather; 0 to read at once. */
  pauseMilliseconds?: () => number;
  /** Called at each failed read. */
  onFailure?: () => void;
  logger: Logger;
  clock?: Clock;
}

export class PartitionFollower {
  readonly #options: Required<PartitionFollowerOptions>;
  #next: Offset | undefined;
  #lastSuccessAt = Number.NEGATIVE_INFINITY;
  #isStopped = false;
  #isFailing = false;
  #abort = new AbortController();
  #wake: (() => void) | undefined;

  constructor(options: PartitionFollowerOptions) {
    this.#options = {
      pauseMilliseconds: () => 0,
      onFailure: () => {},
      clock: systemClock,
      ...options,
    };
  }

  /** Offset of the next record to be read, or undefined before the first snapshot. */
  get position(): Offset | undefined {
    return this.#next;
  }

  /** When a read that reached the end of the partition was last sent; monotonic milliseconds. */
  get currentAsOf(): number {
    return this.#lastSuccessAt;
  }

  get isFailing(): boolean {
    return this.#isFailing;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
    this.#abort.abort();
    this.#wake?.();
  }

  /** Ends a pause and reads at once. */
  skipPause(): void {
    this.#wake?.();
  }

  /** Reads up to the present end of the partition; false if the store does not answer. */
  async catchUp(): Promise<boolean> {
    try {
      if (this.#next === undefined) await this.#readSnapshot();
      else await this.#readToEnd(this.#next);
      return true;
    } catch (error) {
      this.#options.logger.warn("a read of a partition up to its end failed", {
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
        const result = await store.read(target, { from: this.#next ?? from });
        isAtEnd = this.#accept(result);
        if (isAtEnd) this.#noteCurrent(sentAt);
      }
    } catch (error) {
      if (!(error instanceof OffsetOutOfRangeError)) throw error;
      await this.#readSnapshot();
    }
  }

  /** Everything that was written before this time has been passed on. */
  #noteCurrent(sentAt: number): void {
    this.#lastSuccessAt = Math.max(this.#lastSuccessAt, sentAt);
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        if (this.#next === undefined) await this.#readSnapshot();
        else await this.#readOn(this.#next);
        this.#noteSuccess();
      } catch (error) {
        if (this.#isStopped) return;
        if (error instanceof OffsetOutOfRangeError) {
          this.#options.logger.warn("history of a partition was lost", {
            stream: this.#options.target.stream,
            partition: this.#options.target.partition,
            position: this.#next,
          });
          this.#next = undefined;
          continue;
        }
        this.#noteFailure(error);
        await this.#pause(followRetryMilliseconds);
      }
    }
  }

  async #readSnapshot(): Promise<void> {
    const { store, target, clock } = this.#options;
    const sentAt = clock.monotonicNow();
    const records: KeyedRecord[] = [];
    let end: Offset | undefined;
    for await (const page of readNewestPages(store, target)) {
      end ??= page.end;
      for (const record of page.records) records.push(record);
    }
    // Pages are no snapshot: what was written after the first page is read again in order.
    const limit = end!;
    const settled = records
      .filter((record) => record.offset < limit)
      .sort((left, right) => left.offset - right.offset);
    this.#options.onRecords(settled, limit, true);
    if (limit > (this.#next ?? -1)) this.#next = limit;
    this.#noteCurrent(sentAt);
  }

  async #readOn(from: Offset): Promise<void> {
    const { store, target, clock, pauseMilliseconds } = this.#options;
    const sentAt = clock.monotonicNow();
    const result = await store.read(target, {
      from,
      waitMilliseconds: followWaitMilliseconds,
      signal: this.#abort.signal,
    });
    const isAtEnd = this.#accept(result);
    if (isAtEnd) this.#noteCurrent(sentAt);
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

  /** Passes on what is new; true if the end of the partition was reached. */
  #accept({ records, next, end }: ReadResult): boolean {
    const position = this.#next ?? 0;
    const fresh = records.filter((record) => record.offset >= position);
    if (fresh.length > 0) this.#options.onRecords(fresh, next, false);
    if (next > position) this.#next = next;
    return (this.#next ?? 0) >= end;
  }

  #noteSuccess(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#options.logger.info("reading a partition works again", {
      stream: this.#options.target.stream,
      partition: this.#options.target.partition,
    });
  }

  #noteFailure(error: unknown): void {
    this.#options.onFailure();
    if (this.#isFailing) return;
    this.#isFailing = true;
    this.#options.logger.warn("a partition cannot be read", {
      stream: this.#options.target.stream,
      partition: this.#options.target.partition,
      reason: String(error),
    });
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#wake?.(), milliseconds);
      this.#wake = () => {
        clearTimeout(timer);
        this.#wake = undefined;
        resolve();
      };
    });
  }
}
