/**
 * Writes the results and failure counts of items in groups, and retries each write until the
 * store confirms it. A write whose outcome is unknown is retried under a new key: a second record
 * with the same key would hide the first, and an instance that reads the partition later would
 * see its results at later positions.
 */

import { Buffer } from "node:buffer";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import {
  type KeyedEntry,
  StoreUnavailableError,
} from "../store/keyed-store.ts";
import { chunkBySize } from "./chunk-by-size.ts";
import {
  groupCommitMilliseconds,
  maximumValueBytes,
  writeRetryMilliseconds,
} from "./constants.ts";
import type { JobPartition } from "./job-partition.ts";
import {
  encodeRecord,
  groupKey,
  type GroupRecord,
  type ItemFailures,
  type ItemResult,
} from "./records.ts";

export interface ResultWriterOptions {
  readonly partition: JobPartition;
  /** Part of the record keys; unique for each incarnation of an instance. */
  readonly writer: string;
  readonly logger: Logger;
  /** Returns a number that this writer has not used for a key yet. */
  readonly nextNumber: () => number;
}

interface PendingEntries {
  results: ItemResult[];
  failures: ItemFailures[];
}

/** Bytes allowed for the ids and field names of one entry. */
const entryOverheadBytes = 120;

export class ResultWriter {
  readonly #options: ResultWriterOptions;
  #pending: PendingEntries = createPendingEntries();
  #isWriting = false;
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
    const values = splitIntoGroups(pending).map(encodeRecord);
    for (const chunk of chunkBySize(values, (value) => value.length)) {
      await this.#appendWithRetry(chunk);
    }
    this.#isWriting = false;
    if (countOf(this.#pending) > 0) this.#schedule();
  }

  async #appendWithRetry(values: readonly Uint8Array[]): Promise<void> {
    const { partition, logger } = this.#options;
    let entries = this.#assignKeys(values);
    for (let attempt = 1;; attempt++) {
      try {
        await partition.append(entries);
        return;
      } catch (error) {
        logger.warn("results could not be written; the write will be retried", {
          partition: partition.number,
          attempt,
          reason: String(error),
        });
        const isNotWritten = error instanceof StoreUnavailableError &&
          !error.mayHaveTakenEffect;
        // A write that certainly had no effect can be retried under the same keys.
        if (!isNotWritten) entries = this.#assignKeys(values);
        const pause = Math.min(attempt, maximumBackoffFactor) *
          writeRetryMilliseconds;
        await delay(systemTimers, pause);
      }
    }
  }

  #assignKeys(values: readonly Uint8Array[]): KeyedEntry[] {
    const { writer, nextNumber } = this.#options;
    return values.map((value) => ({
      key: groupKey(writer, nextNumber()),
      value,
    }));
  }
}

const flushPollMilliseconds = 10;
/** Number of attempts after which the pause between two attempts stops growing. */
const maximumBackoffFactor = 4;

function createPendingEntries(): PendingEntries {
  return { results: [], failures: [] };
}

function countOf({ results, failures }: PendingEntries): number {
  return results.length + failures.length;
}

/** Splits pending entries into records that are small enough for the store. */
function splitIntoGroups(pending: PendingEntries): GroupRecord[] {
  const groups: GroupRecord[] = [];
  let current = createPendingEntries();
  let bytes = 0;
  const add = (size: number, addTo: (group: PendingEntries) => void) => {
    if (bytes + size > maximumValueBytes && countOf(current) > 0) {
      groups.push({ kind: "group", ...current });
      current = createPendingEntries();
      bytes = 0;
    }
    addTo(current);
    bytes += size;
  };
  for (const result of pending.results) {
    add(sizeOfText(result.text), (group) => group.results.push(result));
  }
  for (const failures of pending.failures) {
    add(entryOverheadBytes, (group) => group.failures.push(failures));
  }
  if (countOf(current) > 0) groups.push({ kind: "group", ...current });
  return groups;
}

function sizeOfText(text: string): number {
  return Buffer.byteLength(text) + entryOverheadBytes;
}
