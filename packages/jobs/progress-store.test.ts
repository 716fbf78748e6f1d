import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { type ItemProgress, ProgressStore } from "./progress-store.ts";

const job = "j" as JobId;
const partition = 0 as PartitionNumber;
const target = { stream: "progress" as StreamName, partition };

function entry(item: number, lastEventId: number): ItemProgress {
  return { job, item, lastEventId, text: `to ${lastEventId}` };
}

function createProgressStore(service: MemoryStoreService, caller: string) {
  const progress: ItemProgress[] = [];
  const itemsOver = new Set<number>();
  const store = new ProgressStore({
    store: service.client(caller),
    stream: target.stream,
    ownedPartitions: () => [partition],
    progressOf: () => progress,
    isOver: (_partition, _job, item) => itemsOver.has(item),
    logger: silentLogger,
  });
  return { store, progress, itemsOver };
}

test("the next owner loads the progress that a crashed instance stored", async () => {
  const service = new MemoryStoreService();
  const crashed = createProgressStore(service, "dead");
  await crashed.store.load(partition);
  crashed.progress.push(entry(0, 3), entry(1, 7));
  await crashed.store.write(partition);
  crashed.progress[0] = entry(0, 5);
  await crashed.store.write(partition);
  service.dropHistory();

  const { store } = createProgressStore(service, "next");
  await store.load(partition);
  assert.equal(store.get(partition, job, 0)!.text, "to 5");
  assert.equal(store.get(partition, job, 1)!.text, "to 7");
});

test("progress records of finished items are removed, also those of earlier owners", async () => {
  const service = new MemoryStoreService();
  const first = createProgressStore(service, "first");
  await first.store.load(partition);
  first.progress.push(entry(0, 3), entry(1, 7));
  await first.store.write(partition);
  const second = createProgressStore(service, "second");
  await second.store.load(partition);
  second.progress.push(entry(1, 9));
  second.itemsOver.add(0);
  await second.store.write(partition);
  assert.deepEqual([...service.log(target).newest.keys()], ["j/1"]);
});

test("the progress of an earlier owner stays until its items are known to be over, also if none is running yet", async () => {
  const service = new MemoryStoreService();
  const first = createProgressStore(service, "first");
  await first.store.load(partition);
  first.progress.push(entry(0, 3));
  await first.store.write(partition);
  const second = createProgressStore(service, "second");
  await second.store.load(partition);
  await second.store.write(partition);
  assert.equal(second.store.get(partition, job, 0)?.text, "to 3");
  assert.deepEqual([...service.log(target).newest.keys()], ["j/0"]);
});

test("the progress of items that are dropped while it is written is stored for the next owner", async () => {
  const service = new MemoryStoreService();
  const { store, progress } = createProgressStore(service, "leaving");
  await store.load(partition);
  progress.push(entry(0, 3));
  await store.write(partition);
  progress[0] = entry(0, 5);
  const writing = store.write(partition);
  progress.length = 0;
  await writing;

  const next = createProgressStore(service, "next");
  await next.store.load(partition);
  assert.equal(next.store.get(partition, job, 0)?.text, "to 5");
});

test("unchanged progress is not written again, and the next write includes the changes of a failed one", async () => {
  const service = new MemoryStoreService();
  const { store, progress } = createProgressStore(service, "one");
  await store.load(partition);
  progress.push(entry(0, 3));
  service.isDown = true;
  await store.write(partition);
  assert.equal(service.appendCount, 0);
  service.isDown = false;
  await store.write(partition);
  await store.write(partition);
  assert.equal(service.appendCount, 1);
});

test("loading ends, so that items can start, even if the stored progress cannot be read", async () => {
  const service = new MemoryStoreService();
  service.isDown = true;
  const { store } = createProgressStore(service, "one");
  assert.equal(store.isLoaded(partition), false);
  await store.load(partition);
  assert.equal(store.isLoaded(partition), true);
});
