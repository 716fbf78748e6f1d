/**
 * The coordination of the fleet as this instance takes part in it: as a coordinator, which exchanges
 * reports with the others, owns batch jobs and decides for its dependents, or as a dependent, which
 * asks a coordinator. The member list decides which of the two.
 */

import process from "node:process";
import type { InstanceId } from "../common/ids.ts";
import { CoordinatorClient } from "../coordination/coordinator-client.ts";
import { CoordinatorService } from "../coordination/coordinator-service.ts";
import { serveJobCalls } from "../coordination/job-call-service.ts";
import { RemotePlacer } from "../coordination/remote-placer.ts";
import {
  FleetLimits,
  type FleetLimitsOptions,
} from "../fleet/limits/fleet-limits.ts";
import type { FleetView } from "../fleet/limits/shared-bucket.ts";
import {
  chooseCoordinators,
  rankCoordinators,
} from "../fleet/peers/coordinators.ts";
import { DocumentPush } from "../fleet/peers/document-push.ts";
import { notifyOfStatements } from "../fleet/peers/statement-messages.ts";
import type { Member } from "../fleet/peers/members.ts";
import { isAllowedMember } from "../fleet/regions.ts";
import { type JobReport, PeerReports } from "../fleet/peers/peer-reports.ts";
import { displaceMessage } from "../fleet/peers/report.ts";
import type { JobCalls } from "../gateway/gateway.ts";
import { LocalPlacer, type Placer } from "../gateway/placement.ts";
import { deriveConnectionTimings } from "../transport/connection-timings.ts";
import { displaceBatch } from "./batch-displacement.ts";
import { BatchWork } from "./batch-work.ts";
import {
  coordinatorWarmUpMilliseconds,
  memberSilenceTimeoutMilliseconds,
  regionSilenceMilliseconds,
} from "./constants.ts";
import type { CoordinationOptions } from "./coordination-options.ts";
import { CrashControl } from "./crash-control.ts";
import { CoordinationRole } from "./coordination-role.ts";
import { createDependentState } from "./dependent-state.ts";
import { createJobCalls } from "./job-calls.ts";
import { SilentDependents } from "./silent-dependents.ts";

/** What is known of the tokens that are left when this instance begins to apply limits. */
type LimitsStart =
  & { readonly startsFull: boolean }
  & Pick<
    FleetLimitsOptions,
    "refillsFrom" | "predecessor" | "keepsLevels"
  >;

const millisecondsPerSecond = 1_000;

export class Coordination {
  /** Places requests as the present role of this instance does. */
  readonly placer: Placer;
  /** Answers calls on batch jobs as the present role of this instance does. */
  readonly jobCalls: JobCalls;
  readonly crashControl: CrashControl;
  readonly #options: CoordinationOptions;
  readonly #documentPush: DocumentPush;
  readonly #reports: PeerReports;
  readonly #role: CoordinationRole;
  readonly #client: CoordinatorClient;
  readonly #service: CoordinatorService;
  readonly #localPlacer: LocalPlacer;
  readonly #remotePlacer: RemotePlacer;
  readonly #silentDependents: SilentDependents;
  #limits: FleetLimits;
  #batch: BatchWork | undefined;
  #coordinators: readonly Member[] = [];
  #otherCoordinators: readonly Member[] = [];
  /** The other coordinators in the order in which this instance asks them. */
  #rankedCoordinators: readonly InstanceId[] = [];
  /** When this instance last became a coordinator; monotonic milliseconds. */
  #coordinatorSince = Number.POSITIVE_INFINITY;
  /** Continues when this instance becomes a coordinator again; see `BatchWorkOptions`. */
  #nextRecordNumber = 0;

