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
import { JobRegions } from "../jobs/job-regions.ts";
import { ResultWriter } from "../jobs/result-writer.ts";
import type { ItemWork } from "../jobs/work-table.ts";
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
} from "./constants.ts";
import type { CrashControl } from "./crash-control.ts";
import type { EntrySettings } from "./entry-settings.ts";
import { OwnedWork } from "./owned-work.ts";

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
  /** See `JobRegionsOptions`. */
  readonly liveZones: () => readonly string[];
  /** See `BatchExecutorOptions`. */
  readonly configurationReadAt: () => number;
  /**
   * Returns a number that this incarnation has not used for a record yet, in this batch work or an
   * earlier one: records that have the same key replace each other.
   */
  readonly nextRecordNumber: () => number;
  /** Called at the end of each item run. */
  readonly countRun: (outcome: string) => void;
  /** Called with the number of records that were removed from the store. */
  readonly countRemovals: (family: "jobs" | "bodies", count: number) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What most parts of the batch work need. */
interface SharedParts {
  readonly store: KeyedStore;
  readonly partitions: JobPartitions;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly wallNow: () => number;
  readonly logger: Logger;
}

export class BatchWork {
  readonly calls: JobCallHandler;
  readonly #options: BatchWorkOptions;
  readonly #partitions: JobPartitions;
  readonly #regions: JobRegions;
  readonly #bodies: ItemBodies;
  readonly #cacheHolding: Holding;
  readonly #resultHoldings: Holding[] = [];
  readonly #shared: SharedParts;
  readonly #work: OwnedWork;
  readonly #capacity: StoreCapacity;
  readonly #removal: RecordRemoval;
  readonly #orphans: OrphanBodies;
  readonly #resultWriters = new Map<PartitionNumber, ResultWriter>();
  #regionalWork: OwnedWork | undefined;
  #isRunning = false;

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
    this.#regions = new JobRegions({ ...options, zone: settings.zone });
    this.#bodies = new ItemBodies({
      regions: this.#regions,
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
          isOwned: () =>
            this.#works().some(({ ownership }) =>
              ownership.isOwned(target.partition)
            ),
          openSnapshotHolding: () =>
            options.heldBytes.open({
              kind: "store_response",
              client: storeClient,
            }),
          onResultBytes: this.#openResultHolding(),
          onChange: (jobs) => this.#handleJobChanges(jobs),
        }),
    );
    this.#shared = {
      store,
      partitions: this.#partitions,
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      logger,
    };
    this.#work = this.#createOwnedWork();
    this.#removal = this.#createRemoval();
    this.#capacity = this.#createCapacity(meter);
    this.#orphans = this.#createOrphans();
    this.calls = new JobCallHandler({
      ...this.#shared,
      heldBytes: options.heldBytes,
      bodies: this.#bodies,
      regions: this.#regions,
      admission: new JobAdmission({
        ...this.#shared,
        instance: settings.instance,
        network: options.network,
        candidates: () => [
          settings.instance,
          ...options.peerReports().recentReports().map(({ instance }) =>
            instance
          ),
        ],
      }),
      codec: options.jobCodec,
      hasRoomFor: (bytes) => this.#capacity.hasRoomFor(bytes),
      submissionGapMilliseconds: settings.jobLifetimeMilliseconds *
        submissionGapShare,
    });
  }

  /** True if this instance owns partition 0 and may start new work for it. */
  get ownsFirstPartition(): boolean {
    return this.#work.ownership.canStartItems(0 as PartitionNumber);
  }

  start(): void {
    for (const partition of this.#partitions.all()) partition.start();
    this.#isRunning = true;
    this.#work.start();
    this.#updateRegionalWork();
  }

  /** Gives up all owned partitions and stops running items. */
  async leave(): Promise<void> {
    this.#isRunning = false;
    await Promise.all(this.#works().map((work) => work.leave()));
  }

  #runningWork(): ItemWork[] {
    return this.#works().flatMap(({ executor }) => executor.runningWork());
  }

  get runningItems(): number {
    return this.#runningWork().length;
  }

  /** Stops reading the partitions; called last during a graceful shutdown. */
  stop(): void {
    for (const partition of this.#partitions.all()) partition.stop();
    this.#cacheHolding.dispose();
    for (const holding of this.#resultHoldings) holding.dispose();
  }

  /** Displaces one batch run of this instance at the server; returns false if it has none. */
  displace(server: InstanceId): boolean {
    return this.#works().some(({ executor }) => executor.displace(server));
  }

  /** Called when the rules of routes and workspaces or the evacuated zones may have changed. */
  handleConfiguration(): void {
    this.#updateRegionalWork();
    const { clock, blackboard, logger } = this.#options;
    const now = clock.monotonicNow();
    cancelEvacuatedRuns(this.#runningWork(), { blackboard, now, logger });
  }

  /** The batch state that this instance reports to its peers. */
  report(): JobReport {
    return {
      ...this.#capacity.report(),
      ownerGeneration: this.#work.ownership.generation,
      waitingItems: this.#works().reduce(
        (sum, { executor }) => sum + executor.waitingItems,
        0,
      ),
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
    for (const { executor } of this.#works()) executor.handleJobChanges(jobs);
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

  #createRemoval(): RecordRemoval {
    const { settings, countRemovals } = this.#options;
    const lifetimeMilliseconds = settings.jobLifetimeMilliseconds;
    return new RecordRemoval({
      ...this.#shared,
      bodyStream: bodyStream as StreamName,
      isOwner: (partition) => this.#work.ownership.canStartItems(partition),
      times: () => ({
        lifetimeMilliseconds,
        marginMilliseconds: lifetimeMilliseconds * retentionMarginShare,
        orphanMilliseconds: lifetimeMilliseconds * orphanAgeShare,
        bodyGraceMilliseconds: bodyGraceMilliseconds(
          this.#capacity.fill,
          lifetimeMilliseconds,
        ),
      }),
      onRemoved: countRemovals,
    });
  }

  #createCapacity(meter: WriteMeter): StoreCapacity {
    const { settings, peerReports } = this.#options;
    return new StoreCapacity({
      ...this.#shared,
      capacityBytes: settings.store.capacityBytes ?? defaultStoreCapacityBytes,
      historyMilliseconds: this.#historyMilliseconds,
      isOwned: (partition) => this.#work.ownership.isOwned(partition),
      notesOf: (partition, job) => this.#removal.notesOf(partition, job),
      meter,
      peerVolumes: () =>
        peerReports().recentReports().map((peer) => peer.report),
    });
  }

  #createOrphans(): OrphanBodies {
    const { settings, countRemovals } = this.#options;
    return new OrphanBodies({
      ...this.#shared,
      stream: bodyStream as StreamName,
      isOwned: (partition) => this.#readsAnyBodies(partition),
      commonRegions: () =>
        this.#options.blackboard.configuration?.commonRegions,
      orphanMilliseconds: settings.jobLifetimeMilliseconds * orphanAgeShare,
      onRemoved: (count) => countRemovals("bodies", count),
    });
  }

  #createOwnedWork(region?: string): OwnedWork {
    const work: OwnedWork = new OwnedWork({
      ...this.#options,
      ...this.#shared,
      region,
      bodies: this.#bodies,
      regions: this.#regions,
      writerOf: (partition) => this.#resultWriterOf(partition),
      otherWork: () => this.#works().find((other) => other !== work),
    });
    return work;
  }

  /** The work on any partitions, and that on jobs of the region of this instance if there is any. */
  #works(): OwnedWork[] {
    return this.#regionalWork ? [this.#work, this.#regionalWork] : [this.#work];
  }

  /** Joins the owners of this instance's region while any route or workspace names regions. */
  #updateRegionalWork(): void {
    const { settings, blackboard, logger } = this.#options;
    const region = blackboard.regionByZone.get(settings.zone);
    const isNeeded = this.#isRunning && region !== undefined &&
      blackboard.configuration?.commonRegions !== undefined;
    if (isNeeded === (this.#regionalWork !== undefined)) return;
    if (isNeeded) {
      this.#regionalWork = this.#createOwnedWork(region);
      this.#regionalWork.start();
      return;
    }
    const ended = this.#regionalWork;
    this.#regionalWork = undefined;
    ended?.leave().catch((error) =>
      logger.error("the work of a region could not be ended", {
        region: region ?? null,
        reason: String(error),
      })
    );
  }

  /** Whether this instance may read bodies of any job of the partition for the whole fleet. */
  #readsAnyBodies(partition: PartitionNumber): boolean {
    const { settings, blackboard } = this.#options;
    if (!blackboard.configuration) return false;
    const { commonRegions } = blackboard.configuration;
    if (!commonRegions) return this.#work.ownership.canStartItems(partition);
    const region = this.#regions.firstLive(commonRegions);
    return region !== undefined &&
      region === blackboard.regionByZone.get(settings.zone) &&
      this.#regionalWork?.ownership.canStartItems(partition) === true;
  }

  #resultWriterOf(partition: JobPartition): ResultWriter {
    const { settings, logger, nextRecordNumber } = this.#options;
    let writer = this.#resultWriters.get(partition.number);
    if (!writer) {
      writer = new ResultWriter({
        partition,
        writer: `${settings.instance}/${settings.incarnation}`,
        nextNumber: nextRecordNumber,
        onHeldBytes: this.#openResultHolding(),
        logger,
      });
      this.#resultWriters.set(partition.number, writer);
    }
    return writer;
  }
}
