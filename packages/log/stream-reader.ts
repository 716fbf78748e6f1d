/**
 * Follows one stream: long-polls the log and passes on each record in order. It reports each read
 * that reaches the end of the stream, from which freshness is derived.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { LogUnavailableError } from "../common/errors.ts";
import type { Offset, StreamName } from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import {
  initialRetryDelayMilliseconds,
  maximumRetryDelayMilliseconds,
} from "./constants.ts";
import type { LogClient, StoredRecord } from "./log-client.ts";

export interface StreamReaderOptions {
  client: LogClient;
  stream: StreamName;
  from?: Offset;
  onRecord: (record: StoredRecord) => void;
  /** The log has dropped records before `start` that the reader had not read. */
  onGap?: (start: Offset) => void;
  /** A read has reached the end of the stream; its request was sent at `sentAt` (monotonic). */
  onEndReached?: (end: Offset, sentAt: number) => void;
  clock?: Clock;
  logger?: Logger;
  waitMilliseconds?: number;
}

export class StreamReader {
  readonly #options: StreamReaderOptions;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #abortController = new AbortController();
  #nextOffset: Offset;

  constructor(options: StreamReaderOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#logger = options.logger ?? silentLogger;
    this.#nextOffset = options.from ?? 0 as Offset;
  }

  /** Offset of the next record to be passed on. */
  get next(): Offset {
    return this.#nextOffset;
  }

  start(): void {
    void this.#runReadLoop();
  }

  stop(): void {
    this.#abortController.abort();
  }

  /**
   * Accepts a record from another source, such as a peer, if it is the next one; returns whether it
   * was accepted.
   */
  offer(record: StoredRecord): boolean {
    if (
      record.offset !== this.#nextOffset || this.#abortController.signal.aborted
    ) {
      return false;
    }
    this.#accept(record);
    return true;
  }

  #accept(record: StoredRecord): void {
    this.#nextOffset = record.offset + 1 as Offset;
    this.#options.onRecord(record);
  }

  async #runReadLoop(): Promise<void> {
    let delay = initialRetryDelayMilliseconds;
    while (!this.#abortController.signal.aborted) {
      try {
        await this.#readOnce();
        delay = initialRetryDelayMilliseconds;
      } catch (error) {
        if (this.#abortController.signal.aborted) return;
        this.#logger.debug("a read of the log failed and will be retried", {
          stream: this.#options.stream,
          reason: error instanceof Error ? error.message : String(error),
        });
        if (!(error instanceof LogUnavailableError)) throw error;
        await new Promise((resolve) => setTimeout(resolve, delay));
        delay = Math.min(delay * 2, maximumRetryDelayMilliseconds);
      }
    }
  }

  async #readOnce(): Promise<void> {
    const sentAt = this.#clock.monotonicNow();
    const result = await this.#options.client.read(this.#options.stream, {
      from: this.#nextOffset,
      signal: this.#abortController.signal,
      ...(this.#options.waitMilliseconds === undefined
        ? {}
        : { waitMilliseconds: this.#options.waitMilliseconds }),
    });
    if (this.#abortController.signal.aborted) return;
    if (result.start > this.#nextOffset) {
      this.#nextOffset = result.start;
      this.#options.onGap?.(result.start);
    }
    for (const record of result.records) {
      if (record.offset >= this.#nextOffset) this.#accept(record);
    }
    if (this.#nextOffset >= result.end) {
      this.#options.onEndReached?.(result.end, sentAt);
    }
  }
}
