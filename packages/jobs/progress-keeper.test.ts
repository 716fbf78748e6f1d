import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { type ItemProgress, ProgressKeeper } from "./progress-keeper.ts";

const job = "j" as JobId;
const partition = 0 as PartitionNumber;
const target = { stream: "progress" as StreamName, partition };

function entry(item: number, lastEventId: number): ItemProgress {
  return { job, item, lastEventId, text: `to ${lastEventId}` };
}

function createKeeper(service: MemoryStoreService, caller: string) {
  const progress: ItemProgress[] = [];
  const keeper = new ProgressKeeper({
    store: service.client(caller),
    stream: target.stream,
    ownedPartitions: () => [partition],
    progressOf: () => progress,
    logger: silentLogger,
  });
  return { keeper, progress };
}

test("the next owner knows how far the runs of a dead instance had got", async () => {
  const service = new MemoryStoreService();
  const dead = createKeeper(service, "dead");
  await dead.keeper.load(partition);
  dead.progress.push(entry(0, 3), entry(1, 7));
  await dead.keeper.write(partition);
  dead.progress[0] = entry(0, 5);
  await dead.keeper.write(partition);
  service.dropHistory();

  const { keeper } = createKeeper(service, "next");
  await keeper.load(partition);
  assert.equal(keeper.get(partition, job, 0)!.text, "to 5");
  assert.equal(keeper.get(partition, job, 1)!.text, "to 7");
});

test("records of finished items leave the store, those of earlier owners too", async () => {
  const service = new MemoryStoreService();
  const first = createKeeper(service, "first");
  await first.keeper.load(partition);
  first.progress.push(entry(0, 3), entry(1, 7));
  await first.keeper.write(partition);
  const second = createKeeper(service, "second");
  await second.keeper.load(partition);
  second.progress.push(entry(1, 9));
  await second.keeper.write(partition);
  assert.deepEqual([...service.log(target).newest.keys()], ["j/1"]);
});

test("nothing is written while nothing changes, and a failed write is made up", async () => {
  const service = new MemoryStoreService();
  const { keeper, progress } = createKeeper(service, "one");
  await keeper.load(partition);
  progress.push(entry(0, 3));
  service.isDown = true;
  await keeper.write(partition);
  assert.equal(service.appendCount, 0);
  service.isDown = false;
  await keeper.write(partition);
  await keeper.write(partition);
  assert.equal(service.appendCount, 1);
});

test("an owner that cannot read the progress begins its items all the same", async () => {
  const service = new MemoryStoreService();
  service.isDown = true;
  const { keeper } = createKeeper(service, "one");
  assert.equal(keeper.isLoaded(partition), false);
  await keeper.load(partition);
  assert.equal(keeper.isLoaded(partition), true);
});
