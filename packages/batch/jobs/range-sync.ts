/**
 * Synchronizes the owners of a job's ranges with the job's home partition: assigns ranges until
 * they are recorded, asks for progress, passes on cancels and removals, and records the end of
 * each range. Every step is idempotent, so a lost message or owner only causes a delay.
 */

import type { Clock } from "../../common/clock.ts";
import { RosemaryrudderError } from "../../common/errors.ts";
import type { InstanceId, JobId, PartitionNumber } from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type {
  ControlView,
  PartitionOwnerLookup,
} from "../../control/control-state.ts";
import type { PeerNetwork } from "../../protocol/peer-network.ts";
import {
  maximumRangesPerSync,
  ownerRequestMilliseconds,
  rangeSyncPeriodMilliseconds,
} from "../constants.ts";
import type { PartitionOwner } from "../partition/owner.ts";
import { partitionOf, type PartitionSet } from "../partition/partition-set.ts";
import { type JobState, rangeCount, rangeKey } from "../partition/state.ts";
import { type RangeProgress, resultLifetime } from "./job-description.ts";
import {
  type RangeReport,
  type SyncRanges,
  syncRangesMessage,
} from "./job-messages.ts";

export interface RangeSyncOptions {
  control: ControlView;
  partitions: PartitionSet;
  partitionOwner: PartitionOwnerLookup;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
}

/** Synchronization state of one job, kept in memory by its home owner. */
interface JobSync {
  /** Monotonic milliseconds. */
  nextSyncAt: number;
  /** Whether the next sync asks all partitions, also those that have not answered yet. */
  isSyncForced: boolean;
  /** Last reports of ranges whose end is not recorded. */
  readonly progress: Map<number, RangeProgress>;
  /** Ranges of an expired job that their owners have removed. */
  readonly removedRanges: Set<number>;
  /** Ranges whose range-finished entry is being appended. */
  readonly rangesBeingRecorded: Set<number>;
  /** Partitions whose owner has not answered the last request yet. */
  readonly awaitedPartitions: Set<PartitionNumber>;
  /** Instances that still hold the epoch of a partition whose ownership is moving. */
  readonly epochHolders: Map<PartitionNumber, InstanceId>;
  isRemoving: boolean;
}

export class RangeSync {
  readonly #options: RangeSyncOptions;
  readonly #jobs = new WeakMap<PartitionOwner, Map<JobId, JobSync>>();

  constructor(options: RangeSyncOptions) {
    this.#options = options;
  }

  progressOf(
    owner: PartitionOwner,
    job: JobId,
  ): ReadonlyMap<number, RangeProgress> {
    return this.#syncOf(owner, job).progress;
  }

  /** Asks the range owners of a job at once instead of at the next period. */
  syncNow(owner: PartitionOwner, job: JobId): void {
    const sync = this.#syncOf(owner, job);
    sync.nextSyncAt = 0;
    sync.isSyncForced = true;
    const state = owner.state.jobs.get(job);
    if (state && owner.isActive) this.#syncJob(owner, state);
  }

  /** Asks the range owners of all jobs at once, after members have changed. */
  syncAllNow(): void {
    for (const owner of this.#options.partitions.activeOwners()) {
      for (const job of owner.state.jobs.keys()) this.syncNow(owner, job);
    }
  }

  maintain(): void {
    for (const owner of this.#options.partitions.activeOwners()) {
      for (const job of owner.state.jobs.values()) this.#syncJob(owner, job);
    }
  }

