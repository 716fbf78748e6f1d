import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { PartitionNumber, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { KeyedRecord } from "./keyed-store.ts";
import { PartitionFollower } from "./partition-follower.ts";
import { MemoryStoreService } from "./testing/memory-keyed-store.ts";

const target = {
  stream: "jobs" as StreamName,
  partition: 0 as PartitionNumber,
};

function entry(key: string, value = key) {
  return { key, value: Buffer.from(value) };
}

function follow(service: MemoryStoreService, caller = "reader") {
  const seen: KeyedRecord[] = [];
  const snapshots: number[] = [];
  const follower = new PartitionFollower({
    store: service.client(caller),
    target,
    logger: silentLogger,
    onRecords: (records, _position, isSnapshot) => {
      seen.push(...records);
      if (isSnapshot) snapshots.push(records.length);
    },
  });
  follower.start();
  return { seen, snapshots, follower };
}

async function until(condition: () => boolean, what: string): Promise<void> {
  const limit = performance.now() + 5_000;
  while (!condition()) {
    assert.ok(performance.now() < limit, `timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("a follower delivers existing records in offset order, over several pages", async () => {
  const service = new MemoryStoreService({ pageSize: 2 });
  service.append(target, ["d", "a", "c", "b"].map((key) => entry(key)));
  service.append(target, [entry("a", "later")]);
  const { seen, follower } = follow(service);
  await until(() => seen.length === 4, "snapshot");
  assert.deepEqual(seen.map((record) => record.key), ["d", "c", "b", "a"]);
  follower.stop();
});

test("a follower delivers each later record exactly once", async () => {
  const service = new MemoryStoreService();
  const { seen, follower } = follow(service);
  await until(() => follower.position !== undefined, "snapshot");
  for (const key of ["x", "y", "z"]) service.append(target, [entry(key)]);
  await until(() => seen.length === 3, "records");
  assert.deepEqual(seen.map((record) => record.offset), [0, 1, 2]);
  follower.stop();
});

test("a follower reads the newest records again if its next records were dropped", async () => {
  const service = new MemoryStoreService();
  service.append(target, [entry("a", "old")]);
  const { seen, snapshots, follower } = follow(service);
  await until(() => seen.length === 1, "snapshot");
  service.refusedCallers.add("reader");
  await until(() => follower.isFailing, "failure");
  service.append(target, [entry("a", "new"), entry("b")]);
  service.dropHistory();
  service.refusedCallers.delete("reader");
  await until(() => snapshots.length === 2, "second snapshot");
  assert.deepEqual(
    seen.slice(1).map((record) => record.value?.toString()),
    ["new", "b"],
  );
  follower.stop();
});

test("catching up returns false while the store refuses the caller, so that the records read so far do not count as up to date", async () => {
  const service = new MemoryStoreService();
  const { follower } = follow(service);
  await until(() => follower.position !== undefined, "snapshot");
  service.refusedCallers.add("reader");
  assert.equal(await follower.catchUp(), false);
  follower.stop();
});

// Guards against many callers at once who make the instance read the same records for each of them.
test("many calls to catch up at once share a read that begins after all of them", async () => {
  const service = new MemoryStoreService();
  const store = service.client("reader");
  const read = store.read.bind(store);
  let reads = 0;
  store.read = (...options) => {
    reads += 1;
    return read(...options);
  };
  const seen: string[] = [];
  const follower = new PartitionFollower({
    store,
    target,
    logger: silentLogger,
    onRecords: (records) => seen.push(...records.map(({ key }) => key)),
  });
  assert.equal(await follower.catchUp(), true);
  const earlier = [follower.catchUp(), follower.catchUp()];
  await Promise.resolve();
  service.append(target, [entry("a")]);
  const later = Array.from({ length: 50 }, () => follower.catchUp());
  assert.ok((await Promise.all([...earlier, ...later])).every(Boolean));
  assert.deepEqual(seen, ["a"]);
  assert.equal(reads, 3);
});

// An instance that became a coordinator went on with a wait that is meant for dependents.
test("a follower that reads again does so at once, with its present wait", async () => {
  const service = new MemoryStoreService();
  const store = service.client("reader");
  const waits: (number | undefined)[] = [];
  store.read = (_, { waitMilliseconds, signal }) => {
    waits.push(waitMilliseconds);
    return new Promise((_, reject) =>
      signal?.addEventListener("abort", () => reject(new Error("aborted")))
    );
  };
  let wait = 6_000;
  const follower = new PartitionFollower({
    store,
    target,
    logger: silentLogger,
    waitMilliseconds: () => wait,
    onRecords: () => {},
  });
  follower.start();
  await until(() => waits.length === 1, "the first read");
  wait = 1_200;
  follower.readAgain();
  await until(() => waits.length === 2, "the second read");
  assert.deepEqual(waits, [6_000, 1_200]);
  assert.equal(follower.isFailing, false);
  follower.stop();
});
