/**
 * One partition of the jobs: its follower, its state and those who wait for a change of a job.
 */

import { hashNumber } from "../common/hashing.ts";
import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type {
  KeyedEntry,
  KeyedRecord,
  KeyedStore,
  StreamPartition,
} from "../store/keyed-store.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import { freshCopyMilliseconds, readerPauseMilliseconds } from "./constants.ts";
import { type JobState, PartitionState } from "./partition-state.ts";
import { type BatchRecord, decodeRecord } from "./records.ts";

export interface JobPartitionOptions {
  readonly store: KeyedStore;
  readonly target: StreamPartition;
  readonly logger: Logger;
  readonly now: () => number;
  /** The owner reads without a pause. */
  readonly isOwned: () => boolean;
  readonly onChange: (jobs: readonly JobId[]) => void;
}

export class JobPartition {
  readonly state = new PartitionState();
  readonly target: StreamPartition;
  readonly #options: JobPartitionOptions;
  readonly #follower: PartitionFollower;
  readonly #waiters = new Map<JobId, Set<() => void>>();

  constructor(options: JobPartitionOptions) {
    this.#options = options;
    this.target = options.target;
    this.#follower = new PartitionFollower({
      store: options.store,
      target: options.target,
      logger: options.logger,
      onRecords: (records) => this.#apply(records),
      pauseMilliseconds: () => options.isOwned() ? 0 : readerPauseMilliseconds,
    });
  }

  get number(): PartitionNumber {
    return this.target.partition;
  }

  /** The partition has been read once. */
  get isLoaded(): boolean {
    return this.#follower.position !== undefined;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  poke(): void {
    this.#follower.skipPause();
  }

  /** Reads up to the present end unless that has just been done; false if it fails. */
  async refresh(): Promise<boolean> {
    const limit = this.#options.now() - freshCopyMilliseconds;
    if (this.#follower.currentAsOf >= limit) return true;
    return await this.#follower.catchUp();
  }

  async catchUp(): Promise<boolean> {
    return await this.#follower.catchUp();
  }

  async append(entries: readonly KeyedEntry[]): Promise<number> {
    return await this.#options.store.append(this.target, entries);
  }

  job(id: JobId): JobState | undefined {
    return this.state.job(id);
  }

  /** Calls the listener once at the next change of the job; the result cancels it. */
  onJobChange(job: JobId, listener: () => void): () => void {
    const listeners = this.#waiters.get(job) ?? new Set();
    this.#waiters.set(job, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) this.#waiters.delete(job);
    };
  }

  #apply(records: readonly KeyedRecord[]): void {
    const changed = new Set<JobId>();
    for (const record of records) {
      if (record.value === undefined) continue;
      let decoded: BatchRecord;
      try {
        decoded = decodeRecord(record.value);
      } catch (error) {
        this.#options.logger.error("a record of the jobs cannot be read", {
          partition: this.number,
          offset: record.offset,
          reason: String(error),
        });
        continue;
      }
      for (const job of this.state.apply(decoded)) changed.add(job);
    }
    if (changed.size === 0) return;
    for (const job of changed) {
      const listeners = this.#waiters.get(job);
      if (!listeners) continue;
      this.#waiters.delete(job);
      for (const listener of listeners) listener();
    }
    this.#options.onChange([...changed]);
  }
}

/** The partitions of the jobs; a job's id decides which one it belongs to. */
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

  of(job: JobId): JobPartition {
    return this.#partitions[hashNumber(job) % this.#partitions.length]!;
  }

  get(partition: PartitionNumber): JobPartition | undefined {
    return this.#partitions[partition];
  }

  all(): readonly JobPartition[] {
    return this.#partitions;
  }
}
