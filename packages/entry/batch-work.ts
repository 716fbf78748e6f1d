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
import { cancelEvacuatedRuns } from "../jobs/evacuated-runs.ts";
import { ItemBodies } from "../jobs/item-bodies.ts";
import { JobAdmission } from "../jobs/job-admission.ts";
import { JobCallHandler } from "../jobs/job-call-handler.ts";
import type { JobCodec } from "../jobs/job-codec.ts";
import {
  orphanAgeShare,
  retentionMarginShare,
  submissionGapShare,
} from "../jobs/constants.ts";
import { OrphanBodies } from "../jobs/orphan-bodies.ts";
import { RecordRemoval } from "../jobs/record-removal.ts";
import { bodyGraceMilliseconds } from "../jobs/store-budget.ts";
import { StoreCapacity } from "../jobs/store-capacity.ts";
import { JobPartition, JobPartitions } from "../jobs/job-partition.ts";
import { PartitionOwnership } from "../jobs/partition-ownership.ts";
import { ProgressStore } from "../jobs/progress-store.ts";
import { ResultWriter } from "../jobs/result-writer.ts";
import { jobsClient, storeClient } from "../overload/client-id.ts";
import type { HeldBytes, Holding } from "../overload/held-bytes.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { meterWrites, WriteMeter } from "../store/write-meter.ts";
import { deriveConnectionTimings } from "../transport/connection-timings.ts";
import {
  bodyStream,
  defaultStoreCapacityBytes,
  defaultStoreHistoryMilliseconds,
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
  readonly heldBytes: HeldBytes;
  readonly crashControl: CrashControl;
  readonly statements: ServerStatements;
  readonly callerCodec: CallerCodec;
  readonly jobCodec: JobCodec;
  readonly peerReports: () => PeerReports;
  /** See `BatchExecutorOptions`. */
  readonly configurationReadAt: () => number;
  /** Called at the end of each item run. */
  readonly countRun: (outcome: string) => void;
  /** Called with the number of records that were removed from the store. */
  readonly countRemovals: (family: "jobs" | "bodies", count: number) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class BatchWork {
  readonly calls: JobCallHandler;
  readonly #options: BatchWorkOptions;
  readonly #partitions: JobPartitions;
  readonly #bodies: ItemBodies;
  readonly #cacheHolding: Holding;
  readonly #resultHoldings: Holding[] = [];
  readonly #ownership: PartitionOwnership;
  readonly #capacity: StoreCapacity;
  readonly #removal: RecordRemoval;
  readonly #orphans: OrphanBodies;
  readonly #progress: ProgressStore;
  readonly #executor: BatchExecutor;
  readonly #resultWriters = new Map<PartitionNumber, ResultWriter>();
  #nextGroupNumber = 0;

  constructor(options: BatchWorkOptions) {
    this.#options = options;
    const { settings, logger, clock } = options;
    const meter = new WriteMeter({
      historyMilliseconds: this.#historyMilliseconds,
      now: clock.monotonicNow,
    });
    const store = meterWrites(options.store, meter);
    const cacheHolding = this.#cacheHolding = options.heldBytes.open({
      kind: "job_bodies",
      client: jobsClient,
    });
    this.#bodies = new ItemBodies({
      onCachedBytes: (bytes) => cacheHolding.resize(bytes),
      openLoadHolding: () =>
        options.heldBytes.open({ kind: "body_load", client: jobsClient }),
      store,
      stream: bodyStream as StreamName,
      onOrphaned: (...bodies) => this.#orphans.add(...bodies),
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
          openSnapshotHolding: () =>
            options.heldBytes.open({
              kind: "store_response",
              client: storeClient,
            }),
          onResultBytes: this.#openResultHolding(),
          onChange: (jobs) => this.#handleJobChanges(jobs),
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
    this.#removal = this.#createRemoval(store);
    this.#capacity = this.#createCapacity(meter);
    this.#orphans = this.#createOrphans(store);
    this.calls = new JobCallHandler({
      heldBytes: options.heldBytes,
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
      hasRoomFor: (bytes) => this.#capacity.hasRoomFor(bytes),
      submissionGapMilliseconds: settings.jobLifetimeMilliseconds *
        submissionGapShare,
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
    return this.#executor.runningWork().length;
  }

  /** Stops reading the partitions; called last during a graceful shutdown. */
  stop(): void {
    for (const partition of this.#partitions.all()) partition.stop();
    this.#cacheHolding.dispose();
    for (const holding of this.#resultHoldings) holding.dispose();
  }

  /** Displaces one batch run of this instance at the server; returns false if it has none. */
  displace(server: InstanceId): boolean {
    return this.#executor.displace(server);
  }

  /** Called when a zone may have been evacuated. */
  stopEvacuatedRuns(): void {
    const { clock, blackboard, logger } = this.#options;
    const now = clock.monotonicNow();
    const running = this.#executor.runningWork();
    cancelEvacuatedRuns(running, { blackboard, now, logger });
  }

  /** The batch state that this instance reports to its peers. */
  report(): JobReport {
    return {
      ...this.#capacity.report(),
      ownerGeneration: this.#ownership.generation,
      waitingItems: this.#executor.waitingItems,
    };
  }

  /** Estimated volume of the store, and the number of records of jobs and bodies in it. */
  get storedVolume(): { readonly bytes: number; readonly liveKeys: number } {
    const { volumeBytes, liveKeys } = this.#capacity;
    return { bytes: volumeBytes, liveKeys };
  }

  /** Measures the store and removes needless records of the owned partitions. */
  sweep(): void {
    this.#capacity.refresh();
    void this.#removal.sweep();
    void this.#orphans.sweep();
  }

  #handleJobChanges(jobs: readonly JobId[]): void {
    this.#executor.handleJobChanges(jobs);
    for (const job of jobs) {
      if (!this.#partitions.forJob(job).job(job)) this.#bodies.evict(job);
    }
  }

  get #historyMilliseconds(): number {
    return this.#options.settings.store.historyMilliseconds ??
      defaultStoreHistoryMilliseconds;
  }

  /** Opens a holding for results and returns the function that sets its size. */
  #openResultHolding(): (bytes: number) => void {
    const holding = this.#options.heldBytes.open({
      kind: "job_results",
      client: jobsClient,
    });
    this.#resultHoldings.push(holding);
    return (bytes) => holding.resize(bytes);
  }

  #createRemoval(store: KeyedStore): RecordRemoval {
    const { settings, clock, logger, countRemovals } = this.#options;
    const lifetimeMilliseconds = settings.jobLifetimeMilliseconds;
    return new RecordRemoval({
      store,
      bodyStream: bodyStream as StreamName,
      partitions: this.#partitions,
      isOwner: (partition) => this.#ownership.canStartItems(partition),
      times: () => ({
        lifetimeMilliseconds,
        marginMilliseconds: lifetimeMilliseconds * retentionMarginShare,
        orphanMilliseconds: lifetimeMilliseconds * orphanAgeShare,
        bodyGraceMilliseconds: bodyGraceMilliseconds(
          this.#capacity.fill,
          lifetimeMilliseconds,
        ),
      }),
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      onRemoved: countRemovals,
      logger,
    });
  }

  #createCapacity(meter: WriteMeter): StoreCapacity {
    const { settings, clock, logger, peerReports } = this.#options;
    return new StoreCapacity({
      capacityBytes: settings.store.capacityBytes ?? defaultStoreCapacityBytes,
      historyMilliseconds: this.#historyMilliseconds,
      partitions: this.#partitions,
      isOwned: (partition) => this.#ownership.isOwned(partition),
      notesOf: (partition, job) => this.#removal.notesOf(partition, job),
      meter,
      peerVolumes: () =>
        peerReports().recentReports().map((peer) => peer.report),
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      logger,
    });
  }

  #createOrphans(store: KeyedStore): OrphanBodies {
    const { settings, clock, logger, countRemovals } = this.#options;
    return new OrphanBodies({
      store,
      stream: bodyStream as StreamName,
      partitions: this.#partitions,
      isOwned: (partition) => this.#ownership.canStartItems(partition),
      orphanMilliseconds: settings.jobLifetimeMilliseconds * orphanAgeShare,
      now: clock.monotonicNow,
      onRemoved: (count) => countRemovals("bodies", count),
      logger,
    });
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
      configurationReadAt: this.#options.configurationReadAt,
      waitingItemsOfPeers: () =>
        peerReports().recentReports().reduce(
          (sum, { report }) => sum + report.waitingItems,
          0,
        ),
      callerCodec,
      jobCodec,
      pools,
      openOutputHolding: () =>
        this.#options.heldBytes.open({
          kind: "item_output",
          client: jobsClient,
        }),
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
        onHeldBytes: this.#openResultHolding(),
        logger,
      });
      this.#resultWriters.set(partition.number, writer);
    }
    return writer;
  }
}
