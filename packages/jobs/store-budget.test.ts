import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { JobId, PartitionNumber } from "../common/ids.ts";
import { decodeRecord, encodeRecord } from "./records.ts";
import { recordsInsteadOf, splitText, toRecords } from "./result-records.ts";
import {
  bodyGraceMilliseconds,
  estimateVolume,
  hasRoom,
} from "./store-budget.ts";

const lifetime = 120_000;
const [first, second, third] = [0, 1, 2] as PartitionNumber[];

test("a partition counts once in the volume, also while nobody reports it or the owner reports no bytes", () => {
  const partitions = [first!, second!, third!];
  const volume = estimateVolume([
    { ownedPartitions: [first!], storedBytes: 10, writtenBytes: 1 },
    // An instance of an earlier version.
    { ownedPartitions: [second!] },
  ], { partitions, volumeOf: (partition) => 100 + partition });
  assert.equal(volume, 10 + 1 + 101 + 102);
});

test("bodies of listed items stay with their job in an empty store and go at once in a full one", () => {
  assert.equal(bodyGraceMilliseconds(0.1, lifetime), Infinity);
  assert.equal(Math.round(bodyGraceMilliseconds(0.4, lifetime)), 60_000);
  assert.equal(bodyGraceMilliseconds(0.5, lifetime), 2_000);
  assert.equal(bodyGraceMilliseconds(1.2, lifetime), 2_000);
});

test("a job is refused while a quarter of the capacity is left for the results of accepted ones", () => {
  const demand = { volumeBytes: 60, expectedBytes: 10, capacityBytes: 100 };
  assert.equal(hasRoom({ ...demand, jobBytes: 5 }), true);
  assert.equal(hasRoom({ ...demand, jobBytes: 6 }), false);
});

test("bursts at the rate of the largest jobs fit without refusals", () => {
  // 2.88 jobs a second of 14 bodies of 215,000 bytes; items are listed after 1.5 s.
  const bytesPerSecond = 2.88 * 14 * 215_000;
  const history = 20;
  let peak = 0;
  let grace = lifetime;
  for (let second = 1; second < 300; second++) {
    // A body is live until its grace has passed, and stored for the history in any case.
    const age = Math.min(
      second,
      Math.max(history + 1, 1.5 + grace / 1_000 + 2),
    );
    const volume = bytesPerSecond * age;
    peak = Math.max(peak, volume);
    if (second % 2 === 0) grace = bodyGraceMilliseconds(volume / 4e8, lifetime);
  }
  assert.ok(
    hasRoom({
      volumeBytes: peak,
      expectedBytes: 2e6,
      jobBytes: 14 * 215_000,
      capacityBytes: 4e8,
    }),
    `${peak}`,
  );
});

test("a text is split between characters, and no part exceeds its size", () => {
  const text = "aé\u0a15😀".repeat(50);
  for (const size of [4, 5, 7, 64]) {
    const parts = splitText(text, size);
    assert.equal(parts.join(""), text);
    assert.ok(parts.every((part) => Buffer.byteLength(part) <= size));
  }
});

test("a rejected record is never written again: it ends as a dead letter and then as nothing", () => {
  const result = { job: "j" as JobId, item: 0, state: "completed" as const };
  const records = toRecords({
    results: [{ ...result, text: "x".repeat(300_000) }, {
      ...result,
      text: "",
    }],
    failures: [{ job: "j" as JobId, item: 1, count: 1 }],
  }, () => "t");
  assert.deepEqual(records.map(({ kind }) => kind), ["text", "text", "group"]);
  for (const record of records) {
    assert.deepEqual(decodeRecord(encodeRecord(record)), record);
    let left = [record];
    let writes = 0;
    for (; left.length > 0; writes++) left = left.flatMap(recordsInsteadOf);
    assert.ok(writes <= 3);
  }
});
