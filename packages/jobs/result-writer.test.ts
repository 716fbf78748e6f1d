import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { StoreRejectedError } from "../store/keyed-store.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { JobPartition } from "./job-partition.ts";
import { encodeRecord, jobKey } from "./records.ts";
import { ResultWriter } from "./result-writer.ts";
import { createJobRecord } from "./testing/job-record.ts";

const job = "j" as JobId;
const target = {
  stream: "jobs" as StreamName,
  partition: 0 as PartitionNumber,
};

function openPartition(service: MemoryStoreService, caller: string) {
  const partition = new JobPartition({
    store: service.client(caller),
    target,
    logger: silentLogger,
    now: () => performance.now(),
    isOwned: () => true,
    onChange: () => {},
  });
  partition.start();
  return partition;
}

function createWriter(partition: JobPartition, writer: string) {
  let number = 0;
  return new ResultWriter({
    partition,
    writer,
    nextNumber: () => number++,
    logger: silentLogger,
  });
}

async function order(partition: JobPartition): Promise<number[]> {
  await partition.catchUp();
  return partition.job(job)!.results.map((result) => result.item);
}

function writeJob(service: MemoryStoreService, items: number) {
  service.append(target, [{
    key: jobKey(job),
    value: encodeRecord(createJobRecord(job, items)),
  }]);
}

test("results keep their positions for a later reader if a write is retried after a lost answer", async () => {
  const service = new MemoryStoreService();
  writeJob(service, 2);
  const early = openPartition(service, "early");
  const first = createWriter(early, "first");
  const second = createWriter(early, "second");
  service.appendResponsesToDrop = 1;
  first.addResult({ job, item: 0, state: "completed", text: "a" });
  const written = first.flush(1_000);
  // The other result is written between the write whose answer is lost and its retry.
  await new Promise((resolve) => setTimeout(resolve, 30));
  second.addResult({ job, item: 1, state: "completed", text: "b" });
  await second.flush(1_000);
  await written;
  const late = openPartition(service, "late");
  const orders = [await order(early), await order(late)];
  early.stop();
  late.stop();
  assert.deepEqual(orders[1], orders[0]);
});

test("a text that is larger than a record is listed whole and holds up no other result", async () => {
  const service = new MemoryStoreService();
  writeJob(service, 3);
  // Three bytes for each character in UTF-8: 277,268 bytes with the last one.
  const text = "\u0a15".repeat(92_422) + "é";
  const early = openPartition(service, "early");
  const writer = createWriter(early, "first");
  writer.addResult({ job, item: 0, state: "completed", text: "before" });
  writer.addResult({ job, item: 1, state: "completed", text });
  writer.addResult({ job, item: 2, state: "completed", text: "after" });
  await writer.flush(1_000);
  const late = openPartition(service, "late");
  try {
    for (const reader of [early, late]) {
      assert.deepEqual(await order(reader), [0, 1, 2]);
      assert.equal(reader.job(job)!.results[1]!.text, text);
    }
    assert.equal(service.rejectedAppends, 0);
  } finally {
    early.stop();
    late.stop();
  }
});

test("a write that the store rejects is not repeated: the item is given up and the others are listed", async () => {
  const service = new MemoryStoreService();
  writeJob(service, 3);
  const partition = openPartition(service, "early");
  const append = partition.append.bind(partition);
  // The store rejects whatever holds the result of the second item.
  partition.append = (entries) => {
    const isBad = entries.some(({ value }) =>
      value && Buffer.from(value).includes("poison")
    );
    if (!isBad) return append(entries);
    service.rejectedAppends += 1;
    return Promise.reject(new StoreRejectedError("invalid"));
  };
  const writer = createWriter(partition, "first");
  writer.addResult({ job, item: 0, state: "completed", text: "fine" });
  writer.addResult({ job, item: 1, state: "completed", text: "poison" });
  writer.addResult({ job, item: 2, state: "completed", text: "fine" });
  await writer.flush(1_000);
  partition.stop();
  await order(partition);
  const states = partition.job(job)!.results
    .map(({ item, state }) => `${item} ${state}`).sort();
  assert.deepEqual(states, ["0 completed", "1 dead_letter", "2 completed"]);
  assert.ok(service.rejectedAppends <= 4, `${service.rejectedAppends}`);
});
