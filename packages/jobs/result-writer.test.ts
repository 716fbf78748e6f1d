import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  JobId,
  PartitionNumber,
  RouteId,
  StreamName,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { JobPartition } from "./job-partition.ts";
import { encodeRecord, jobKey } from "./records.ts";
import { ResultWriter } from "./result-writer.ts";

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

test("results keep their positions for a later reader if a write is retried after a lost answer", async () => {
  const service = new MemoryStoreService();
  service.append(target, [{
    key: jobKey(job),
    value: encodeRecord({
      kind: "job",
      job,
      workspace: undefined,
      route: "r" as RouteId,
      host: "h",
      acceptedAt: 0,
      dueAt: 0,
      retainedUntil: 0,
      maximumAttempts: 1,
      bodyOffset: 0,
      items: [0, 1].map((index) => ({
        id: `i${index}`,
        path: "/",
        headers: [],
        tokens: 1,
        bodyBytes: 0,
      })),
    }),
  }]);
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
