import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  JobId,
  Offset,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { JobPartition } from "./job-partition.ts";
import { type BatchRecord, encodeRecord, groupKey, jobKey } from "./records.ts";
import { createJobRecord } from "./testing/job-record.ts";

const job = "j" as JobId;
const target = {
  stream: "jobs" as StreamName,
  partition: 0 as PartitionNumber,
};

class PartitionFixture {
  readonly service = new MemoryStoreService({ pageSize: 1 });
  readonly store: KeyedStore = this.service.client("reader");
  readonly partition = new JobPartition({
    store: this.store,
    target,
    logger: silentLogger,
    now: () => performance.now(),
    isOwned: () => true,
    onChange: () => {},
  });

  write(key: string, record: BatchRecord): void {
    this.service.append(target, [{ key, value: encodeRecord(record) }]);
  }

  /** A caller who repeats a submission may have the record of the job written again. */
  writeJob(): void {
    this.write(jobKey(job), createJobRecord(job, 2));
  }

  writeResult(item: number): void {
    this.write(groupKey("w", item), {
      kind: "group",
      results: [{ job, item, state: "completed", text: `text ${item}` }],
      failures: [],
    });
  }

  /** Calls the function once, between two pages of the newest records. */
  onceBetweenPages(call: () => void): void {
    const readNewest = this.store.readNewest.bind(this.store);
    let isDone = false;
    this.store.readNewest = async (...options) => {
      if (options[1] !== undefined && !isDone) {
        isDone = true;
        call();
      }
      return await readNewest(...options);
    };
  }
}

function resultsOf(partition: JobPartition): string[] | undefined {
  return partition.job(job)?.results.map(({ text }) => text);
}

test("a job keeps its results when its record is written again while the newest records are read after a lost history", async () => {
  const fixture = new PartitionFixture();
  const { service, partition } = fixture;
  fixture.writeJob();
  fixture.writeResult(1);
  assert.ok(await partition.catchUp());
  fixture.writeResult(0);
  service.dropHistory();
  fixture.onceBetweenPages(() => fixture.writeJob());
  assert.ok(await partition.catchUp());
  assert.ok(await partition.catchUp());
  assert.deepEqual(resultsOf(partition), ["text 1", "text 0"]);
});

test("a job keeps its results when its record is written again between the last pages of two first reads", async () => {
  const fixture = new PartitionFixture();
  const { store, partition } = fixture;
  fixture.writeJob();
  fixture.writeResult(1);
  const readNewest = store.readNewest.bind(store);
  // Both reads see the result on their first page. Only the first sees the old record of the job.
  const firstRead = partition.catchUp();
  store.readNewest = async (...options) => {
    const page = await readNewest(...options);
    if (options[1] === undefined) await firstRead;
    return page;
  };
  const secondRead = partition.catchUp();
  await firstRead;
  fixture.writeJob();
  await secondRead;
  assert.ok(await partition.catchUp());
  assert.deepEqual(resultsOf(partition), ["text 1"]);
});

test("a job whose record is written again while the newest records are read is known after catching up", async () => {
  const fixture = new PartitionFixture();
  fixture.writeJob();
  fixture.writeResult(1);
  fixture.onceBetweenPages(() => fixture.writeJob());
  assert.ok(await fixture.partition.catchUp());
  assert.deepEqual(resultsOf(fixture.partition), ["text 1"]);
});

test("a job is known although the store states the end of a page from before its last record", async () => {
  const fixture = new PartitionFixture();
  const { store, partition } = fixture;
  fixture.writeJob();
  fixture.writeJob();
  const readNewest = store.readNewest.bind(store);
  store.readNewest = async (...options) => {
    const page = await readNewest(...options);
    return { ...page, end: page.end - 1 as Offset };
  };
  assert.ok(await partition.catchUp());
  assert.deepEqual(resultsOf(partition), []);
});

test("a read whose page is empty although more follow fails, since missing records count as removed", async () => {
  const { store, partition } = new PartitionFixture();
  store.readNewest = () =>
    Promise.resolve({ records: [], end: 0 as Offset, hasMore: true });
  assert.equal(await partition.catchUp(), false);
});
