import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  JobId,
  Offset,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { SeededRandom } from "../common/random.ts";
import {
  type KeyedEntry,
  type KeyedStore,
  StoreUnavailableError,
} from "../store/keyed-store.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { JobPartition } from "./job-partition.ts";
import {
  type BatchRecord,
  encodeRecord,
  endKey,
  groupKey,
  type ItemResult,
  jobKey,
  textKey,
} from "./records.ts";
import { createJobRecord } from "./testing/job-record.ts";

// Several readers of one partition, with reads that overlap, fail and are short, while records are
// written again, come late, are removed, and the history is lost. Set SEED and PLAYS to play more.

const target = {
  stream: "jobs" as StreamName,
  partition: 0 as PartitionNumber,
};
const itemsPerJob = 8;
const jobs = ["a", "b", "c", "d"] as JobId[];

type Entry = readonly [key: string, record: BatchRecord];

interface Reader {
  readonly partition: JobPartition;
  readonly seen: Map<JobId, string[]>;
}

/** Waits for a number of turns of the event loop. */
async function turns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function createPartition(store: KeyedStore, onChange = () => {}): JobPartition {
  return new JobPartition({
    store,
    target,
    logger: silentLogger,
    now: () => performance.now(),
    isOwned: () => true,
    onChange,
  });
}

function resultsOf(partition: JobPartition, job: JobId): string[] | undefined {
  return partition.job(job)?.results.map(({ item, text }) => `${item}:${text}`);
}