  constructor(options: CoordinationOptions) {
    this.#options = options;
    const { network, documents, logger, settings, blackboard, clock } = options;
    this.crashControl = new CrashControl({
      ...options,
      coordinators: () => this.#rankedCoordinators,
      isCoordinator: () => this.#role.isCoordinator,
    });
    blackboard.coldServers.connect({
      self: settings.instance,
      view: () => this.#role.isCoordinator ? this.#reports.view() : undefined,
    });
    this.#documentPush = new DocumentPush({ network, documents, logger });
    this.#reports = this.#createReports();
    this.#role = new CoordinationRole({
      isChosen: () =>
        this.#coordinators.some(({ instance }) =>
          instance === settings.instance
        ),
      onChange: (isCoordinator, { isFirstDecision }) =>
        this.#applyRole(isCoordinator, isFirstDecision),
      now: clock.monotonicNow,
    });
    this.#limits = this.#createLimits({
      startsFull: false,
      refillsFrom: this.#processStartedAt(),
    });
    this.#localPlacer = this.#createLocalPlacer();
    this.#client = this.#createClient();
    this.#remotePlacer = new RemotePlacer({
      client: this.#client,
      fallback: this.#localPlacer,
      blackboard,
      zone: settings.zone,
      now: clock.monotonicNow,
    });
    this.#service = this.#createService();
    this.#silentDependents = this.#createSilentDependents();
    this.placer = this.#createPlacer();
    this.jobCalls = createJobCalls({
      ...options,
      client: this.#client,
      batch: () => this.#batch,
    });
  }

  /** True while this instance coordinates others, or may do so. */
  get isCoordinator(): boolean {
    return this.#role.isCoordinator;
  }

  /** True once this instance knows its role after its start. */
  get isDecided(): boolean {
    return this.#role.isDecided;
  }

  /** The batch work of a coordinator; undefined at a dependent. */
  get batch(): BatchWork | undefined {
    return this.#batch;
  }

  /** Number of instances that this coordinator decides for. */
  get dependents(): number {
    return this.#service.dependents;
  }

  /** The coordinators that this instance hears; see `FleetView`. */
  view(): FleetView {
    return this.#role.isCoordinator
      ? this.#reports.view()
      : { members: Math.max(1, this.#options.members.size), heard: 1 };
  }

  start(): void {
    this.crashControl.start();
    this.#client.start();
  }

  /** Keeps the present role until the end of this instance, which is leaving. */
  keepRole(): void {
    this.#role.stop();
  }

  stop(): void {
    this.crashControl.stop();
    this.#reports.stop();
    this.#client.stop();
    this.#batch?.stop();
  }

  /** Tells other instances of a change without waiting for the report interval. */
  announce(): void {
    if (this.#role.isCoordinator) this.#reports.announce();
    else this.#client.handleLoadChange();
  }

  /** Drops the counts of silent dependents, and refreshes the limits of a dependent. */
  expire(): void {
    this.#service.expire();
    if (!this.#role.isCoordinator) this.#limits.refresh();
  }

  /** Applies a change of the member list; see `CoordinationRole.handleChange`. */
  applyMembers({ isSettled }: { readonly isSettled: boolean }): void {
    const { settings, members, blackboard, clock } = this.#options;
    this.#coordinators = chooseCoordinators(
      members.all(),
      settings.maximumCoordinators,
    );
    blackboard.coldServers.setCoordinators(
      this.#coordinators.map(({ instance }) => instance),
      clock.monotonicNow(),
    );
    this.#otherCoordinators = this.#coordinators.filter((member) =>
      member.instance !== settings.instance
    );
    this.#rankedCoordinators = rankCoordinators(
      settings,
      this.#otherCoordinators,
    );
    this.#role.handleChange({ isSettled });
  }

  /** Peers that can reach the store, of the allowed regions, those in the same zone first. */
  relayPeers(allowedRegions: readonly string[] | undefined): InstanceId[] {
    const peers = this.#storeRelays();
    if (!allowedRegions) return peers;
    const { members, blackboard: { regionByZone } } = this.#options;
    return peers.filter((instance) =>
      isAllowedMember(members.get(instance), allowedRegions, regionByZone)
    );
  }

  #storeRelays(): InstanceId[] {
    if (!this.#role.isCoordinator) return this.#client.storeRelays();
    const { zone } = this.#options.settings;
    const isSameZone = (instance: InstanceId) =>
      this.#options.members.get(instance)?.zone === zone;
    return this.#reports.recentReports()
      .filter(({ report }) => !report.isStoreFailing)
      .map(({ instance }) => instance)
      .sort((left, right) =>
        Number(isSameZone(right)) - Number(isSameZone(left))
      );
  }

  /**
   * Removes expired jobs and silent members. The owner of partition 0 removes silent coordinators,
   * and each coordinator its silent dependents, unless this instance cannot read the store.
   */
  sweep({ isStoreFailing }: { readonly isStoreFailing: boolean }): void {
    const { logger, removeMember } = this.#options;
    if (!this.#batch) return;
    this.#batch.sweep();
    if (isStoreFailing) return;
    this.#silentDependents.sweep();
    if (!this.#batch.ownsFirstPartition) return;
    const silentMembers = this.#reports.silentMembers(
      memberSilenceTimeoutMilliseconds,
    );
    for (const member of silentMembers) {
      logger.info("a silent coordinator is removed from the member list", {
        member: member.instance,
      });
      removeMember(member);
    }
  }

  /** Takes or gives up the role of a coordinator. */
  #applyRole(isCoordinator: boolean, isFirstDecision: boolean): void {
    const { logger, settings } = this.#options;
    logger.info(
      isCoordinator
        ? "the instance is now a coordinator"
        : "the instance is no longer a coordinator",
      {
        members: this.#options.members.size,
        coordinators: this.#coordinators.length,
      },
    );
    // A dependent that becomes a coordinator later joins a fleet that may have spent the burst.
    const startsFull = settings.isFirstStart && isFirstDecision;
    this.#limits = this.#createLimits({
      startsFull,
      refillsFrom: isFirstDecision
        ? this.#processStartedAt()
        : this.#options.clock.monotonicNow(),
      predecessor: this.#limits,
      keepsLevels: isFirstDecision,
    });
    if (isCoordinator) {
      this.#coordinatorSince = this.#options.clock.monotonicNow();
      this.#client.stop();
      this.#batch = this.#createBatchWork();
      this.#batch.start();
      this.#reports.start();
      if (!isFirstDecision) this.#options.onCoordinator();
      return;
    }
    const batch = this.#batch;
    this.#batch = undefined;
    this.#client.start();
    this.#reports.stop();
    batch?.leave().then(
      () => batch.stop(),
      (error) =>
        logger.error("the batch work could not be handed over", {
          reason: String(error),
        }),
    );
  }

  /** Monotonic milliseconds. */
  #processStartedAt(): number {
    return this.#options.clock.monotonicNow() -
      process.uptime() * millisecondsPerSecond;
  }

  #createLimits({ startsFull, ...start }: LimitsStart): FleetLimits {
    const { settings, clock } = this.#options;
    return new FleetLimits({
      ...start,
      blackboard: this.#options.blackboard,
      clock,
      isFirstStart: startsFull,
      window: {
        windowMilliseconds: settings.limitWindowMilliseconds,
        overage: settings.limitOverage,
      },
      // The slack is one for the whole fleet, so that dependents may not spend it one by one.
      slackRequests: this.#role.isCoordinator ? settings.limitSlackRequests : 0,
      view: () => this.view(),
    });
  }

  #createLocalPlacer(): LocalPlacer {
    const { blackboard, clock } = this.#options;
    return new LocalPlacer({
      blackboard,
      limiter: () => {
        if (!this.#role.isCoordinator) this.#limits.refresh();
        return this.#limits;
      },
      quarantine: () => this.crashControl.quarantine,
      refreshLimits: () => {
        if (this.#role.isCoordinator) return;
        blackboard.serverLimits.refresh(clock.monotonicNow(), this.view());
      },
      zone: this.#options.settings.zone,
      displaceBatch: (server) => this.#displaceBatch(server),
      now: clock.monotonicNow,
    });
  }

  #createClient(): CoordinatorClient {
    const { clock, logger } = this.#options;
    const { statements } = this.#options;
    return new CoordinatorClient({
      network: this.#options.network,
      coordinators: () => this.#rankedCoordinators,
      state: createDependentState({
        ...this.#options,
        quarantine: () => this.crashControl.quarantine,
        placer: () => this.#remotePlacer,
      }),
      onStatements: (reply, coordinator) =>
        notifyOfStatements(
          reply,
          coordinator,
          statements.listeners({ isDependent: false }),
        ),
      clock,
      logger,
    });
  }

  #createService(): CoordinatorService {
    const { clock } = this.#options;
    serveJobCalls({
      network: this.#options.network,
      blackboard: this.#options.blackboard,
      calls: () => this.#batch?.calls,
      zoneOf: (instance) => this.#options.members.get(instance)?.zone,
      now: clock.monotonicNow,
    });
    return new CoordinatorService({
      network: this.#options.network,
      blackboard: this.#options.blackboard,
      placer: this.#localPlacer,
      canDecide: () => this.#canDecide(),
      isStoreFailing: () => this.#options.isStoreFailing(),
      documentPush: this.#documentPush,
      quarantine: this.crashControl.quarantine,
      ...this.#options.statements.listeners({ isDependent: true }),
      clock,
    });
  }

  /** A new coordinator first hears the others, or finds that they are silent. */
  #canDecide(): boolean {
    if (!this.#role.isCoordinator) return false;
    const { heard, members } = this.#reports.view();
    const elapsed = this.#options.clock.monotonicNow() - this.#coordinatorSince;
    return heard * 2 > members || elapsed > coordinatorWarmUpMilliseconds;
  }

  #createSilentDependents(): SilentDependents {
    const { settings, clock, logger } = this.#options;
    return new SilentDependents({
      network: this.#options.network,
      watched: () => {
        const chosen = new Set(
          this.#coordinators.map(({ instance }) => instance),
        );
        return this.#options.members.all().filter((member) =>
          !chosen.has(member.instance) &&
          rankCoordinators(member, this.#coordinators)[0] === settings.instance
        );
      },
      isAttached: (instance) => this.#service.hasDependent(instance),
      remove: this.#options.removeMember,
      now: clock.monotonicNow,
      logger,
    });
  }

  #createBatchWork(): BatchWork {
    const { settings, callerCodec, jobCodec, logger, clock } = this.#options;
    return new BatchWork({
      settings,
      store: this.#options.store,
      blackboard: this.#options.blackboard,
      network: this.#options.network,
      pools: this.#options.pools,
      heldBytes: this.#options.heldBytes,
      crashControl: this.crashControl,
      statements: this.#options.statements,
      callerCodec,
      jobCodec,
      peerReports: () => this.#reports,
      liveZones: () => this.#liveZones(),
      configurationReadAt: this.#options.configurationReadAt,
      nextRecordNumber: () => this.#nextRecordNumber++,
      countRun: (outcome) => this.#options.countRun(outcome),
      countRemovals: (...removed) => this.#options.countRemovals(...removed),
      clock,
      logger,
    });
  }

  #liveZones(): string[] {
    const silent = new Set(
      this.#reports.silentMembers(regionSilenceMilliseconds)
        .map(({ instance }) => instance),
    );
    return this.#coordinators
      .filter(({ instance }) => !silent.has(instance))
      .map(({ zone }) => zone);
  }

  #createReports(): PeerReports {
    const { clock, logger } = this.#options;
    const network = this.#options.network;
    network.handle(displaceMessage, ({ server }) => ({
      isDisplaced: this.#batch?.displace(server) ?? false,
    }));
    return new PeerReports({
      network,
      peers: () => this.#otherCoordinators,
      blackboard: this.#options.blackboard,
      documents: this.#options.documents,
      documentPush: this.#documentPush,
      limits: () => this.#limits,
      jobReport: () => this.#batch?.report() ?? noJobs,
      quarantine: this.crashControl.quarantine,
      ...this.#options.statements.listeners({ isDependent: false }),
      isStoreFailing: () => this.#options.isStoreFailing(),
      timings: deriveConnectionTimings(
        this.#options.settings.reactionMilliseconds,
      ),
      clock,
      logger,
    });
  }

  #displaceBatch(server: InstanceId): void {
    const { network, blackboard, logger } = this.#options;
    void displaceBatch(server, {
      batch: this.#batch,
      loads: blackboard.loads,
      network,
      logger,
    });
  }

  #createPlacer(): Placer {
    const current = () =>
      this.#role.isCoordinator ? this.#localPlacer : this.#remotePlacer;
    return {
      place: (request) => current().place(request),
      releaseSlot: (server) => current().releaseSlot(server),
      withdraw: (choice) => current().withdraw(choice),
      findRoom: (request) => current().findRoom(request),
      makeRoom: (server) => current().makeRoom(server),
    };
  }
}

const noJobs: JobReport = {
  ownedPartitions: [],
  ownerGeneration: 0,
  waitingItems: 0,
};
