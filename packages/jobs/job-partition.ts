/**
 * Follows one partition of the job stream, keeps the state of its jobs, and notifies listeners
 * when a job changes.
 */

import { hashNumber } from "../common/hashing.ts";
import type {
  JobId,
  Offset,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { Holding } from "../overload/held-bytes.ts";
import type {
  KeyedEntry,
  KeyedRecord,
  KeyedStore,
  StreamPartition,
} from "../store/keyed-store.ts";
import {
  followRetryMilliseconds,
  relaxedFollowWaitMilliseconds,
} from "../store/constants.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import {
  type ConnectionTimings,
  deriveConnectionTimings,
} from "../transport/connection-timings.ts";
import {
  maximumCopyAgeMilliseconds,
  nonOwnerReadPauseMilliseconds,
} from "./constants.ts";
import { type JobState, PartitionState } from "./partition-state.ts";
import { RecordIndex } from "./record-index.ts";
import {
  type BatchRecord,
  decodeRecord,
  endKey,
  jobKey,
  jobsOf,
} from "./records.ts";

export interface JobPartitionOptions {
  readonly store: KeyedStore;
  readonly target: StreamPartition;
  readonly logger: Logger;
  readonly now: () => number;
  /** Whether this instance owns the partition; the owner reads without a pause. */
  readonly isOwned: () => boolean;
  readonly onChange: (jobs: readonly JobId[]) => void;
  readonly timings?: ConnectionTimings;
  readonly openSnapshotHolding?: () => Holding | undefined;
  /** Called with the size of the results that are kept for readers, after each change. */
  readonly onResultBytes?: (bytes: number) => void;
}

export class JobPartition {
  readonly state = new PartitionState();
  readonly index = new RecordIndex();
  readonly target: StreamPartition;
  readonly #options: JobPartitionOptions;
  readonly #follower: PartitionFollower;
  readonly #listeners = new Map<JobId, Set<() => void>>();
  /** Offset up to which all records have been applied. */
  #appliedUntil = 0 as Offset;

