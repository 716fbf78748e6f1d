/**
 * Writes the results and failure counts of items in groups, and retries each write until the
 * store confirms it. A write whose outcome is unknown is retried under a new key: a second record
 * with the same key would hide the first, and an instance that reads the partition later would
 * see its results at later positions. A write that the store rejects as invalid is not retried
 * unchanged; as the last resort the item is given up.
 */

import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import {
  type KeyedEntry,
  StoreRejectedError,
  StoreUnavailableError,
} from "../store/keyed-store.ts";
import { retryPauseMilliseconds } from "../store/retry-pause.ts";
import { chunkBySize } from "./chunk-by-size.ts";
import {
  groupCommitMilliseconds,
  writeRetryMilliseconds,
} from "./constants.ts";
import type { JobPartition } from "./job-partition.ts";
import {
  type BatchRecord,
  encodeRecord,
  groupKey,
  type ItemFailures,
  type ItemResult,
  jobsOf,
  textKey,
} from "./records.ts";
import {
  type PendingEntries,
  recordsInsteadOf,
  toRecords,
} from "./result-records.ts";

export interface ResultWriterOptions {
  readonly partition: JobPartition;
  /** Part of the record keys; unique for each incarnation of an instance. */
  readonly writer: string;
  readonly logger: Logger;
  /** Returns a number that this writer has not used for a key yet. */
  readonly nextNumber: () => number;
  /** Called with the size of the results that are not written yet, after each change. */
  readonly onHeldBytes?: (bytes: number) => void;
}

export class ResultWriter {
  readonly #options: ResultWriterOptions;
  #pending: PendingEntries = createPendingEntries();
  #isWriting = false;
  #heldBytes = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ResultWriterOptions) {
    this.#options = options;
  }

  /** True if nothing is waiting to be written or being written. */
  get isIdle(): boolean {
    return !this.#isWriting && countOf(this.#pending) === 0;
  }

  addResult(result: ItemResult): void {
    this.#pending.results.push(result);
    this.#changeHeldBytes(result.text.length);
    this.#schedule();
  }

  addFailures(failures: ItemFailures): void {
    this.#pending.failures.push(failures);
    this.#schedule();
  }

  /** Writes pending entries at once; resolves when all are written or the time limit has passed. */
  async flush(timeoutMilliseconds: number): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const deadline = performance.now() + timeoutMilliseconds;
    void this.#write();
    while (!this.isIdle && performance.now() < deadline) {
      await delay(systemTimers, flushPollMilliseconds);
    }
  }

  #changeHeldBytes(change: number): void {
    this.#heldBytes += change;
    this.#options.onHeldBytes?.(this.#heldBytes);
  }

  #schedule(): void {
    if (this.#timer || this.#isWriting) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      void this.#write();
    }, groupCommitMilliseconds);
  }

  async #write(): Promise<void> {
    if (this.#isWriting || countOf(this.#pending) === 0) return;
    this.#isWriting = true;
    const pending = this.#pending;
    this.#pending = createPendingEntries();
    const records = toRecords(
      pending,
      () => `${this.#options.writer}/${this.#options.nextNumber()}`,
    ).map(encode);
    for (const chunk of chunkBySize(records, ({ value }) => value.length)) {
      await this.#appendWithRetry(chunk);
    }
    this.#isWriting = false;
    this.#changeHeldBytes(
      -pending.results.reduce((sum, { text }) => sum + text.length, 0),
    );
    if (countOf(this.#pending) > 0) this.#schedule();
  }

  async #appendWithRetry(records: readonly EncodedRecord[]): Promise<void> {
    const { partition, logger } = this.#options;
    let entries = this.#assignKeys(records);
    for (let attempt = 1;; attempt++) {
      try {
        const offset = await partition.append(entries);
        logger.info("results were written", {
          partition: partition.number,
          offset,
          keys: entries.map(({ key }) => key).join(" "),
          items: records.flatMap(({ record }) => itemsOf(record)).join(" "),
          attempt,
        });
        return;
      } catch (error) {
        if (error instanceof StoreRejectedError) {
          return await this.#appendInsteadOf(records, error);
        }
        logger.warn("results could not be written; the write will be retried", {
          partition: partition.number,
          attempt,
          reason: String(error),
        });
        const isNotWritten = error instanceof StoreUnavailableError &&
          !error.mayHaveTakenEffect;
        // A write that certainly had no effect can be retried under the same keys.
        if (!isNotWritten) entries = this.#assignKeys(records);
        await delay(
          systemTimers,
          retryPauseMilliseconds(error, {
            attempt,
            baseMilliseconds: writeRetryMilliseconds,
            growthLimit: maximumBackoffFactor,
          }),
        );
      }
    }
  }

  /** Never writes rejected records unchanged: one by one first, then what takes their place. */
  async #appendInsteadOf(
    records: readonly EncodedRecord[],
    error: StoreRejectedError,
  ): Promise<void> {
    if (records.length > 1) {
      for (const record of records) await this.#appendWithRetry([record]);
      return;
    }
    const [{ record }] = records as [EncodedRecord];
    const substitutes = recordsInsteadOf(record);
    this.#options.logger.error("the store rejected a record of results", {
      partition: this.#options.partition.number,
      kind: record.kind,
      jobs: jobsOf(record).join(" "),
      items: record.kind === "group"
        ? record.results.map(({ item }) => item).join(" ")
        : null,
      substitutes: substitutes.length,
      reason: error.message,
    });
    for (const substitute of substitutes) {
      await this.#appendWithRetry([encode(substitute)]);
    }
  }

  #assignKeys(records: readonly EncodedRecord[]): KeyedEntry[] {
    const { writer, nextNumber } = this.#options;
    return records.map(({ record, value }) => ({
      key: record.kind === "text"
        ? textKey(record.id, record.part, nextNumber())
        : groupKey(writer, nextNumber()),
      value,
    }));
  }
}

const flushPollMilliseconds = 10;
/** Number of attempts after which the pause between two attempts stops growing. */
const maximumBackoffFactor = 4;

interface EncodedRecord {
  readonly record: BatchRecord;
  readonly value: Uint8Array;
}

function encode(record: BatchRecord): EncodedRecord {
  return { record, value: encodeRecord(record) };
}

/** The items whose results the record holds, after their jobs. */
function itemsOf(record: BatchRecord): string[] {
  return record.kind === "group"
    ? record.results.map(({ job, item }) => `${job}/${item}`)
    : [];
}

function createPendingEntries(): PendingEntries {
  return { results: [], failures: [] };
}

function countOf({ results, failures }: PendingEntries): number {
  return results.length + failures.length;
}