class PartitionPlay {
  readonly failures: string[] = [];
  readonly #random: SeededRandom;
  readonly #service: MemoryStoreService;
  readonly #readers: Reader[] = [];
  readonly #submitted = new Set<JobId>();
  readonly #removed = new Set<JobId>();
  readonly #keysOf = new Map<JobId, Set<string>>();
  readonly #lateWrites: [step: number, job: JobId, entry: Entry][] = [];
  readonly #catchUps = new Set<Promise<unknown>>();
  #number = 0;
  #step = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#service = new MemoryStoreService({ pageSize: 1 + this.#below(6) });
  }

  async run(): Promise<void> {
    this.#addReader();
    for (const steps = 60 + this.#below(60); this.#step < steps; this.#step++) {
      this.#writeNext();
      if (this.#below(6) === 0) this.#loseHistory();
      if (this.#below(25) === 0 && this.#readers.length < 4) this.#addReader();
      if (this.#below(2) === 0) this.#catchUp();
      await turns(this.#below(5));
    }
    await Promise.all(this.#catchUps);
    this.#addReader();
    await this.#compareAll();
  }

  #below(limit: number): number {
    return Math.floor(this.#random.next() * limit);
  }

  /** Each call takes some turns before and after it takes effect, and may fail. */
  #slowStore(): KeyedStore {
    const store = this.#service.client("reader");
    const read = store.read.bind(store);
    const readNewest = store.readNewest.bind(store);
    const send = async () => {
      await turns(this.#below(4));
      if (this.#below(15) > 0) return;
      throw new StoreUnavailableError("refused", { mayHaveTakenEffect: false });
    };
    store.read = async (from, options) => {
      await send();
      const { records, end } = await read(from, options);
      const first = records.slice(0, 1 + this.#below(12));
      await turns(this.#below(6));
      const next = (first.at(-1)?.offset ?? options.from - 1) + 1;
      return { records: first, next: next as Offset, end };
    };
    store.readNewest = async (...options) => {
      await send();
      const page = await readNewest(...options);
      await turns(this.#below(6));
      return page;
    };
    return store;
  }

  #addReader(): void {
    const reader: Reader = {
      seen: new Map(),
      partition: createPartition(this.#slowStore(), () => this.#check(reader)),
    };
    this.#readers.push(reader);
    if (this.#below(2) === 0) reader.partition.start();
  }

  /** No reader may drop a job or change a position that it has listed. */
  #check({ partition, seen }: Reader): void {
    for (const job of jobs.filter((id) => !this.#removed.has(id))) {
      const before = seen.get(job);
      const results = resultsOf(partition, job);
      if (before?.some((result, position) => results?.[position] !== result)) {
        this.failures.push(`${job} had ${before} and has ${results}`);
      }
      if (results) seen.set(job, results);
    }
  }

  #catchUp(): void {
    const reader = this.#readers[this.#below(this.#readers.length)]!;
    const catchUp = reader.partition.catchUp().then(() => this.#check(reader));
    this.#catchUps.add(catchUp);
    void catchUp.finally(() => this.#catchUps.delete(catchUp));
  }

  #writeNext(): void {
    for (const [step, job, entry] of this.#lateWrites) {
      if (step === this.#step && !this.#removed.has(job)) {
        this.#write(job, entry);
      }
    }
    const job = jobs[this.#below(jobs.length)]!;
    const action = this.#below(20);
    if (this.#removed.has(job)) return;
    if (!this.#submitted.has(job) || action < 3) this.#submit(job);
    else if (action < 9) this.#writeResults(job);
    else if (action < 11) this.#writeResultWithParts(job);
    else if (action === 11 && this.#below(3) === 0) {
      this.#write(job, [endKey(job), { kind: "end", job }]);
    } else if (action === 12 && this.#below(4) === 0) this.#remove(job);
  }

  #write(job: JobId, ...entries: Entry[]): void {
    const keys = this.#keysOf.get(job) ?? new Set();
    this.#keysOf.set(job, keys);
    for (const [key] of entries) keys.add(key);
    this.#append(
      entries.map(([key, record]) => ({ key, value: encodeRecord(record) })),
    );
  }

  #append(entries: readonly KeyedEntry[]): void {
    this.#service.append(target, entries);
  }

  #submit(job: JobId): void {
    this.#submitted.add(job);
    const record = createJobRecord(job, itemsPerJob);
    this.#write(job, [jobKey(job), { ...record, acceptedAt: this.#step }]);
  }

  /** A group without a response is written again under another key, and may take effect late. */
  #writeGroup(job: JobId, results: readonly ItemResult[]): void {
    const writer = `w${this.#below(2)}`;
    const entry = (): Entry => [
      groupKey(writer, this.#number++),
      { kind: "group", results, failures: [] },
    ];
    this.#write(job, entry());
    if (this.#below(4) > 0) return;
    this.#lateWrites.push([this.#step + this.#below(15), job, entry()]);
  }

  #nextResult(job: JobId): ItemResult {
    const text = `text ${this.#number++}`;
    return { job, item: this.#below(itemsPerJob), state: "completed", text };
  }

  #writeResults(job: JobId): void {
    const count = 1 + this.#below(3);
    this.#writeGroup(
      job,
      Array.from({ length: count }, () => this.#nextResult(job)),
    );
  }

  #writeResultWithParts(job: JobId): void {
    const result = this.#nextResult(job);
    const id = `w/${this.#number++}`;
    const texts = [result.text, "end"].map((text, part): Entry => [
      textKey(id, part, this.#number++),
      { kind: "text", job, item: result.item, id, part, text },
    ]);
    this.#write(job, ...texts);
    const parts = { id, count: texts.length };
    this.#writeGroup(job, [{ ...result, text: "", parts }]);
  }

  #remove(job: JobId): void {
    this.#removed.add(job);
    const keys = [...this.#keysOf.get(job)!];
    this.#append(keys.map((key) => ({ key, value: undefined })));
  }

  #loseHistory(): void {
    const log = this.#service.log(target);
    const kept = this.#below(8);
    log.firstOffset = Math.max(log.firstOffset, log.records.length - kept);
    for (const wake of [...log.waiters]) wake();
  }

  /** All readers end with what a reader of the whole history lists. */
  async #compareAll(): Promise<void> {
    const log = this.#service.log(target);
    const end = log.records.length as Offset;
    const reference = createPartition({
      readNewest: () =>
        Promise.resolve({ records: [], end: 0 as Offset, hasMore: false }),
      read: () => Promise.resolve({ records: log.records, next: end, end }),
    } as unknown as KeyedStore);
    assert.ok(await reference.catchUp() && await reference.catchUp());
    for (const { partition } of this.#readers) {
      while (!await partition.catchUp());
      for (const job of jobs) {
        const expected = resultsOf(reference, job);
        const listed = resultsOf(partition, job);
        if (JSON.stringify(listed) === JSON.stringify(expected)) continue;
        this.failures.push(`${job} has ${listed} instead of ${expected}`);
      }
      partition.stop();
    }
    for (const wake of [...log.waiters]) wake();
  }
}

test("all readers of a partition list the same results at the same positions, whatever the order of reads, writes and losses of history", async () => {
  const firstSeed = Number(process.env["SEED"] ?? 1);
  const plays = Number(process.env["PLAYS"] ?? 100);
  for (let seed = firstSeed; seed < firstSeed + plays; seed++) {
    const play = new PartitionPlay(seed);
    await play.run();
    assert.deepEqual(play.failures, [], `seed ${seed}`);
  }
});
