/**
 * Writes results and failures of items in groups until the store has taken them. A
 * write whose outcome is unknown is repeated under another key: a second record of the same key
 * would hide the first, and a later reader would find its results at later positions.
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
  /** Unique for each life of an instance. */
  readonly writer: string;
  readonly logger: Logger;
  readonly nextNumber: () => number;
}

interface PendingEntries {
  results: ItemResult[];
  failures: ItemFailures[];
}

/** Bytes of ids and field names. */
const entryOverheadBytes = 120;

export class ResultWriter {
  readonly #options: ResultWriterOptions;
  #pending: PendingEntries = createPendingEntries();
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ResultWriterOptions) {
    this.#options = options;
  }

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

  /** Writes what is pending now, and resolves after the time limit in any case. */
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
        logger.warn("results could not be written; the write is repeated", {
          partition: partition.number,
          attempt,
          reason: String(error),
        });
        const isNotWritten = error instanceof StoreUnavailableError &&
          !error.mayHaveTakenEffect;
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
/** Repetitions after which the pause between two writes grows no more. */
const maximumBackoffFactor = 4;

function createPendingEntries(): PendingEntries {
  return { results: [], failures: [] };
}

function countOf({ results, failures }: PendingEntries): number {
  return results.length + failures.length;
}

/** Splits what is pending into records that are small enough for the store. */
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
