import assert from "node:assert/strict";
import { test } from "node:test";
import fastCheck from "fast-check";
import type {
  JobId,
  PartitionNumber,
  RouteId,
  StreamName,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { BodyMissingError, ItemBodies } from "./item-bodies.ts";
import { JobPartition, JobPartitions } from "./job-partition.ts";
import { OrphanBodies } from "./orphan-bodies.ts";
import {
  type BatchRecord,
  bodyKey,
  encodeRecord,
  endKey,
  groupKey,
  jobKey,
} from "./records.ts";
import { RecordRemoval } from "./record-removal.ts";

const itemsPerJob = 2;
const lifetimeMilliseconds = 100;
const marginMilliseconds = 20;
const orphanMilliseconds = 50;
const jobStream = "jobs" as StreamName;
const bodyStream = "bodies" as StreamName;
const target = { stream: jobStream, partition: 0 as PartitionNumber };

/** A store with one partition of jobs, and a clock that stands still between steps. */
class JobStoreFixture {
  readonly service = new MemoryStoreService({ partitions: 1 });
  now = 1_000;
  #nextGroup = 0;

  write(key: string, record: BatchRecord): void {
    this.service.append(target, [{ key, value: encodeRecord(record) }]);
  }

  submit(job: JobId): void {
    this.writeBodies(job);
    this.write(jobKey(job), {
      kind: "job",
      job,
      workspace: undefined,
      route: "r" as RouteId,
      host: "h",
      acceptedAt: this.now,
      dueAt: this.now,
      retainedUntil: this.now,
      maximumAttempts: 1,
      bodyOffset: 0,
      items: Array.from({ length: itemsPerJob }, (_, index) => ({
        id: `${job}-${index}`,
        path: "/",
        headers: [],
        tokens: 1,
        bodyBytes: 1,
      })),
    });
  }

  writeBodies(job: JobId): void {
    for (let item = 0; item < itemsPerJob; item++) {
      this.service.append({ ...target, stream: bodyStream }, [{
        key: bodyKey(job, item, 0),
        value: new Uint8Array([item]),
      }]);
    }
  }

  end(job: JobId): void {
    this.write(endKey(job), { kind: "end", job });
  }

  /** Writes one group record, as earlier versions did also for several jobs. */
  list(...results: readonly { job: JobId; item: number }[]): void {
    this.write(groupKey("w", this.#nextGroup++), {
      kind: "group",
      results: results.map((result) => ({
        ...result,
        state: "completed",
        text: `${result.job}${result.item}`,
      })),
      failures: [],
    });
  }

  /** An instance that reads only when it is told to, and believes to own the partition. */
  openInstance(name: string, { bodyGraceMilliseconds = 10 } = {}) {
    const store = this.service.client(name);
    const now = () => this.now;
    const partitions = new JobPartitions(
      jobStream,
      1,
      (partition) =>
        new JobPartition({
          store,
          target: partition,
          logger: silentLogger,
          now,
          isOwned: () => true,
          onChange: () => {},
        }),
    );
    const options = {
      store,
      partitions,
      now,
      onRemoved: () => {},
      logger: silentLogger,
    };
    const removal = new RecordRemoval({
      ...options,
      bodyStream,
      isOwner: () => true,
      times: () => ({
        lifetimeMilliseconds,
        marginMilliseconds,
        bodyGraceMilliseconds,
        orphanMilliseconds,
      }),
      wallNow: now,
    });
    const orphans = new OrphanBodies({
      ...options,
      stream: bodyStream,
      isOwned: () => true,
      commonRegions: () => undefined,
      orphanMilliseconds,
    });
    const partition = partitions.all()[0]!;
    return { partition, removal, orphans };
  }
}

const jobs = ["a", "b", "c"] as JobId[];
const jobArbitrary = fastCheck.constantFrom(...jobs);
const resultArbitrary = fastCheck.record({
  job: jobArbitrary,
  item: fastCheck.integer({ min: 0, max: itemsPerJob - 1 }),
});
const stepArbitrary = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant("list" as const),
    results: fastCheck.array(resultArbitrary, { minLength: 1, maxLength: 3 }),
  }),
  fastCheck.record({
    kind: fastCheck.constant("end" as const),
    job: jobArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant("pass" as const),
    milliseconds: fastCheck.integer({ min: 1, max: 90 }),
  }),
  fastCheck.constantFrom(
    { kind: "sweep" as const },
    { kind: "read as the stale owner" as const },
    { kind: "sweep as the stale owner" as const },
    { kind: "drop the history" as const },
  ),
);

