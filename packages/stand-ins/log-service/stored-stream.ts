/** One append-only stream of records in memory, from which old records can be dropped. */

import { compactionThreshold } from "../constants.ts";

export interface LogRecord {
  readonly offset: number;
  /** Time of the append in Unix milliseconds. */
  readonly time: number;
  readonly data: Uint8Array;
}

export interface StreamSlice {
  /** Offset of the oldest record of the stream. */
  readonly start: number;
  /** Offset of the next record to be appended to the stream. */
  readonly end: number;
  readonly records: readonly LogRecord[];
}

export class StoredStream {
  #records: LogRecord[] = [];
  /** Index in `#records` of the oldest record that is retained. */
  #firstIndex = 0;
  #end = 0;
  #bytes = 0;
  readonly #waitingReaders = new Set<() => void>();

  get start(): number {
    return this.#end - this.count;
  }

  get end(): number {
    return this.#end;
  }

  get count(): number {
    return this.#records.length - this.#firstIndex;
  }

  /** Total size of the retained records. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Appends a record, wakes the waiting readers and returns the offset of the record. */
  append(data: Uint8Array, time: number): number {
    const offset = this.#end++;
    this.#records.push({ offset, time, data });
    this.#bytes += data.length;
    this.wakeReaders();
    return offset;
  }

  /** Returns records from an offset on, at least one and further ones up to the byte limit. */
  read(from: number, maximumBytes: number): StreamSlice {
    const records: LogRecord[] = [];
    let bytes = 0;
    const startIndex = this.#firstIndex + Math.max(0, from - this.start);
    for (let index = startIndex; index < this.#records.length; index++) {
      const record = this.#records[index];
      if (!record) break;
      bytes += record.data.length;
      if (records.length > 0 && bytes > maximumBytes) break;
      records.push(record);
    }
    return { start: this.start, end: this.#end, records };
  }

  dropOlderThan(time: number): void {
    for (
      let record = this.#records[this.#firstIndex];
      record && record.time < time;
      record = this.#records[this.#firstIndex]
    ) {
      this.#bytes -= record.data.length;
      this.#firstIndex += 1;
    }
    const shouldCompact = this.#firstIndex >= compactionThreshold ||
      this.#firstIndex === this.#records.length;
    if (shouldCompact) {
      this.#records = this.#records.slice(this.#firstIndex);
      this.#firstIndex = 0;
    }
  }

  /** Resolves at the next append or `wakeReaders`, after the timeout or on abort. */
  waitForAppend(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", finish);
        this.#waitingReaders.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal.addEventListener("abort", finish);
      this.#waitingReaders.add(finish);
    });
  }

  wakeReaders(): void {
    for (const wake of [...this.#waitingReaders]) wake();
  }
}
