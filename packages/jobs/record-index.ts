/**
 * Lists the records of one partition of the job stream that the store holds at present: the newest
 * one of each key, with its size and the jobs that it belongs to. The values are not kept.
 */

import type { JobId, Offset } from "../common/ids.ts";
import type { KeyedRecord } from "../store/keyed-store.ts";
import { storedBytes } from "../store/write-meter.ts";

export interface IndexedRecord {
  readonly offset: Offset;
  readonly bytes: number;
  /** The jobs whose results or end it holds; empty if the record cannot be decoded. */
  readonly jobs: readonly JobId[];
  /** When this instance read the key first, in monotonic milliseconds. */
  readonly firstSeenAt: number;
  /** It was among the newest records of the partition and may have been written long before. */
  readonly isFromSnapshot: boolean;
}

export class RecordIndex {
  readonly #records = new Map<string, IndexedRecord>();
  readonly #keysOfJob = new Map<JobId, Set<string>>();

  get size(): number {
    return this.#records.size;
  }

  entries(): Iterable<[string, IndexedRecord]> {
    return this.#records;
  }

  get(key: string): IndexedRecord | undefined {
    return this.#records.get(key);
  }

  /** Keys of the records that hold anything of the job. */
  keysOf(job: JobId): readonly string[] {
    return [...this.#keysOfJob.get(job) ?? []];
  }

  add(
    record: KeyedRecord,
    { jobs, now, isFromSnapshot }: {
      readonly jobs: readonly JobId[];
      readonly now: number;
      readonly isFromSnapshot: boolean;
    },
  ): void {
    const { key, offset } = record;
    const known = this.#records.get(key);
    if (known && known.offset >= offset) return;
    this.#records.set(key, {
      offset,
      bytes: storedBytes(record),
      jobs,
      firstSeenAt: known?.firstSeenAt ?? now,
      isFromSnapshot,
    });
    for (const job of jobs) {
      const keys = this.#keysOfJob.get(job) ?? new Set();
      this.#keysOfJob.set(job, keys.add(key));
    }
  }

  /** Returns false if the key has been written again at a later offset. */
  delete(key: string, offset: Offset): boolean {
    const known = this.#records.get(key);
    if (known && known.offset > offset) return false;
    this.#records.delete(key);
    for (const job of known?.jobs ?? []) {
      const keys = this.#keysOfJob.get(job);
      keys?.delete(key);
      if (keys?.size === 0) this.#keysOfJob.delete(job);
    }
    return true;
  }

  /**
   * Keys that are missing among the newest records of the partition as of an offset. They were
   * removed while this instance did not read.
   */
  missingFrom(snapshot: readonly KeyedRecord[], end: Offset): string[] {
    const present = new Set(snapshot.map(({ key }) => key));
    return [...this.#records]
      .filter(([key, { offset }]) => offset < end && !present.has(key))
      .map(([key]) => key);
  }
}