  constructor(options: JobPartitionOptions) {
    this.#options = options;
    const { timings = deriveConnectionTimings() } = options;
    this.target = options.target;
    this.#follower = new PartitionFollower({
      store: options.store,
      target: options.target,
      logger: options.logger,
      openSnapshotHolding: options.openSnapshotHolding ?? (() => undefined),
      onRecords: (records, position, isSnapshot) =>
        this.#apply(records, position, isSnapshot),
      pauseMilliseconds: () =>
        options.isOwned() ? 0 : nonOwnerReadPauseMilliseconds,
      waitMilliseconds: () =>
        options.isOwned()
          ? timings.pollWaitMilliseconds
          : relaxedFollowWaitMilliseconds,
    });
  }

  get number(): PartitionNumber {
    return this.target.partition;
  }

  /** True once the partition has been read for the first time. */
  get isLoaded(): boolean {
    return this.#follower.position !== undefined;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  /** Ends the pause between two reads, so that the next one starts at once. */
  readNow(): void {
    this.#follower.skipPause();
  }

  /**
   * Everything written before this time is in the state; see `PartitionFollower.completeUntil`.
   */
  get completeUntil(): number {
    return this.#follower.completeUntil;
  }

  /**
   * Reads up to the end of the partition by a read that is sent now, since one that is already in
   * progress may be stuck or have been answered before. Repeats failed reads while `isNeeded`.
   */
  async catchUpWhile(isNeeded: () => boolean): Promise<void> {
    while (isNeeded() && !await this.#follower.catchUp()) {
      await delay(systemTimers, followRetryMilliseconds);
    }
  }

  /**
   * Reads up to the present end of the partition, unless the last such read is at most
   * `maximumCopyAgeMilliseconds` old; returns false if the read fails.
   */
  async refresh(): Promise<boolean> {
    const limit = this.#options.now() - maximumCopyAgeMilliseconds;
    if (this.#follower.completeUntil >= limit) return true;
    return await this.#follower.catchUp();
  }

  /** Reads up to the present end of the partition; returns false if the read fails. */
  async catchUp(): Promise<boolean> {
    return await this.#follower.catchUp();
  }

  /** Returns the offset of the first entry; rejects if the store does not confirm the write. */
  async append(entries: readonly KeyedEntry[]): Promise<number> {
    return await this.#options.store.append(this.target, entries);
  }

  job(id: JobId): JobState | undefined {
    return this.state.job(id);
  }

  /** Calls the listener once, at the next change of the job; the returned function removes it. */
  onNextJobChange(job: JobId, listener: () => void): () => void {
    const listeners = this.#listeners.get(job) ?? new Set();
    this.#listeners.set(job, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) this.#listeners.delete(job);
    };
  }

  #apply(
    records: readonly KeyedRecord[],
    position: Offset,
    isSnapshot: boolean,
  ): void {
    // Of two snapshots that are read at once the older may arrive last, with keys that were removed.
    if (isSnapshot && position < this.#appliedUntil) return;
    if (position > this.#appliedUntil) this.#appliedUntil = position;
    const changed = new Set<JobId>();
    for (const record of records) {
      const jobs = record.value === undefined
        ? this.#remove(record.key, record.offset)
        : this.#add(record, isSnapshot);
      for (const job of jobs) changed.add(job);
    }
    if (isSnapshot) {
      const missing = this.index.missingFrom(records, position);
      const removedJobs = missing.flatMap((key) => this.#remove(key, position));
      for (const job of removedJobs) changed.add(job);
      if (missing.length > 0) {
        this.#options.logger.info("records were removed while none were read", {
          partition: this.number,
          position,
          records: missing.length,
          jobs: removedJobs.join(" "),
        });
      }
    }
    this.#options.onResultBytes?.(this.state.resultBytes);
    if (changed.size === 0) return;
    for (const job of changed) {
      const listeners = this.#listeners.get(job);
      if (!listeners) continue;
      this.#listeners.delete(job);
      for (const listener of listeners) listener();
    }
    this.#options.onChange([...changed]);
  }

  /** Applies a record and returns the jobs that changed. */
  #add(record: KeyedRecord, isFromSnapshot: boolean): readonly JobId[] {
    const now = this.#options.now();
    let decoded: BatchRecord;
    try {
      decoded = decodeRecord(record.value!);
    } catch (error) {
      this.#options.logger.error("a job record cannot be decoded", {
        partition: this.number,
        offset: record.offset,
        reason: String(error),
      });
      this.index.add(record, { jobs: [], now, isFromSnapshot });
      return [];
    }
    this.index.add(record, { jobs: jobsOf(decoded), now, isFromSnapshot });
    return this.state.apply(decoded, record.key);
  }

  /** Forgets a record that was removed from the store; returns the jobs that changed. */
  #remove(key: string, offset: Offset): readonly JobId[] {
    const jobs = this.index.get(key)?.jobs ?? [];
    if (!this.index.delete(key, offset)) return [];
    this.state.removeGroup(key);
    const removed = jobs.filter((job) =>
      key === jobKey(job) || (key === endKey(job) && !this.state.job(job))
    );
    for (const job of removed) this.state.removeJob(job);
    return removed;
  }
}

/** All partitions of the job stream; the hash of a job's id selects its partition. */
export class JobPartitions {
  readonly #partitions: readonly JobPartition[];

  constructor(
    stream: StreamName,
    count: number,
    create: (target: StreamPartition) => JobPartition,
  ) {
    this.#partitions = Array.from(
      { length: count },
      (_, partition) =>
        create({ stream, partition: partition as PartitionNumber }),
    );
  }

  forJob(job: JobId): JobPartition {
    return this.#partitions[hashNumber(job) % this.#partitions.length]!;
  }

  get(partition: PartitionNumber): JobPartition | undefined {
    return this.#partitions[partition];
  }

  all(): readonly JobPartition[] {
    return this.#partitions;
  }
}
