/** An in-memory log for tests that can fail, lose answers, pause clients and trim records. */

import { LogUnavailableError } from "../../common/errors.ts";
import type { Offset, StreamName } from "../../common/ids.ts";
import type {
  LogClient,
  LogReadOptions,
  LogReadResult,
  StoredRecord,
} from "../../log/log-client.ts";
import { decodeRecord } from "../../log/record.ts";
import { delay } from "../timing.ts";

interface FakeStream {
  /** Offset of the oldest record that is kept. */
  start: number;
  records: StoredRecord[];
  /** Called to end the long polls that wait for a record. */
  pollWaiters: (() => void)[];
}

export class FakeLog {
  readonly #streams = new Map<string, FakeStream>();
  /** Whether appends and reads fail. */
  isDown = false;
  /** Whether every third append takes effect but its answer is lost, so that its caller fails. */
  losesEveryThirdAnswer = false;
  appendMilliseconds = 0;
  appends = 0;
  bytes = 0;

  /** Creates a client that can be paused. Its calls then wait, also those already sent. */
  client(gate: { paused: Promise<void> | undefined }): LogClient {
    return {
      append: async (stream, data) => {
        await gate.paused;
        const offset = await this.#append(stream, data);
        await gate.paused;
        return offset;
      },
      read: async (stream, options) => {
        await gate.paused;
        const result = await this.#read(stream, options);
        await gate.paused;
        return result;
      },
    };
  }

  streams(): string[] {
    return [...this.#streams.keys()];
  }

  records(stream: string): readonly StoredRecord[] {
    return this.#stream(stream).records;
  }

  entries(stream: string): Record<string, unknown>[] {
    return this.records(stream).flatMap(({ data }) =>
      (decodeRecord(data)?.entries ?? []) as Record<string, unknown>[]
    );
  }

  /** Drops records that are older than the retention. */
  trimOlderThan(retentionMilliseconds: number): void {
    const oldest = Date.now() - retentionMilliseconds;
    for (const stream of this.#streams.values()) {
      const kept = stream.records.findIndex(({ time }) => time >= oldest);
      const dropped = kept === -1 ? stream.records.length : kept;
      stream.records.splice(0, dropped);
      stream.start += dropped;
    }
  }

  /** Drops the records before an offset of one stream. */
  trimTo(name: string, offset: number): void {
    const stream = this.#stream(name);
    stream.records.splice(0, offset - stream.start);
    stream.start = offset;
  }

  async #append(name: StreamName, data: Uint8Array): Promise<Offset> {
    if (this.appendMilliseconds > 0) await delay(this.appendMilliseconds);
    if (this.isDown) throw new LogUnavailableError("the log is down");
    const stream = this.#stream(name);
    const offset = stream.start + stream.records.length as Offset;
    stream.records.push({ offset, time: Date.now(), data: data.slice() });
    this.appends++;
    this.bytes += data.length;
    for (const wake of [...stream.pollWaiters]) wake();
    if (this.losesEveryThirdAnswer && this.appends % 3 === 0) {
      throw new LogUnavailableError("the answer was lost", {
        mayHaveTakenEffect: true,
      });
    }
    return offset;
  }

  async #read(
    name: StreamName,
    { from, waitMilliseconds = 500, maximumBytes = 512 * 1024, signal }:
      LogReadOptions,
  ): Promise<LogReadResult> {
    if (this.isDown) throw new LogUnavailableError("the log is down");
    const stream = this.#stream(name);
    const end = () => stream.start + stream.records.length;
    if (from >= end() && waitMilliseconds > 0) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          signal?.removeEventListener("abort", wake);
          stream.pollWaiters = stream.pollWaiters.filter((other) =>
            other !== wake
          );
          resolve();
        };
        const timer = setTimeout(wake, waitMilliseconds);
        stream.pollWaiters.push(wake);
        signal?.addEventListener("abort", wake);
      });
    }
    const records: StoredRecord[] = [];
    let bytes = 0;
    for (
      const record of stream.records.slice(Math.max(0, from - stream.start))
    ) {
      bytes += record.data.length;
      if (records.length > 0 && bytes > maximumBytes) break;
      records.push(record);
    }
    return {
      start: stream.start as Offset,
      end: end() as Offset,
      records,
    };
  }

  #stream(name: string): FakeStream {
    let stream = this.#streams.get(name);
    if (!stream) {
      stream = { start: 0, records: [], pollWaiters: [] };
      this.#streams.set(name, stream);
    }
    return stream;
  }
}
