/**
 * Runs the batch jobs of an entry instance: connects the job partitions, their ownership, the
 * executor and the calls that callers make on jobs.
 */

import type { Clock } from "../common/clock.ts";
import type {
  InstanceId,
  JobId,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { JobReport, PeerReports } from "../fleet/peers/peer-reports.ts";
import type { ServerStatements } from "../fleet/server-statements.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import type { ServerPools } from "../gateway/server-pools.ts";
import { BatchExecutor } from "../jobs/batch-executor.ts";
import { ItemBodies } from "../jobs/item-bodies.ts";
import { JobAdmission } from "../jobs/job-admission.ts";
import { JobCallHandler } from "../jobs/job-call-handler.ts";
import type { JobCodec } from "../jobs/job-codec.ts";
import { JobPartition, JobPartitions } from "../jobs/job-partition.ts";
import { PartitionOwnership } from "../jobs/partition-ownership.ts";
import { ProgressStore } from "../jobs/progress-store.ts";
import { ResultWriter } from "../jobs/result-writer.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { deriveConnectionTimings } from "../transport/connection-timings.ts";
import {
  bodyStream,
  jobStream,
  ownerGroup,
  progressStream,
} from "./constants.ts";
import type { CrashControl } from "./crash-control.ts";
import type { EntrySettings } from "./entry-settings.ts";

export interface BatchWorkOptions {
  readonly settings: EntrySettings;
  readonly store: KeyedStore;
  readonly blackboard: Blackboard;
  readonly network: PeerNetwork;
  readonly pools: ServerPools;
  readonly crashControl: CrashControl;
  readonly statements: ServerStatements;
  readonly callerCodec: CallerCodec;
  readonly jobCodec: JobCodec;
  readonly peerReports: () => PeerReports;
  /** Called at the end of each item run. */
  readonly countRun: (outcome: string) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class BatchWork {
  readonly calls: JobCallHandler;
  readonly #options: BatchWorkOptions;
  readonly #partitions: JobPartitions;
  readonly #bodies: ItemBodies;
  readonly #ownership: PartitionOwnership;
  readonly #progress: ProgressStore;
  readonly #executor: BatchExecutor;
  readonly #resultWriters = new Map<PartitionNumber, ResultWriter>();
  #nextGroupNumber = 0;

  constructor(options: BatchWorkOptions) {
    this.#options = options;
    const { settings, store, logger, clock } = options;
    this.#bodies = new ItemBodies({
      store,
      stream: bodyStream as StreamName,
      logger,
    });
    this.#partitions = new JobPartitions(
      jobStream as StreamName,
      settings.store.partitions,
      (target) =>
        new JobPartition({
          store,
          target,
          logger,
          now: clock.monotonicNow,
          timings: deriveConnectionTimings(settings.reactionMilliseconds),
          isOwned: () => this.#ownership.isOwned(target.partition),
          onChange: (jobs) => this.#executor.handleJobChanges(jobs),
        }),
    );
    this.#ownership = this.#createOwnership();
    this.#progress = new ProgressStore({
      store,
      stream: progressStream as StreamName,
      ownedPartitions: () => this.#ownership.ownedPartitions(),
      progressOf: (partition) => this.#executor.progressOf(partition),
      logger,
    });
    this.#executor = this.#createExecutor();
    this.calls = new JobCallHandler({
      partitions: this.#partitions,
      bodies: this.#bodies,
      admission: new JobAdmission({
        instance: settings.instance,
        network: options.network,
        partitions: this.#partitions,
        candidates: () => [
          settings.instance,
          ...options.peerReports().recentReports().map(({ instance }) =>
            instance
          ),
        ],
        now: clock.monotonicNow,
        logger,
      }),
      codec: options.jobCodec,
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      logger,
    });
  }

  /** True if this instance owns partition 0 and may start new work for it. */
  get ownsFirstPartition(): boolean {
    return this.#ownership.canStartItems(0 as PartitionNumber);
  }

  start(): void {
    for (const partition of this.#partitions.all()) partition.start();
    this.#ownership.start();
    this.#progress.start();
    this.#executor.start();
  }

  /** Gives up all owned partitions and stops running items. */
  async leave(): Promise<void> {
    await this.#ownership.leave();
    this.#progress.stop();
    this.#executor.stop();
  }

  get runningItems(): number {
    return this.#executor.runningItems;
  }

  /** Stops reading the partitions; called last during a graceful shutdown. */
  stop(): void {
    for (const partition of this.#partitions.all()) partition.stop();
  }

  /** Displaces one batch run of this instance at the server; returns false if it has none. */
  displace(server: InstanceId): boolean {
    return this.#executor.displace(server);
  }

  /** The batch state that this instance reports to its peers. */
  report(): JobReport {
    return {
      ownedPartitions: this.#ownership.ownedPartitions(),
      ownerGeneration: this.#ownership.generation,
      waitingItems: this.#executor.waitingItems,
    };
  }

  /** Drops finished jobs whose lifetime has passed from memory. */
  removeExpiredJobs(): void {
    const { settings, clock } = this.#options;
    const now = clock.wallNow();
    for (const partition of this.#partitions.all()) {
      for (const state of [...partition.state.jobs()]) {
        const { record } = state;
        const isFinished = state.isEnded ||
          state.finished.size === record.items.length;
        const expiresAt = record.acceptedAt + settings.jobLifetimeMilliseconds;
        if (isFinished && now > expiresAt) this.#dropJob(partition, record.job);
      }
    }
  }

  #dropJob(partition: JobPartition, job: JobId): void {
    partition.state.removeJob(job);
    this.#bodies.evict(job);
  }

  #createOwnership(): PartitionOwnership {
    const { settings, store, clock, logger, peerReports } = this.#options;
    return new PartitionOwnership({
      store,
      instance: settings.instance,
      group: ownerGroup,
      stream: jobStream as StreamName,
      clock,
      logger,
      onPartitionsRevoked: async (partitions) => {
        await this.#executor.release(partitions);
        for (const partition of partitions) this.#progress.unload(partition);
      },
      onPartitionsAssigned: (partitions) => {
        for (const partition of partitions) {
          void this.#progress.load(partition);
        }
      },
      onLeaseAcquired: (number, lease) => {
        const partition = this.#partitions.get(number);
        void partition?.catchUpWhile(() =>
          this.#ownership.leaseOf(number) === lease &&
          partition.completeUntil < lease.acquiredAt
        );
      },
      copyCompleteUntil: (number) =>
        this.#partitions.get(number)?.completeUntil ?? Number.NEGATIVE_INFINITY,
      isClaimedByPeer: (partition, generation) =>
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
    const { settings, blackboard, pools, callerCodec, jobCodec, peerReports } =
      this.#options;
    const { clock, logger } = this.#options;
    return new BatchExecutor({
      blackboard,
      partitions: this.#partitions,
      bodies: this.#bodies,
      writerOf: (partition) => this.#resultWriterOf(partition),
      progress: this.#progress,
      canStartItems: (partition) =>
        this.#progress.isLoaded(partition) &&
        this.#ownership.canStartItems(partition),
      waitingItemsOfPeers: () =>
        peerReports().recentReports().reduce(
          (sum, { report }) => sum + report.waitingItems,
          0,
        ),
      callerCodec,
      jobCodec,
      pools,
      quarantine: this.#options.crashControl.quarantine,
      crashDetector: this.#options.crashControl.detector,
      statements: this.#options.statements,
      zone: settings.zone,
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      countRun: this.#options.countRun,
      logger,
    });
  }

  #resultWriterOf(partition: JobPartition): ResultWriter {
    const { settings, logger } = this.#options;
    let writer = this.#resultWriters.get(partition.number);
    if (!writer) {
      writer = new ResultWriter({
        partition,
        writer: `${settings.instance}/${settings.incarnation}`,
        nextNumber: () => this.#nextGroupNumber++,
        logger,
      });
      this.#resultWriters.set(partition.number, writer);
    }
    return writer;
  }
}
