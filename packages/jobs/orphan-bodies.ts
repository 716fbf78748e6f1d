/**
 * Removes bodies whose job was never recorded: the submission failed or its instance ended first.
 * The owner of a partition searches for them after it was assigned and at long intervals, since a
 * search reads values as well as keys. A failed submission reports its bodies itself.
 */

import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { KeyedEntry, KeyedStore } from "../store/keyed-store.ts";
import {
  maximumRemovalsPerSweep,
  orphanSearchMilliseconds,
} from "./constants.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import { jobOfBodyKey, keyAfterBodies } from "./records.ts";

export interface OrphanBodiesOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  readonly partitions: JobPartitions;
  readonly isOwned: (partition: PartitionNumber) => boolean;
  /** The regions that all routes and workspaces allow; undefined if none of them names any. */
  readonly commonRegions: () => readonly string[] | undefined;
  /** Age of the bodies before they are removed. */
  readonly orphanMilliseconds: number;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly onRemoved: (count: number) => void;
  readonly logger: Logger;
}

interface OrphanCandidate {
  readonly partition: JobPartition;
  readonly keys: ReadonlySet<string>;
  readonly knownSince: number;
}

/** Bounds the memory after many failed submissions; the owner's search finds what goes beyond. */
const maximumCandidates = 1_000;

export class OrphanBodies {
  readonly #options: OrphanBodiesOptions;
  readonly #candidates = new Map<JobId, OrphanCandidate>();
  readonly #nextSearchAt = new Map<PartitionNumber, number>();
  #isBusy = false;

  constructor(options: OrphanBodiesOptions) {
    this.#options = options;
  }

  /** Adds bodies that may belong to no job; they are removed if none is recorded in time. */
  add(partition: JobPartition, job: JobId, keys: Iterable<string>): void {
    if (this.#candidates.size >= maximumCandidates) return;
    const known = this.#candidates.get(job);
    // Counted from the last failure, since a submission may be retried for long.
    this.#candidates.set(job, {
      partition,
      keys: new Set([...known?.keys ?? [], ...keys]),
      knownSince: this.#options.now(),
    });
  }

  /** Searches one partition if that is due, and removes the candidates that have reached their age. */
  async sweep(): Promise<void> {
    if (this.#isBusy) return;
    this.#isBusy = true;
    try {
      const partition = this.#nextToSearch();
      if (partition) await this.#search(partition);
      await this.#removeExpired();
    } catch (error) {
      this.#options.logger.warn("bodies without a job could not be removed", {
        candidates: this.#candidates.size,
        reason: String(error),
      });
    } finally {
      this.#isBusy = false;
    }
  }

  #nextToSearch(): JobPartition | undefined {
    const { partitions, isOwned, now, orphanMilliseconds } = this.#options;
    for (const partition of partitions.all()) {
      const { number } = partition;
      if (!isOwned(number)) this.#nextSearchAt.delete(number);
      else if (!this.#nextSearchAt.has(number)) {
        this.#nextSearchAt.set(number, now() + orphanMilliseconds);
      } else if (
        partition.isLoaded && now() >= this.#nextSearchAt.get(number)!
      ) {
        this.#nextSearchAt.set(number, now() + orphanSearchMilliseconds);
        return partition;
      }
    }
    return undefined;
  }

  /** Reads the keys of the bodies; those of a known job are skipped. */
  async #search(partition: JobPartition): Promise<void> {
    const { store, stream, commonRegions } = this.#options;
    // The page may hold bodies of any job.
    const rules = { allowedRegions: commonRegions() };
    const target = { stream, partition: partition.number };
    let after: string | undefined;
    for (;;) {
      const page = await store.readNewest(target, after, rules);
      for (const { key } of page.records) {
        const job = jobOfBodyKey(key);
        if (!partition.job(job)) this.add(partition, job, [key]);
      }
      const last = page.records.at(-1)?.key;
      if (!page.hasMore || last === undefined) return;
      const lastJob = jobOfBodyKey(last);
      after = partition.job(lastJob) ? keyAfterBodies(lastJob) : last;
    }
  }

  async #removeExpired(): Promise<void> {
    const limit = this.#options.now() - this.#options.orphanMilliseconds;
    const expired = new Map<JobPartition, JobId[]>();
    for (const [job, { partition, knownSince }] of this.#candidates) {
      if (knownSince > limit) continue;
      expired.set(partition, [...expired.get(partition) ?? [], job]);
    }
    for (const [partition, jobs] of expired) {
      // A repeated submission may have recorded a job meanwhile.
      if (await partition.catchUp()) await this.#removeOf(partition, jobs);
    }
  }

  /** Removes the bodies of those jobs that do not exist, in one call. */
  async #removeOf(
    partition: JobPartition,
    jobs: readonly JobId[],
  ): Promise<void> {
    const { store, stream, onRemoved, logger } = this.#options;
    const entries: KeyedEntry[] = [];
    const done: JobId[] = [];
    for (const job of jobs) {
      if (entries.length >= maximumRemovalsPerSweep) break;
      done.push(job);
      if (partition.job(job)) continue;
      for (const key of this.#candidates.get(job)!.keys) {
        entries.push({ key, value: undefined });
      }
    }
    if (entries.length > 0) {
      await store.append({ stream, partition: partition.number }, entries);
      onRemoved(entries.length);
      logger.info("bodies without a job were removed", {
        partition: partition.number,
        records: entries.length,
        jobs: done.length,
      });
    }
    for (const job of done) this.#candidates.delete(job);
  }
}