test("removals by the owner and by a stale one change no position, and nothing goes that is needed", async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(stepArbitrary, { maxLength: 25 }),
      async (steps) => {
        const fixture = new JobStoreFixture();
        const owner = fixture.openInstance("owner");
        const stale = fixture.openInstance("stale");
        const acceptedAt = fixture.now;
        for (const job of jobs) fixture.submit(job);
        const listed = new Map(jobs.map((job) => [job, new Set<number>()]));
        const ended = new Set<JobId>();
        const expected = new Map(jobs.map((job) => [job, [] as string[]]));
        const isOpen = (job: JobId) =>
          !ended.has(job) && listed.get(job)!.size < itemsPerJob;
        const isNeeded = (job: JobId) =>
          isOpen(job) || fixture.now <= acceptedAt + lifetimeMilliseconds;
        await owner.partition.catchUp();
        for (const step of steps) {
          if (step.kind === "list") {
            // Results arrive only while their jobs exist.
            const results = step.results.filter(({ job }) => isNeeded(job));
            if (results.length === 0) continue;
            fixture.list(...results);
            for (const { job, item } of results) {
              if (listed.get(job)!.has(item)) continue;
              listed.get(job)!.add(item);
              expected.get(job)!.push(`${job}${item}`);
            }
          } else if (step.kind === "end") {
            if (!isNeeded(step.job)) continue;
            fixture.end(step.job);
            ended.add(step.job);
          } else if (step.kind === "pass") fixture.now += step.milliseconds;
          else if (step.kind === "sweep") {
            await owner.partition.catchUp();
            await owner.removal.sweep();
          } else if (step.kind === "read as the stale owner") {
            await stale.partition.catchUp();
          } else if (step.kind === "sweep as the stale owner") {
            await stale.removal.sweep();
          } else fixture.service.dropHistory();
          const late = fixture.openInstance("late");
          await late.partition.catchUp();
          await owner.partition.catchUp();
          const bodies = new Set(fixture.service.liveKeys(bodyStream));
          for (const job of jobs.filter(isNeeded)) {
            for (const { partition } of [owner, late]) {
              const texts = partition.job(job)!.results.map(({ text }) => text);
              assert.deepEqual(texts, expected.get(job));
            }
            for (let item = 0; isOpen(job) && item < itemsPerJob; item++) {
              if (listed.get(job)!.has(item)) continue;
              assert.ok(bodies.has(bodyKey(job, item, 0)));
            }
          }
        }
        for (const job of jobs) fixture.end(job);
        // Each wait lets one more kind of record reach its age.
        for (let round = 0; round < 4; round++) {
          await owner.partition.catchUp();
          await owner.removal.sweep();
          fixture.now += lifetimeMilliseconds + marginMilliseconds;
        }
        assert.deepEqual(fixture.service.liveKeys(jobStream), []);
        assert.deepEqual(fixture.service.liveKeys(bodyStream), []);
      },
    ),
    { numRuns: 200 },
  );
});

test("a removal that ends halfway is completed by the next owner", async () => {
  const fixture = new JobStoreFixture();
  const [job] = jobs as [JobId];
  fixture.submit(job);
  fixture.list({ job, item: 0 }, { job, item: 1 });
  fixture.now += 2 * lifetimeMilliseconds;
  const first = fixture.openInstance("first");
  await first.partition.catchUp();
  await first.removal.sweep();
  fixture.now += 2 * lifetimeMilliseconds;
  // The bodies are removed, and the process ends before it removes the job.
  first.partition.append = () => Promise.reject(new Error("killed"));
  await first.removal.sweep();
  assert.deepEqual(fixture.service.liveKeys(bodyStream), []);
  assert.equal(fixture.service.liveKeys(jobStream).length, 2);
  const next = fixture.openInstance("next");
  await next.partition.catchUp();
  await next.removal.sweep();
  fixture.now += 2 * lifetimeMilliseconds;
  await next.removal.sweep();
  assert.deepEqual(fixture.service.liveKeys(jobStream), []);
});

