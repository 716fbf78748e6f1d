/** One append-only stream in memory, with its oldest records dropped after the retention. */

import { compactionThreshold } from "../constants.ts";

export interface LogRecord {
  readonly offset: number;
  readonly time: number;
  readonly data: Uint8Array;
}

export interface StreamSlice {
  readonly start: number;
  readonly end: number;
  readonly records: readonly LogRecord[];
}

export class StoredStream {
  #records: LogRecord[] = [];
  /** Index of the oldest record that is still kept. */
  #first = 0;
  #end = 0;
  #bytes = 0;
  readonly #waiters = new Set<() => void>();

  get start(): number {
    return this.#end - this.count;
  }

  get end(): number {
    return this.#end;
  }

  get count(): number {
    return this.#records.length - this.#first;
  }

  /** Bytes of the records that are kept. */
  get bytes(): number {
    return this.#bytes;
  }

  append(data: Uint8Array, time: number): number {
    const offset = this.#end++;
    this.#records.push({ offset, time, data });
    this.#bytes += data.length;
    this.wakeReaders();
    return offset;
  }

  /** Records from an offset on, up to a number of bytes but at least one. */
  read(from: number, maximumBytes: number): StreamSlice {
    const records: LogRecord[] = [];
    let bytes = 0;
    const index = this.#first + Math.max(0, from - this.start);
    for (let at = index; at < this.#records.length; at++) {
      const record = this.#records[at];
      if (!record) break;
      bytes += record.data.length;
      if (records.length > 0 && bytes > maximumBytes) break;
      records.push(record);
    }
    return { start: this.start, end: this.#end, records };
  }

  dropOlderThan(time: number): void {
    for (
      let record = this.#records[this.#first];
      record && record.time < time;
      record = this.#records[this.#first]
    ) {
      this.#bytes -= record.data.length;
      this.#first += 1;
    }
    const isWorthwhile = this.#first >= compactionThreshold ||
      this.#first === this.#records.length;
    if (isWorthwhile) {
      this.#records = this.#records.slice(this.#first);
      this.#first = 0;
    }
  }

  /** Resolves at the next append, when readers are woken, or after the wait. */
  waitForAppend(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", finish);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal.addEventListener("abort", finish);
      this.#waiters.add(finish);
    });
  }

  wakeReaders(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}
