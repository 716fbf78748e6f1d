/**
 * Removes the records that nothing needs any more from the partitions that this instance owns, a
 * limited number at a time. A removal that fails, or whose instance ends during it, is planned again
 * from the records that are left, by the same owner or the next one.
 */

import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { KeyedEntry, KeyedStore } from "../store/keyed-store.ts";
import {
  maximumRemovalsPerSweep,
  removalRetryMilliseconds,
} from "./constants.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import {
  createNotes,
  type JobNotes,
  planRemovals,
  type RemovalPlan,
  type RetentionTimes,
} from "./retention.ts";

export interface RecordRemovalOptions {
  readonly store: KeyedStore;
  readonly bodyStream: StreamName;
  readonly partitions: JobPartitions;
  /** Whether this instance may change the partition as its owner. */
  readonly isOwner: (partition: PartitionNumber) => boolean;
  readonly times: () => RetentionTimes;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly wallNow: () => number;
  readonly onRemoved: (family: "jobs" | "bodies", count: number) => void;
  readonly logger: Logger;
}

interface PartitionRemoval {
  readonly notes: Map<JobId, JobNotes>;
  isBusy: boolean;
  pausedUntil: number;
}

export class RecordRemoval {
  readonly #options: RecordRemovalOptions;
  readonly #partitions = new Map<PartitionNumber, PartitionRemoval>();

  constructor(options: RecordRemovalOptions) {
    this.#options = options;
  }

  notesOf(partition: PartitionNumber, job: JobId): JobNotes | undefined {
    return this.#partitions.get(partition)?.notes.get(job);
  }

  /** Removes unneeded records of all owned partitions; failures are logged and planned again. */
  async sweep(): Promise<void> {
    const { partitions, isOwner, now } = this.#options;
    const removals: Promise<void>[] = [];
    for (const partition of partitions.all()) {
      if (!isOwner(partition.number)) {
        this.#partitions.delete(partition.number);
        continue;
      }
      const removal = this.#partitions.get(partition.number) ??
        { notes: new Map(), isBusy: false, pausedUntil: 0 };
      this.#partitions.set(partition.number, removal);
      const isDue = partition.isLoaded && !removal.isBusy &&
        now() >= removal.pausedUntil;
      if (isDue) removals.push(this.#removeFrom(partition, removal));
    }
    await Promise.all(removals);
  }

  async #removeFrom(
    partition: JobPartition,
    removal: PartitionRemoval,
  ): Promise<void> {
    const { now, logger } = this.#options;
    removal.isBusy = true;
    try {
      await this.#carryOut(this.#plan(partition, removal), partition, removal);
    } catch (error) {
      removal.pausedUntil = now() + removalRetryMilliseconds;
      logger.warn("needless records could not be removed from the store", {
        partition: partition.number,
        reason: String(error),
      });
    } finally {
      removal.isBusy = false;
    }
  }

  #plan(
    { state, index }: JobPartition,
    { notes }: PartitionRemoval,
  ): RemovalPlan {
    const { times, now, wallNow } = this.#options;
    for (const job of notes.keys()) {
      if (!state.job(job)) notes.delete(job);
    }
    return planRemovals({
      state,
      index,
      notesOf: (job) => noted(notes, job),
      times: times(),
      wallNow: wallNow(),
      now: now(),
      maximumKeys: maximumRemovalsPerSweep,
    });
  }

  async #carryOut(
    { bodies, keys }: RemovalPlan,
    partition: JobPartition,
    { notes }: PartitionRemoval,
  ): Promise<void> {
    const { store, bodyStream, onRemoved, logger } = this.#options;
    if (bodies.length + keys.length === 0) return;
    if (bodies.length > 0) {
      const bodyKeys = bodies.flatMap((body) => body.keys);
      await store.append(
        { stream: bodyStream, partition: partition.number },
        bodyKeys.map(toRemoval),
      );
      for (const { job, item } of bodies) {
        noted(notes, job).removedBodies.add(item);
      }
      onRemoved("bodies", bodyKeys.length);
    }
    if (keys.length > 0) {
      await partition.append(keys.map(toRemoval));
      onRemoved("jobs", keys.length);
      // Until the removals are read, the next sweep would plan them again.
      partition.readNow();
    }
    logger.debug("needless records were removed from the store", {
      partition: partition.number,
      bodies: bodies.length,
      records: keys.length,
    });
  }
}

function noted(notes: Map<JobId, JobNotes>, job: JobId): JobNotes {
  const known = notes.get(job) ?? createNotes();
  notes.set(job, known);
  return known;
}

function toRemoval(key: string): KeyedEntry {
  return { key, value: undefined };
}
