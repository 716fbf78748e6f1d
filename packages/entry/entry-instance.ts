/**
 * Creates and connects the components of an entry instance: listeners, followers of the store,
 * the peer network and the controllers, which share one blackboard. Everything that depends on
 * a platform is passed in through the options.
 */

import { createServer, type ServerResponse } from "node:http";
import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import type { Incarnation, InstanceId, StreamName } from "../common/ids.ts";
import { listenOn } from "../common/listen.ts";
import type { Logger } from "../common/logging.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import { type DocumentCodec, Documents } from "../fleet/documents.ts";
import { FleetLimits } from "../fleet/limits/fleet-limits.ts";
import type { FleetView } from "../fleet/limits/shared-bucket.ts";
import { CoordinatorClient } from "../coordination/coordinator-client.ts";
import { CoordinatorService } from "../coordination/coordinator-service.ts";
import { ForwardedJobCalls } from "../coordination/forwarded-job-calls.ts";
import { serveJobCalls } from "../coordination/job-call-service.ts";
import { RemotePlacer } from "../coordination/remote-placer.ts";
import {
  chooseCoordinators,
  rankCoordinators,
} from "../fleet/peers/coordinators.ts";
import { DocumentPush } from "../fleet/peers/document-push.ts";
import { type Member, MemberTable } from "../fleet/peers/members.ts";
import { type JobCalls } from "../gateway/gateway.ts";
import { LocalPlacer, type Placer } from "../gateway/placement.ts";
import { type JobReport, PeerReports } from "../fleet/peers/peer-reports.ts";
import { displaceMessage } from "../fleet/peers/report.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import { CallerListener } from "../gateway/caller-listener.ts";
import { initialDurationMilliseconds } from "../gateway/constants.ts";
import { Gateway } from "../gateway/gateway.ts";
import { ServerPools } from "../gateway/server-pools.ts";
import type { JobCodec } from "../jobs/job-codec.ts";
import { TcpPeerNetwork } from "../protocol/peer-network.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import {
  followWaitMilliseconds,
  relaxedFollowWaitMilliseconds,
} from "../store/constants.ts";
import { RelayedStore } from "../store/relayed-store.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import { BatchWork } from "./batch-work.ts";
import {
  coordinatorWarmUpMilliseconds,
  displaceTimeoutMilliseconds,
  expiryIntervalMilliseconds,
  memberSilenceTimeoutMilliseconds,
  memberStream,
  sweepIntervalMilliseconds,
} from "./constants.ts";
import type { EntryMetrics } from "./entry-metrics.ts";
import type { EntrySettings, ListenAddress } from "./entry-settings.ts";
import { addInstanceGauges } from "./instance-gauges.ts";
import { leaveFleet } from "./leaving.ts";
import { CoordinationRole } from "./coordination-role.ts";
import { Membership } from "./membership.ts";
import { SilentDependents } from "./silent-dependents.ts";

export interface EntryInstanceOptions {
  readonly settings: EntrySettings;
  readonly store: KeyedStore;
  readonly callerCodec: CallerCodec;
  readonly documentCodec: DocumentCodec;
  readonly jobCodec: JobCodec;
  readonly logger: Logger;
  readonly metrics: EntryMetrics;
  readonly clock?: Clock;
}

export class EntryInstance {
  readonly #options: Required<EntryInstanceOptions>;
  readonly #disposables = new DisposableStore();
  readonly #blackboard = new Blackboard({ initialDurationMilliseconds });
  readonly #members = new MemberTable();
  readonly #pools: ServerPools;
  readonly #network: TcpPeerNetwork;
  readonly #documents: Documents;
  readonly #documentPush: DocumentPush;
  readonly #reports: PeerReports;
  readonly #membership: Membership;
  readonly #role: CoordinationRole;
  readonly #client: CoordinatorClient;
  readonly #coordinator: CoordinatorService;
  readonly #localPlacer: LocalPlacer;
  readonly #remotePlacer: RemotePlacer;
  readonly #forwardedCalls: ForwardedJobCalls;
  readonly #silentDependents: SilentDependents;
  readonly #listener: CallerListener;
  readonly #followers: PartitionFollower[];
  readonly #store: RelayedStore;
  /** When the configuration or the server list last could not be read; monotonic milliseconds. */
  #storeLastFailedAt = Number.NEGATIVE_INFINITY;
  #limits: FleetLimits;
  /** Undefined while this instance is no coordinator. */
  #batch: BatchWork | undefined;
  #coordinators: readonly Member[] = [];
  /** The other coordinators in the order in which this instance asks them. */
  #rankedCoordinators: readonly InstanceId[] = [];
  #hasBeenCoordinator = false;
  /** When this instance last became a coordinator; monotonic milliseconds. */
  #coordinatorSince = Number.POSITIVE_INFINITY;
  #leavePromise: Promise<void> | undefined;