test("results of a stale run that arrive after the removal of their job do not stay", async () => {
  const fixture = new JobStoreFixture();
  const owner = fixture.openInstance("owner");
  fixture.list({ job: jobs[0]!, item: 0 });
  fixture.end(jobs[1]!);
  await owner.partition.catchUp();
  await owner.removal.sweep();
  assert.equal(fixture.service.liveKeys(jobStream).length, 2);
  fixture.now += orphanMilliseconds;
  await owner.removal.sweep();
  assert.deepEqual(fixture.service.liveKeys(jobStream), []);
});

test("bodies of a submission that died halfway are removed, those of a recorded job stay", async () => {
  const fixture = new JobStoreFixture();
  const [recorded, lost, repeated] = jobs as [JobId, JobId, JobId];
  fixture.service.pageSize = 1;
  fixture.submit(recorded);
  fixture.writeBodies(lost);
  fixture.writeBodies(repeated);
  const { orphans, partition } = fixture.openInstance("owner");
  await partition.catchUp();
  await orphans.sweep();
  fixture.now += orphanMilliseconds;
  await orphans.sweep();
  assert.equal(fixture.service.liveKeys(bodyStream).length, 6);
  // The caller repeats one submission before the bodies have reached their age.
  fixture.submit(repeated);
  fixture.now += orphanMilliseconds;
  await orphans.sweep();
  const left = fixture.service.liveKeys(bodyStream).map((key) => key[0]);
  assert.deepEqual(new Set(left), new Set([recorded, repeated]));
});

test("a group of an earlier version stays while one of its jobs is open, and goes with the last", async () => {
  const fixture = new JobStoreFixture();
  const [open, finished] = jobs as [JobId, JobId];
  const owner = fixture.openInstance("owner");
  for (const job of [open, finished]) fixture.submit(job);
  fixture.list({ job: finished, item: 1 }, { job: open, item: 1 });
  fixture.list({ job: finished, item: 0 });
  const sweepLater = async () => {
    await owner.partition.catchUp();
    await owner.removal.sweep();
    fixture.now += 2 * lifetimeMilliseconds;
    await owner.removal.sweep();
    await owner.partition.catchUp();
  };
  await sweepLater();
  assert.equal(owner.partition.job(finished), undefined);
  const late = fixture.openInstance("late");
  await late.partition.catchUp();
  assert.deepEqual([...late.partition.job(open)!.finished], [1]);
  fixture.list({ job: open, item: 0 });
  await sweepLater();
  assert.deepEqual(fixture.service.liveKeys(jobStream), []);
});

test("an instance that missed a removal, since the history was dropped, forgets the job", async () => {
  const fixture = new JobStoreFixture();
  const [gone, kept] = jobs as [JobId, JobId];
  const reader = fixture.openInstance("reader");
  for (const job of [gone, kept]) fixture.submit(job);
  await reader.partition.catchUp();
  fixture.service.append(target, [{ key: jobKey(gone), value: undefined }]);
  fixture.service.dropHistory();
  await reader.partition.catchUp();
  assert.equal(reader.partition.job(gone), undefined);
  assert.ok(reader.partition.job(kept));
});

test("a new owner reads the body of an open item after those of listed ones were removed", async () => {
  const fixture = new JobStoreFixture();
  const [job] = jobs as [JobId];
  fixture.submit(job);
  fixture.list({ job, item: 0 });
  const owner = fixture.openInstance("owner");
  await owner.partition.catchUp();
  await owner.removal.sweep();
  fixture.now += 15;
  await owner.removal.sweep();
  assert.deepEqual(fixture.service.liveKeys(bodyStream), [bodyKey(job, 1, 0)]);
  const { partition } = fixture.openInstance("next");
  await partition.catchUp();
  const { record } = partition.job(job)!;
  for (const isHistoryDropped of [false, true]) {
    if (isHistoryDropped) fixture.service.dropHistory();
    const bodies = new ItemBodies({
      store: fixture.service.client("next"),
      stream: bodyStream,
      regions: { allowedFor: () => undefined },
      onCachedBytes: () => {},
      onOrphaned: () => {},
      logger: silentLogger,
    });
    const body = await bodies.read(partition, record, 1);
    assert.deepEqual([...body], [1]);
    if (!isHistoryDropped) continue;
    await assert.rejects(bodies.read(partition, record, 0), BodyMissingError);
  }
});
