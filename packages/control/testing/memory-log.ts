/** An in-memory log with outages, lost responses and trimming, for tests of the control state. */

import { LogUnavailableError } from "../../common/errors.ts";
import { brandAs, type Offset, type StreamName } from "../../common/ids.ts";
import type {
  LogClient,
  LogReadOptions,
  LogReadResult,
  StoredRecord,
} from "../../log/log-client.ts";

interface MemoryStream {
  start: number;
  records: StoredRecord[];
  waitingReaders: Set<() => void>;
}

export class MemoryLog implements LogClient {
  readonly #streams = new Map<StreamName, MemoryStream>();
  /** While true, every call fails as during an outage. */
  isDown = false;
  /** Number of upcoming appends that take effect although their response is lost. */
  appendResponsesToDrop = 0;
  appendCount = 0;

  append(stream: StreamName, data: Uint8Array): Promise<Offset> {
    if (this.isDown) {
      return Promise.reject(new LogUnavailableError("the log is down"));
    }
    const target = this.#streamOf(stream);
    const offset = brandAs<Offset>(target.start + target.records.length);
    const time = Date.now();
    target.records.push({ offset, time, data: new Uint8Array(data) });
    this.appendCount += 1;
    for (const wake of [...target.waitingReaders]) wake();
    if (this.appendResponsesToDrop > 0) {
      this.appendResponsesToDrop -= 1;
      return Promise.reject(
        new LogUnavailableError("no response", { mayHaveTakenEffect: true }),
      );
    }
    return Promise.resolve(offset);
  }

  async read(
    stream: StreamName,
    { from, waitMilliseconds = 100, signal }: LogReadOptions,
  ): Promise<LogReadResult> {
    const target = this.#streamOf(stream);
    const end = () => target.start + target.records.length;
    if (!this.isDown && from >= end() && waitMilliseconds > 0) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          target.waitingReaders.delete(finish);
          signal?.removeEventListener("abort", finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMilliseconds);
        target.waitingReaders.add(finish);
        signal?.addEventListener("abort", finish, { once: true });
      });
    }
    if (this.isDown) throw new LogUnavailableError("the log is down");
    const records = target.records.slice(Math.max(0, from - target.start));
    return {
      start: brandAs<Offset>(target.start),
      end: brandAs<Offset>(end()),
      records,
    };
  }

  /** Drops the records before the offset, as the log does when their retention ends. */
  trim(stream: StreamName, start: number): void {
    const target = this.#streamOf(stream);
    target.records.splice(0, Math.max(0, start - target.start));
    target.start = Math.max(target.start, start);
  }

  recordsOf(stream: StreamName): readonly StoredRecord[] {
    return this.#streamOf(stream).records;
  }

  #streamOf(name: StreamName): MemoryStream {
    let stream = this.#streams.get(name);
    if (!stream) {
      stream = { start: 0, records: [], waitingReaders: new Set() };
      this.#streams.set(name, stream);
    }
    return stream;
  }
}

/** The connection of one client to a log, which can fail while other clients still reach it. */
export class DisconnectableLog implements LogClient {
  readonly #log: LogClient;
  isOffline = false;

  constructor(log: LogClient) {
    this.#log = log;
  }

  append(stream: StreamName, data: Uint8Array): Promise<Offset> {
    return this.#guard(() => this.#log.append(stream, data));
  }

  read(stream: StreamName, options: LogReadOptions): Promise<LogReadResult> {
    return this.#guard(() => this.#log.read(stream, options));
  }

  async #guard<Value>(call: () => Promise<Value>): Promise<Value> {
    if (this.isOffline) throw new LogUnavailableError("the log is unreachable");
    const value = await call();
    if (this.isOffline) throw new LogUnavailableError("the response was lost");
    return value;
  }
}