  constructor(options: EntryInstanceOptions) {
    this.#options = { clock: systemClock, ...options };
    const { metrics } = options;
    this.#pools = new ServerPools(() => metrics.countConnection());
    this.#network = this.#createNetwork();
    this.#store = new RelayedStore({
      direct: options.store,
      network: this.#network,
      relayPeers: () => this.#relayPeers(),
      logger: options.logger,
    });
    this.#documents = this.#createDocuments();
    this.#documentPush = new DocumentPush({
      network: this.#network,
      documents: this.#documents,
      logger: options.logger,
    });
    this.#reports = this.#createReports();
    this.#role = new CoordinationRole({
      isChosen: () =>
        this.#coordinators.some(({ instance }) =>
          instance === options.settings.instance
        ),
      onChange: (isCoordinator) => this.#applyRole(isCoordinator),
      now: this.#options.clock.monotonicNow,
    });
    this.#limits = this.#createLimits({ startsFull: false });
    this.#membership = this.#createMembership();
    this.#localPlacer = this.#createLocalPlacer();
    this.#client = this.#createClient();
    this.#remotePlacer = new RemotePlacer({
      client: this.#client,
      fallback: this.#localPlacer,
      blackboard: this.#blackboard,
      zone: options.settings.zone,
      now: this.#options.clock.monotonicNow,
    });
    this.#forwardedCalls = new ForwardedJobCalls({
      client: this.#client,
      now: this.#options.clock.monotonicNow,
      logger: options.logger,
    });
    this.#coordinator = this.#createCoordinator();
    this.#silentDependents = this.#createSilentDependents();
    this.#listener = this.#createListener();
    this.#followers = this.#createFollowers();
  }

  /** True while this instance coordinates others, or may do so. */
  get isCoordinator(): boolean {
    return this.#role.isCoordinator;
  }

  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    await this.#network.listen();
    this.#membership.start();
    for (const follower of this.#followers) follower.start();
    this.#client.start();
    this.#disposables.addInterval(
      () => this.#sweep(),
      sweepIntervalMilliseconds,
    );
    this.#disposables.addInterval(() => {
      this.#documents.sweep();
      this.#coordinator.expire();
      if (!this.#role.isCoordinator) this.#limits.refresh();
    }, expiryIntervalMilliseconds);
    addInstanceGauges(this.#options.metrics, {
      blackboard: this.#blackboard,
      batch: () => this.#batch,
      coordinator: this.#coordinator,
      listener: this.#listener,
      reports: this.#reports,
    });
    await this.#listener.listen();
    await this.#listenForReadiness();
    await this.#listenForMetrics();
    logger.info("the instance has started", {
      instance: settings.instance,
      zone: settings.zone,
      incarnation: this.#incarnation,
    });
  }

  /**
   * Graceful shutdown: leaves the fleet without aborting active requests, unless they outlast the
   * grace period. Resolves when the process may exit.
   */
  leave(): Promise<void> {
    this.#role.stop();
    this.#leavePromise ??= leaveFleet({
      blackboard: this.#blackboard,
      listener: this.#listener,
      batch: this.#batch,
      membership: this.#membership,
      graceMilliseconds: this.#options.settings.graceMilliseconds,
      now: this.#options.clock.monotonicNow,
      logger: this.#options.logger,
    }).finally(async () => {
      this.#reports.stop();
      this.#client.stop();
      for (const follower of this.#followers) follower.stop();
      this.#batch?.stop();
      this.#listener.close();
      await this.#pools.destroy();
      await this.#network.close();
      await this.#disposables.dispose();
    });
    return this.#leavePromise;
  }

  get #incarnation(): Incarnation {
    return this.#options.settings.incarnation;
  }

  #createNetwork(): TcpPeerNetwork {
    const { settings, logger, clock } = this.#options;
    return new TcpPeerNetwork({
      instance: settings.instance,
      incarnation: settings.incarnation,
      host: settings.peers.host,
      port: settings.peers.port,
      clock,
      logger,
    });
  }

  #createDocuments(): Documents {
    const { documentCodec, logger, clock } = this.#options;
    return new Documents({
      blackboard: this.#blackboard,
      codec: documentCodec,
      logger,
      clock,
      lastStoreFailureAt: () => this.#storeLastFailedAt,
      onChange: (kind) => {
        if (kind === "configuration") {
          this.#listener.applyLimits();
          this.#reports.announce();
        } else {
          const { upstreams, health } = this.#blackboard;
          this.#pools.retain((id) => upstreams.get(id) !== undefined);
          health.retain((id) => upstreams.get(id) !== undefined);
        }
      },
    });
  }

  /** Takes or gives up the role of a coordinator. */
  #applyRole(isCoordinator: boolean): void {
    const { logger, settings } = this.#options;
    logger.info(
      isCoordinator
        ? "the instance is now a coordinator"
        : "the instance is no longer a coordinator",
      {
        members: this.#members.size,
        coordinators: this.#coordinators.length,
      },
    );
    const startsFull = settings.isFirstStart && isCoordinator &&
      !this.#hasBeenCoordinator;
    this.#limits = this.#createLimits({ startsFull });
    if (isCoordinator) {
      this.#hasBeenCoordinator = true;
      this.#coordinatorSince = this.#options.clock.monotonicNow();
      this.#client.stop();
      this.#batch = this.#createBatchWork();
      this.#batch.start();
      this.#reports.start();
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

  /** How much of the fleet this instance hears; a dependent decides for itself alone. */
  #fleetView(): FleetView {
    return this.#role.isCoordinator
      ? this.#reports.view()
      : { members: Math.max(1, this.#members.size), heard: 1 };
  }

  #createLimits({ startsFull }: { startsFull: boolean }): FleetLimits {
    const { settings, clock } = this.#options;
    return new FleetLimits({
      blackboard: this.#blackboard,
      clock,
      isFirstStart: startsFull,
      window: {
        windowMilliseconds: settings.limitWindowMilliseconds,
        overage: settings.limitOverage,
      },
      // The slack is one for the whole fleet, so that dependents may not spend it one by one.
      slackRequests: this.#role.isCoordinator ? settings.limitSlackRequests : 0,
      view: () => this.#fleetView(),
    });
  }

  #createLocalPlacer(): LocalPlacer {
    return new LocalPlacer({
      blackboard: this.#blackboard,
      limiter: () => {
        if (!this.#role.isCoordinator) this.#limits.refresh();
        return this.#limits;
      },
      zone: this.#options.settings.zone,
      displaceBatch: (server) => void this.#displaceBatch(server),
      now: this.#options.clock.monotonicNow,
    });
  }

  #createClient(): CoordinatorClient {
    const { clock, logger } = this.#options;
    const { loads, health } = this.#blackboard;
    return new CoordinatorClient({
      network: this.#network,
      coordinators: () => this.#rankedCoordinators,
      state: () => ({
        loads: loads.ownLoads().map(({ server, online }) =>
          [server, online] as const
        ),
        faults: health.reportedFailureShares(clock.monotonicNow())
          .map(({ server, share }) => [server, share] as const),
        configurationPosition: this.#documents.position("configuration"),
        serversPosition: this.#documents.position("servers"),
        isStoreFailing: this.#isStoreFailing(),
      }),
      clock,
      logger,
    });
  }

  #createCoordinator(): CoordinatorService {
    const { clock } = this.#options;
    serveJobCalls({
      network: this.#network,
      blackboard: this.#blackboard,
      calls: () => this.#batch?.calls,
      now: clock.monotonicNow,
    });
    return new CoordinatorService({
      network: this.#network,
      blackboard: this.#blackboard,
      placer: this.#localPlacer,
      canDecide: () => this.#canDecide(),
      isStoreFailing: () => this.#isStoreFailing(),
      documentPush: this.#documentPush,
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
      network: this.#network,
      watched: () => {
        const chosen = new Set(
          this.#coordinators.map(({ instance }) => instance),
        );
        return this.#members.all().filter((member) =>
          !chosen.has(member.instance) &&
          rankCoordinators(member, this.#coordinators)[0] === settings.instance
        );
      },
      isAttached: (instance) => this.#coordinator.hasDependent(instance),
      remove: (member) => void this.#membership.remove(member),
      now: clock.monotonicNow,
      logger,
    });
  }

  #isStoreFailing(): boolean {
    return this.#store.isDirectFailing ||
      this.#followers.some((follower) => follower.isFailing);
  }

  #createBatchWork(): BatchWork {
    const { settings, callerCodec, jobCodec, logger, clock } = this.#options;
    return new BatchWork({
      settings,
      store: this.#store,
      blackboard: this.#blackboard,
      network: this.#network,
      pools: this.#pools,
      callerCodec,
      jobCodec,
      peerReports: () => this.#reports,
      countRun: (outcome) => this.#options.metrics.countItemRun(outcome),
      clock,
      logger,
    });
  }

  #createReports(): PeerReports {
    const { settings, clock, logger } = this.#options;
    const network = this.#network;
    network.handle(displaceMessage, ({ server }) => ({
      isDisplaced: this.#batch?.displace(server) ?? false,
    }));
    return new PeerReports({
      network,
      peers: () =>
        this.#coordinators.filter((member) =>
          member.instance !== settings.instance
        ),
      blackboard: this.#blackboard,
      documents: this.#documents,
      documentPush: this.#documentPush,
      limits: () => this.#limits,
      jobReport: () => this.#batch?.report() ?? noJobs,
      isStoreFailing: () => this.#isStoreFailing(),
      clock,
      logger,
    });
  }

  #createMembership(): Membership {
    const { settings, logger } = this.#options;
    return new Membership({
      store: this.#store,
      stream: memberStream as StreamName,
      self: {
        instance: settings.instance,
        incarnation: settings.incarnation,
        zone: settings.zone,
        capacity: settings.capacity,
        ...settings.peers,
      },
      members: this.#members,
      onChange: ({ isSettled }) => this.#applyMembers(isSettled),
      logger,
    });
  }

  #applyMembers(isSettled: boolean): void {
    const { settings } = this.#options;
    const others = this.#members.all().filter((member) =>
      member.instance !== settings.instance
    );
    this.#network.setPeers(
      new Map(others.map((member) => [member.instance, member])),
    );
    this.#coordinators = chooseCoordinators(
      this.#members.all(),
      settings.maximumCoordinators,
    );
    this.#rankedCoordinators = rankCoordinators(
      settings,
      this.#coordinators.filter((member) =>
        member.instance !== settings.instance
      ),
    );
    this.#role.handleChange({ isSettled });
  }

  #createListener(): CallerListener {
    const { settings, callerCodec, logger } = this.#options;
    const gateway = new Gateway({
      blackboard: this.#blackboard,
      codec: callerCodec,
      pools: this.#pools,
      placer: {
        place: (request) => this.#placer.place(request),
        releaseSlot: (server) => this.#placer.releaseSlot(server),
        findRoom: (request) => this.#placer.findRoom(request),
        makeRoom: (server) => this.#placer.makeRoom(server),
      },
      jobs: {
        submit: (...call) => this.#jobCalls.submit(...call),
        handle: (...call) => this.#jobCalls.handle(...call),
      },
      metrics: this.#options.metrics,
      logger,
    });
    return new CallerListener({
      ...settings.callers,
      limits: () => this.#blackboard.configuration?.configuration.limits,
      isLeaving: () => this.#blackboard.isLeaving,
      handle: (...args) => gateway.handle(...args),
      logger,
    });
  }

  get #placer(): Placer {
    return this.#role.isCoordinator ? this.#localPlacer : this.#remotePlacer;
  }

  get #jobCalls(): JobCalls {
    return this.#batch?.calls ?? this.#forwardedCalls;
  }

  /** Displaces one batch run at the server, preferably one of this instance, else of a peer. */
  async #displaceBatch(server: InstanceId): Promise<void> {
    if (this.#batch?.displace(server)) return;
    for (const peer of this.#blackboard.loads.peersWithBatchRuns(server)) {
      try {
        const reply = await this.#network.request(
          peer,
          displaceMessage,
          { server },
          { deadlineMilliseconds: displaceTimeoutMilliseconds },
        );
        if (reply.isDisplaced) return;
      } catch (error) {
        this.#options.logger.warn(
          "a peer did not respond to a displacement request",
          {
            peer,
            server,
            reason: String(error),
          },
        );
      }
    }
  }

  #createFollowers(): PartitionFollower[] {
    const { documentCodec, logger } = this.#options;
    const sources = [
      ["configuration", documentCodec.configurationSource],
      ["servers", documentCodec.serverSource],
    ] as const;
    return sources.map(([kind, target]) =>
      new PartitionFollower({
        store: this.#store,
        target,
        logger,
        onRecords: (records, position, isSnapshot) =>
          this.#documents.applyRecords(kind, records, position, { isSnapshot }),
        // Dependents also receive the documents from their coordinator.
        waitMilliseconds: () =>
          this.#role.isCoordinator
            ? followWaitMilliseconds
            : relaxedFollowWaitMilliseconds,
        onFailure: () =>
          this.#storeLastFailedAt = this.#options.clock.monotonicNow(),
      })
    );
  }

  /** Peers that can reach the store, those in the same zone first. */
  #relayPeers(): InstanceId[] {
    if (!this.#role.isCoordinator) return this.#client.storeRelays();
    const { zone } = this.#options.settings;
    const isSameZone = (instance: InstanceId) =>
      this.#members.get(instance)?.zone === zone;
    return this.#reports.recentReports()
      .filter(({ report }) => !report.isStoreFailing)
      .map(({ instance }) => instance)
      .sort((left, right) =>
        Number(isSameZone(right)) - Number(isSameZone(left))
      );
  }

  /**
   * Removes expired jobs and silent members. The owner of partition 0 removes silent coordinators,
   * and each coordinator its silent dependents, unless its own reads of the store are failing.
   */
  #sweep(): void {
    const { logger } = this.#options;
    if (!this.#batch) return;
    this.#batch.removeExpiredJobs();
    if (this.#followers.some((follower) => follower.isFailing)) return;
    this.#silentDependents.sweep();
    if (!this.#batch.ownsFirstPartition) return;
    const silentMembers = this.#reports.silentMembers(
      memberSilenceTimeoutMilliseconds,
    );
    for (const member of silentMembers) {
      logger.info("a silent coordinator is removed from the member list", {
        member: member.instance,
      });
      void this.#membership.remove(member);
    }
  }

  async #listenForReadiness(): Promise<void> {
    await this.#listenOn(this.#options.settings.readiness, (response) => {
      const isReady = this.#blackboard.isReady && this.#membership.isLoaded &&
        this.#role.isDecided;
      response.writeHead(isReady ? 200 : 503);
      response.end();
    });
  }

  /** Serves the metrics if the settings name an address for them. */
  async #listenForMetrics(): Promise<void> {
    const { metrics, settings, logger } = this.#options;
    if (!settings.metrics) return;
    await this.#listenOn(settings.metrics, (response) => {
      metrics.render().then(
        (text) => {
          response.writeHead(200, { "content-type": "text/plain" });
          response.end(text);
        },
        (error) => {
          logger.error("the metrics cannot be rendered", {
            reason: String(error),
          });
          response.writeHead(500).end();
        },
      );
    });
  }

  /** Passes every HTTP request at the address to `respond` until the instance is stopped. */
  async #listenOn(
    address: ListenAddress,
    respond: (response: ServerResponse) => void,
  ): Promise<void> {
    const server = createServer((request, response) => {
      request.resume();
      respond(response);
    });
    await listenOn(server, address);
    this.#disposables.add(() => {
      server.close();
      server.closeAllConnections();
    });
  }
}

const noJobs: JobReport = {
  ownedPartitions: [],
  ownerGeneration: 0,
  waitingItems: 0,
};
