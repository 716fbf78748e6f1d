/**
 * Runs the items of the partitions that the store assigns to this instance in one group of owners.
 * One group shares the partitions of the whole fleet. Where routes or workspaces have allowed
 * regions, the instances of a region share them once more in a group of their own, for the jobs
 * that are run there; see `JobRegions.runningRegion`.
 */

import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import { BatchExecutor } from "../jobs/batch-executor.ts";
import type { ItemBodies } from "../jobs/item-bodies.ts";
import type { JobPartition, JobPartitions } from "../jobs/job-partition.ts";
import type { JobRegions } from "../jobs/job-regions.ts";
import { PartitionOwnership } from "../jobs/partition-ownership.ts";
import { ProgressStore } from "../jobs/progress-store.ts";
import type { ResultWriter } from "../jobs/result-writer.ts";
import { jobsClient } from "../overload/client-id.ts";
import type { BatchWorkOptions } from "./batch-work.ts";
import { jobStream, ownerGroup, progressStream } from "./constants.ts";

export interface OwnedWorkOptions extends BatchWorkOptions {
  /** The region whose jobs are run; undefined for the jobs of no region. */
  readonly region: string | undefined;
  readonly partitions: JobPartitions;
  readonly bodies: ItemBodies;
  readonly regions: JobRegions;
  readonly writerOf: (partition: JobPartition) => ResultWriter;
  /** The work of this instance in another group. */
  readonly otherWork: () => OwnedWork | undefined;
}

export class OwnedWork {
  readonly ownership: PartitionOwnership;
  readonly executor: BatchExecutor;
  readonly #options: OwnedWorkOptions;
  /**
   * Undefined for a region: its owners would remove each other's records from the one stream of
   * progress, so that a run which another instance takes over begins anew.
   */
  readonly #progress: ProgressStore | undefined;

  constructor(options: OwnedWorkOptions) {
    this.#options = options;
    this.ownership = this.#createOwnership();
    this.#progress = options.region === undefined
      ? new ProgressStore({
        store: options.store,
        stream: progressStream as StreamName,
        ownedPartitions: () => this.ownership.ownedPartitions(),
        progressOf: (partition) => this.executor.progressOf(partition),
        isOver: (partition, job, item) => this.#isOver(partition, job, item),
        logger: options.logger,
      })
      : undefined;
    this.executor = this.#createExecutor();
  }

  start(): void {
    this.ownership.start();
    this.#progress?.start();
    this.executor.start();
  }

  /** Gives up all owned partitions and stops running items. */
  async leave(): Promise<void> {
    await this.ownership.leave();
    this.#progress?.stop();
    this.executor.stop();
  }

  /** False while the copy of the partition may lack what earlier owners wrote; see `isOver`. */
  #isOver(partition: PartitionNumber, job: JobId, item: number): boolean {
    if (!this.ownership.canStartItems(partition)) return false;
    const state = this.#options.partitions.get(partition)?.job(job);
    return !state || state.isEnded || state.finished.has(item);
  }

  #createOwnership(): PartitionOwnership {
    const { settings, region, store, partitions, clock, logger, peerReports } =
      this.#options;
    return new PartitionOwnership({
      store,
      instance: settings.instance,
      group: region === undefined ? ownerGroup : `${ownerGroup}-${region}`,
      stream: jobStream as StreamName,
      clock,
      logger,
      onPartitionsRevoked: async (revoked) => {
        await this.executor.release(revoked);
        for (const partition of revoked) this.#progress?.unload(partition);
      },
      onPartitionsAssigned: (assigned) => {
        for (const partition of assigned) void this.#progress?.load(partition);
      },
      onLeaseAcquired: (number, lease) => {
        const partition = partitions.get(number);
        void partition?.catchUpWhile(() =>
          this.ownership.leaseOf(number) === lease &&
          partition.completeUntil < lease.acquiredAt
        );
      },
      copyCompleteUntil: (number) =>
        partitions.get(number)?.completeUntil ?? Number.NEGATIVE_INFINITY,
      // Reports name the owners of the whole fleet only, so that an expired lease of a region ends.
      isClaimedByPeer: (partition, generation) =>
        region !== undefined ||
        peerReports().recentReports().some(({ report }) =>
          report.ownerGeneration > generation &&
          report.ownedPartitions.includes(partition)
        ),
      hasPeerContact: () => {
        // Both counts include this instance.
        const { heard, members } = peerReports().view();
        return heard > 1 || members === 1;
      },
    });
  }

  #createExecutor(): BatchExecutor {
    const { settings, region, regions, otherWork, peerReports } = this.#options;
    const { clock, heldBytes, crashControl } = this.#options;
    return new BatchExecutor({
      ...this.#options,
      progress: this.#progress ?? noProgress,
      canStartItems: (partition) =>
        this.#progress?.isLoaded(partition) !== false &&
        this.ownership.canStartItems(partition),
      takesJob: (job) => regions.runningRegion(job) === region,
      otherRuns: () => otherWork()?.executor.runningWork().length ?? 0,
      waitingItemsElsewhere: () =>
        peerReports().recentReports().reduce(
          (sum, { report }) => sum + report.waitingItems,
          otherWork()?.executor.waitingItems ?? 0,
        ),
      openOutputHolding: () =>
        heldBytes.open({ kind: "item_output", client: jobsClient }),
      quarantine: crashControl.quarantine,
      crashDetector: crashControl.detector,
      zone: settings.zone,
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
    });
  }
}

const noProgress = {
  get: () => undefined,
  write: () => Promise.resolve(),
};