  #syncOf(owner: PartitionOwner, job: JobId): JobSync {
    const jobs = this.#jobs.get(owner) ?? new Map<JobId, JobSync>();
    this.#jobs.set(owner, jobs);
    let sync = jobs.get(job);
    if (!sync) {
      sync = {
        nextSyncAt: 0,
        isSyncForced: false,
        progress: new Map(),
        removedRanges: new Set(),
        rangesBeingRecorded: new Set(),
        awaitedPartitions: new Set(),
        epochHolders: new Map(),
        isRemoving: false,
      };
      jobs.set(job, sync);
    }
    return sync;
  }

  #syncJob(owner: PartitionOwner, job: JobState): void {
    const { platform } = this.#options.control.state.configuration;
    if (!platform) return;
    const now = this.#options.clock.monotonicNow();
    const sync = this.#syncOf(owner, job.spec.id);
    if (now < sync.nextSyncAt) return;
    const isExpired = job.endedAt !== undefined &&
      this.#options.clock.wallNow() > job.endedAt + resultLifetime(platform);
    if (job.endedAt !== undefined && !isExpired) return;
    sync.nextSyncAt = now + rangeSyncPeriodMilliseconds;
    const wanted = isExpired
      ? "remove"
      : job.cancelledAt === undefined
      ? "run"
      : "cancel";
    const doneRanges = isExpired ? sync.removedRanges : job.finished;
    const byPartition = new Map<PartitionNumber, number[]>();
    for (let range = 0; range < rangeCount(job.spec); range++) {
      if (doneRanges.has(range)) continue;
      const partition = partitionOf(
        rangeKey(job.spec.id, range),
        platform.partitions,
      );
      const ranges = byPartition.get(partition) ?? [];
      if (ranges.length < maximumRangesPerSync) ranges.push(range);
      byPartition.set(partition, ranges);
    }
    for (const [partition, ranges] of byPartition) {
      if (sync.awaitedPartitions.has(partition) && !sync.isSyncForced) continue;
      void this.#requestReports(owner, job, sync, {
        partition,
        ranges,
        wanted,
      });
    }
    sync.isSyncForced = false;
    if (isExpired && byPartition.size === 0 && !sync.isRemoving) {
      void this.#recordRemoved(owner, job, sync);
    }
  }

  async #requestReports(
    owner: PartitionOwner,
    job: JobState,
    sync: JobSync,
    { partition, ranges, wanted }: {
      partition: PartitionNumber;
      ranges: number[];
      wanted: SyncRanges["wanted"];
    },
  ): Promise<void> {
    const { control, partitionOwner, network } = this.#options;
    const rangeOwner = sync.epochHolders.get(partition) ??
      partitionOwner(control.state, partition);
    sync.epochHolders.delete(partition);
    if (!rangeOwner) return;
    const { id, workspace, inputFile, deadline, lines, rangeItems } = job.spec;
    sync.awaitedPartitions.add(partition);
    try {
      const answer = await network.request(rangeOwner, syncRangesMessage, {
        partition,
        job: { id, workspace, inputFile, deadline, lines, rangeItems },
        ranges,
        wanted,
      }, { deadlineMilliseconds: ownerRequestMilliseconds });
      if (answer.kind === "not-owner" && answer.holder) {
        sync.epochHolders.set(partition, answer.holder);
        sync.nextSyncAt = 0;
      }
      if (answer.kind !== "reports" || !owner.isActive) return;
      for (const report of answer.reports) {
        this.#handleReport(owner, job, sync, { report, wanted });
      }
    } catch (error) {
      this.#logRequestFailure(error, job, rangeOwner);
    } finally {
      sync.awaitedPartitions.delete(partition);
    }
  }

  #handleReport(
    owner: PartitionOwner,
    job: JobState,
    sync: JobSync,
    { report, wanted }: { report: RangeReport; wanted: SyncRanges["wanted"] },
  ): void {
    const { range } = report;
    if (wanted === "remove") {
      if (!report.isKnown) sync.removedRanges.add(range);
      return;
    }
    if (!report.isKnown || job.finished.has(range)) return;
    sync.progress.set(range, report);
    if (report.isFinished && !sync.rangesBeingRecorded.has(range)) {
      void this.#recordFinished(owner, job, sync, report);
    }
  }

  async #recordFinished(
    owner: PartitionOwner,
    job: JobState,
    sync: JobSync,
    report: RangeReport,
  ): Promise<void> {
    const { range, completed, failed, outputBytes, errorBytes, isCancelled } =
      report;
    sync.rangesBeingRecorded.add(range);
    try {
      await owner.append({
        kind: "range-finished",
        job: job.spec.id,
        range,
        at: this.#options.clock.wallNow(),
        completed,
        failed,
        outputBytes,
        errorBytes,
        isCancelled,
      });
      sync.progress.delete(range);
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
    } finally {
      sync.rangesBeingRecorded.delete(range);
    }
  }

  async #recordRemoved(
    owner: PartitionOwner,
    job: JobState,
    sync: JobSync,
  ): Promise<void> {
    sync.isRemoving = true;
    try {
      await owner.append({ kind: "job-removed", job: job.spec.id });
      this.#jobs.get(owner)?.delete(job.spec.id);
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
    } finally {
      sync.isRemoving = false;
    }
  }

  #logRequestFailure(
    error: unknown,
    job: JobState,
    rangeOwner: InstanceId,
  ): void {
    if (!(error instanceof RosemaryrudderError)) throw error;
    this.#options.logger.debug("a range owner did not answer", {
      job: job.spec.id,
      instance: rangeOwner,
      reason: error.message,
    });
  }
}
