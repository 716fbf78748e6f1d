/** Writers group entries and retry lost appends with the same sequence; readers keep the order. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { Clock } from "../common/clock.ts";
import { LogUnavailableError } from "../common/errors.ts";
import {
  brandAs,
  type Offset,
  type StreamName,
  type WriterId,
} from "../common/ids.ts";
import { AppendBudget } from "./append-budget.ts";
import { GroupCommitWriter } from "./group-commit-writer.ts";
import {
  HttpLogClient,
  type LogClient,
  type LogReadResult,
  type StoredRecord,
} from "./log-client.ts";
import { decodeRecord, type LogRecord } from "./record.ts";
import { StreamReader } from "./stream-reader.ts";

const stream = brandAs<StreamName>("test");
const writerId = brandAs<WriterId>("writer-1");

class FakeLog implements LogClient {
  readonly records: StoredRecord[] = [];
  start = 0;
  responsesToLose = 0;
  appendGate: Promise<void> = Promise.resolve();

  async append(_stream: StreamName, data: Uint8Array): Promise<Offset> {
    await this.appendGate;
    const offset = this.records.length as Offset;
    this.records.push({ offset, time: 0, data });
    if (this.responsesToLose > 0) {
      this.responsesToLose--;
      throw new LogUnavailableError("response lost", {
        mayHaveTakenEffect: true,
      });
    }
    return offset;
  }

  async read(
    _stream: StreamName,
    { from }: { from: Offset },
  ): Promise<LogReadResult> {
    await new Promise((resolve) => setImmediate(resolve));
    const first = Math.max(from, this.start);
    return {
      start: this.start as Offset,
      end: this.records.length as Offset,
      records: this.records.slice(first, first + 2),
    };
  }

  decoded(): LogRecord[] {
    return this.records.map((record) => decodeRecord(record.data)!);
  }
}

test("entries that arrive during an append share the next record", async () => {
  const log = new FakeLog();
  let openGate = () => {};
  log.appendGate = new Promise((resolve) => openGate = resolve);
  const writer = new GroupCommitWriter({
    client: log,
    stream,
    writer: writerId,
  });
  const first = writer.append(1);
  await new Promise((resolve) => setImmediate(resolve));
  const others = [2, 3, 4].map((entry) => writer.append(entry));
  openGate();
  assert.deepEqual(await Promise.all([first, ...others]), [0, 1, 1, 1]);
  assert.deepEqual(log.decoded().map((record) => record.entries), [[1], [
    2,
    3,
    4,
  ]]);
});

test("an append whose response is lost is retried with the same sequence", async () => {
  const log = new FakeLog();
  log.responsesToLose = 1;
  const writer = new GroupCommitWriter({
    client: log,
    stream,
    writer: writerId,
  });
  assert.equal(await writer.append("once"), 1);
  await writer.append("next");
  assert.deepEqual(log.decoded().map((record) => record.sequence), [0, 0, 1]);
});

test("an entry over the record limit is refused and does not block others", async () => {
  const writer = new GroupCommitWriter({
    client: new FakeLog(),
    stream,
    writer: writerId,
  });
  await assert.rejects(writer.append("x".repeat(1024 * 1024)), {
    code: "entry_too_large",
  });
  assert.equal(await writer.append("small"), 0);
});

test("a closed writer rejects what it has not appended", async () => {
  const log = new FakeLog();
  log.appendGate = new Promise(() => {});
  const writer = new GroupCommitWriter({
    client: log,
    stream,
    writer: writerId,
  });
  void writer.append("under way").catch(() => {});
  await new Promise((resolve) => setImmediate(resolve));
  const queued = writer.append("queued");
  writer.close();
  await assert.rejects(queued, { code: "writer_closed" });
  await assert.rejects(writer.append("late"), { code: "writer_closed" });
});

test("a reader passes on every record once and in order, and reports gaps and the end", async () => {
  const log = new FakeLog();
  const writer = new GroupCommitWriter({
    client: log,
    stream,
    writer: writerId,
  });
  for (let entry = 0; entry < 7; entry++) await writer.append(entry);
  log.start = 3;
  const offsets: number[] = [];
  const gaps: number[] = [];
  const end = await new Promise<Offset>((resolve) => {
    const reader = new StreamReader({
      client: log,
      stream,
      from: 1 as Offset,
      onRecord: (record) => offsets.push(record.offset),
      onGap: (start) => gaps.push(start),
      onEndReached: (offset) => {
        reader.stop();
        resolve(offset);
      },
    });
    reader.start();
  });
  assert.deepEqual(offsets, [3, 4, 5, 6]);
  assert.deepEqual(gaps, [3]);
  assert.equal(end, 7);
});

test("a malformed response of the log is a LogUnavailableError", async () => {
  const malformedBodies = ["not cbor \xff", "", "\x83\x01", "{}"];
  const server = createServer((_request, response) => {
    response.end(Buffer.from(malformedBodies.shift() ?? "", "latin1"));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpLogClient({ baseUrl: `http://127.0.0.1:${port}` });
  try {
    for (let remaining = malformedBodies.length; remaining > 0; remaining--) {
      await assert.rejects(
        client.read(stream, { from: 0 as Offset, waitMilliseconds: 0 }),
        LogUnavailableError,
      );
    }
  } finally {
    await client.close();
    server.close();
  }
});

test("a reader accepts only the next record from a peer", () => {
  const reader = new StreamReader({
    client: new FakeLog(),
    stream,
    onRecord: () => {},
  });
  const record = (offset: number): StoredRecord => ({
    offset: offset as Offset,
    time: 0,
    data: new Uint8Array(),
  });
  assert.equal(reader.offer(record(1)), false);
  assert.equal(reader.offer(record(0)), true);
  assert.equal(reader.offer(record(0)), false);
  assert.equal(reader.next, 1);
});

test("the append rate of an instance shrinks with the number of members", async () => {
  let now = 0;
  const clock: Clock = { monotonicNow: () => now, wallNow: () => now };
  const budget = new AppendBudget({
    fleetAppendsPerSecond: () => 400,
    countMembers: () => 390,
    clock,
  });
  assert.equal(Math.round(budget.intervalMilliseconds), 1219);
  now = 10_000;
  const immediate = await Promise.race([
    budget.acquire().then(() => budget.acquire()).then(() => "granted"),
    new Promise((resolve) => setTimeout(() => resolve("waiting"), 20)),
  ]);
  assert.equal(immediate, "granted");
});

test("the append rate follows the rate that the document sets", () => {
  let published = 400;
  const budget = new AppendBudget({
    fleetAppendsPerSecond: () => published,
    countMembers: () => 10,
  });
  assert.equal(budget.intervalMilliseconds, 31.25);
  published = 200;
  assert.equal(budget.intervalMilliseconds, 62.5);
});
