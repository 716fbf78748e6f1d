/**
 * Appends entries to one stream by group commit: entries that arrive during an append go into the
 * next record. An append whose response is lost is retried with the same writer and sequence, so
 * that readers count it once.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { LogUnavailableError, RosemaryrudderError } from "../common/errors.ts";
import type { Offset, StreamName, WriterId } from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import { encodeValue } from "../protocol/frames.ts";
import type { AppendBudget } from "./append-budget.ts";
import {
  initialRetryDelayMilliseconds,
  maximumGroupBytes,
  maximumRecordBytes,
  maximumRetryDelayMilliseconds,
  recordVersion,
} from "./constants.ts";
import type { LogClient } from "./log-client.ts";
import { encodeRecord } from "./record.ts";

export interface GroupCommitWriterOptions {
  client: LogClient;
  stream: StreamName;
  /** Must be unique for each writer object, since the sequence of each begins at zero. */
  writer: WriterId;
  budget?: AppendBudget;
  clock?: Clock;
  logger?: Logger;
  version?: number;
  /** Called after each append with the number of entries and its duration. */
  onAppended?: (entries: number, milliseconds: number) => void;
}

interface QueuedEntry {
  entry: unknown;
  bytes: number;
  resolve: (offset: Offset) => void;
  reject: (error: Error) => void;
}

export class WriterClosedError extends RosemaryrudderError {
  constructor() {
    super(
      "writer_closed",
      "the writer was closed before the entry was appended",
    );
  }
}

export class GroupCommitWriter {
  readonly #options: GroupCommitWriterOptions;
  readonly #clock: Clock;
  readonly #logger: Logger;
  #queue: QueuedEntry[] = [];
  #sequence = 0;
  #isAppending = false;
  #isClosed = false;

  constructor(options: GroupCommitWriterOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#logger = options.logger ?? silentLogger;
  }

  get queueLength(): number {
    return this.#queue.length;
  }

  /**
   * Resolves with the offset of the record. The entry takes effect only once a reducer accepts it.
   * Rejects with a WriterClosedError, or with `entry_too_large`.
   */
  append(entry: unknown): Promise<Offset> {
    if (this.#isClosed) return Promise.reject(new WriterClosedError());
    const bytes = encodeValue(entry).length;
    // 1 KiB of the record is left for its other fields.
    if (bytes > maximumRecordBytes - 1_024) {
      return Promise.reject(
        new RosemaryrudderError(
          "entry_too_large",
          `an entry of ${bytes} bytes is too large`,
        ),
      );
    }
    return new Promise((resolve, reject) => {
      this.#queue.push({ entry, bytes, resolve, reject });
      void this.#appendQueuedGroups();
    });
  }

  /** Rejects the queued entries. An append in progress may still take effect. */
  close(): void {
    this.#isClosed = true;
    for (const queued of this.#queue.splice(0)) {
      queued.reject(new WriterClosedError());
    }
  }

  async #appendQueuedGroups(): Promise<void> {
    if (this.#isAppending) return;
    this.#isAppending = true;
    try {
      while (this.#queue.length > 0 && !this.#isClosed) {
        await this.#options.budget?.acquire();
        await this.#appendGroup(this.#takeGroup());
      }
    } finally {
      this.#isAppending = false;
    }
  }

  #takeGroup(): QueuedEntry[] {
    let bytes = 0;
    let count = 0;
    for (const queued of this.#queue) {
      bytes += queued.bytes;
      if (count > 0 && bytes > maximumGroupBytes) break;
      count++;
    }
    return this.#queue.splice(0, count);
  }

  async #appendGroup(group: QueuedEntry[]): Promise<void> {
    if (group.length === 0) return;
    const startedAt = this.#clock.monotonicNow();
    const data = encodeRecord({
      version: this.#options.version ?? recordVersion,
      writer: this.#options.writer,
      sequence: this.#sequence++,
      writtenAt: this.#clock.wallNow(),
      entries: group.map((queued) => queued.entry),
    });
    const offset = await this.#appendWithRetries(data);
    if (offset === undefined) {
      for (const queued of group) queued.reject(new WriterClosedError());
      return;
    }
    this.#options.onAppended?.(
      group.length,
      this.#clock.monotonicNow() - startedAt,
    );
    for (const queued of group) queued.resolve(offset);
  }

  async #appendWithRetries(data: Uint8Array): Promise<Offset | undefined> {
    let delay = initialRetryDelayMilliseconds;
    while (!this.#isClosed) {
      try {
        return await this.#options.client.append(this.#options.stream, data);
      } catch (error) {
        if (!(error instanceof LogUnavailableError)) throw error;
        this.#logger.debug("an append failed and will be retried", {
          stream: this.#options.stream,
          reason: error.message,
        });
      }
      await new Promise((resolve) => setTimeout(resolve, delay));
      delay = Math.min(delay * 2, maximumRetryDelayMilliseconds);
    }
    return undefined;
  }
}
