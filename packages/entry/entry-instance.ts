/**
 * Creates and connects the components of an entry instance: listeners, followers of the store,
 * the peer network and the controllers, which share one blackboard. Everything that depends on
 * a platform is passed in through the options.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import type { ClientId, Incarnation, StreamName } from "../common/ids.ts";
import { listenOn } from "../common/listen.ts";
import type { Logger } from "../common/logging.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import {
  type DocumentCodec,
  type DocumentKind,
  Documents,
  type StoreFailure,
} from "../fleet/documents.ts";
import { ServerStatements } from "../fleet/server-statements.ts";
import { MemberTable } from "../fleet/peers/members.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import { CallerListener } from "../gateway/caller-listener.ts";
import { initialDurationMilliseconds } from "../gateway/constants.ts";
import { Gateway } from "../gateway/gateway.ts";
import { ServerPools } from "../gateway/server-pools.ts";
import type { JobCodec } from "../jobs/job-codec.ts";
import { clientOfWorkspace } from "../overload/client-id.ts";
import { maximumOperatorConnections } from "../overload/constants.ts";
import { OverloadControl } from "../overload/overload-control.ts";
import type { ReceivedResponse } from "../overload/received-response.ts";
import { limitsOf, unknownMachineLimits } from "../overload/resource-limits.ts";
import { TcpPeerNetwork } from "../protocol/peer-network.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { relaxedFollowWaitMilliseconds } from "../store/constants.ts";
import {
  type ConnectionTimings,
  deriveConnectionTimings,
} from "../transport/connection-timings.ts";
import { RelayedStore } from "../store/relayed-store.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import {
  expiryIntervalMilliseconds,
  memberStream,
  sweepIntervalMilliseconds,
} from "./constants.ts";
import { Coordination } from "./coordination.ts";
import type { EntryMetrics } from "./entry-metrics.ts";
import type { EntrySettings, ListenAddress } from "./entry-settings.ts";
import { addInstanceGauges } from "./instance-gauges.ts";
import { reportSpeedChange } from "./speed-changes.ts";
import { leaveFleet } from "./leaving.ts";
import { handleQuarantineRequest } from "./quarantine-endpoint.ts";
import { Membership } from "./membership.ts";

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
  readonly #blackboard: Blackboard;
  readonly #members = new MemberTable();
  readonly #timings: ConnectionTimings;
  readonly #pools: ServerPools;
  readonly #overload: OverloadControl;
  readonly #network: TcpPeerNetwork;
  readonly #documents: Documents;
  readonly #statements: ServerStatements;
  readonly #coordination: Coordination;
  readonly #membership: Membership;
  readonly #gateway: Gateway;
  readonly #listener: CallerListener;
  readonly #followers: PartitionFollower[];
  readonly #configurationFollower: PartitionFollower;
  readonly #store: RelayedStore;
  /** The last failure to read the configuration or the server list. */
  #lastStoreFailure: StoreFailure | undefined;
  #leavePromise: Promise<void> | undefined;

  constructor(options: EntryInstanceOptions) {
    this.#options = { clock: systemClock, ...options };
    const { metrics, settings } = options;
    this.#blackboard = new Blackboard({
      initialDurationMilliseconds,
      coldBounds: settings.coldBounds,
      regionByZone: settings.regionByZone,
      learnsServerSpeeds: settings.learnsServerSpeeds,
    });
    this.#timings = deriveConnectionTimings(settings.reactionMilliseconds);
    this.#pools = new ServerPools({
      onConnect: () => metrics.countConnection(),
      onRenewal: () => metrics.countConnectionRenewal("server"),
      timings: this.#timings,
    });
    this.#overload = this.#createOverloadControl();
    this.#network = this.#createNetwork();
    this.#store = new RelayedStore({
      direct: options.store,
      network: this.#network,
      relayPeers: (allowedRegions) =>
        this.#coordination.relayPeers(allowedRegions),
      logger: options.logger,
    });
    this.#documents = this.#createDocuments();
    this.#statements = new ServerStatements({
      blackboard: this.#blackboard,
      onChange: () => this.#coordination.announce(),
      now: this.#options.clock.monotonicNow,
      countMalformed: () => metrics.countMalformedStatement(),
      logger: options.logger,
    });
    this.#blackboard.speeds.onChange((change) =>
      reportSpeedChange(change, { metrics, logger: options.logger })
    );
    this.#coordination = this.#createCoordination();
    this.#membership = this.#createMembership();
    this.#gateway = this.#createGateway();
    this.#listener = this.#createListener();
    this.#configurationFollower = this.#createFollower("configuration");
    this.#followers = [
      this.#configurationFollower,
      this.#createFollower("servers"),
    ];
  }

  /** True while this instance coordinates others, or may do so. */
  get isCoordinator(): boolean {
    return this.#coordination.isCoordinator;
  }

  /** Called for each call to the store. */
  receiveResponse(): ReceivedResponse {
    return this.#overload.receiveResponse();
  }

  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    this.#overload.start();
    await this.#network.listen();
    this.#membership.start();
    for (const follower of this.#followers) follower.start();
    this.#coordination.start();
    this.#disposables.addInterval(
      () =>
        this.#coordination.sweep({
          isStoreFailing: this.#followers.some((follower) =>
            follower.isFailing
          ),
        }),
      sweepIntervalMilliseconds,
    );
    this.#disposables.addInterval(() => {
      this.#documents.sweep();
      this.#coordination.expire();
    }, expiryIntervalMilliseconds);
    addInstanceGauges(this.#options.metrics, {
      blackboard: this.#blackboard,
      coordination: this.#coordination,
      listener: this.#listener,
      overload: this.#overload,
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
    this.#coordination.keepRole();
    this.#leavePromise ??= leaveFleet({
      blackboard: this.#blackboard,
      gateway: this.#gateway,
      listener: this.#listener,
      batch: this.#coordination.batch,
      membership: this.#membership,
      graceMilliseconds: this.#options.settings.graceMilliseconds,
      now: this.#options.clock.monotonicNow,
      logger: this.#options.logger,
    }).finally(async () => {
      this.#coordination.stop();
      for (const follower of this.#followers) follower.stop();
      this.#listener.close();
      await this.#pools.destroy();
      await this.#network.close();
      await this.#overload.dispose();
      await this.#disposables.dispose();
    });
    return this.#leavePromise;
  }

  /**
   * Makes all later requests to servers and peers use new connections. Called when the connections to
   * the store have gone silent, since the others may have as well and show it only to a request.
   */
  renewConnections(): void {
    this.#pools.renew();
    this.#network.renewIdleConnections();
  }

  get #incarnation(): Incarnation {
    return this.#options.settings.incarnation;
  }

  #createOverloadControl(): OverloadControl {
    const { settings, metrics, logger } = this.#options;
    return new OverloadControl({
      limits: settings.machine
        ? limitsOf(settings.machine)
        : unknownMachineLimits,
      metrics,
      logger,
    });
  }

  #createNetwork(): TcpPeerNetwork {
    const { settings, logger, clock } = this.#options;
    return new TcpPeerNetwork({
      instance: settings.instance,
      incarnation: settings.incarnation,
      host: settings.peers.host,
      port: settings.peers.port,
      heldBytes: this.#overload.heldBytes,
      maximumConnections: this.#overload.limits.peerConnections,
      timings: this.#timings,
      clock,
      logger,
    });
  }

  #createDocuments(): Documents {
    const { documentCodec, logger, clock, metrics } = this.#options;
    return new Documents({
      blackboard: this.#blackboard,
      codec: documentCodec,
      logger,
      clock,
      lastStoreFailure: () => this.#lastStoreFailure,
      countMalformedEntry: () => metrics.countMalformedEntry(),
      onChange: (kind) => {
        if (kind === "configuration") {
          this.#listener.applyLimits();
          this.#coordination.announce();
          this.#coordination.batch?.handleConfiguration();
        } else {
          const { upstreams, health, serverLimits, coldServers, speeds } =
            this.#blackboard;
          this.#pools.retain((id) => upstreams.get(id) !== undefined);
          health.retain((id) => upstreams.get(id) !== undefined);
          speeds.retain((id) => upstreams.get(id) !== undefined);
          serverLimits.retain((id) => upstreams.get(id) !== undefined);
          coldServers.retain((id) => upstreams.get(id) !== undefined);
          this.#coordination.crashControl.detector.retain((id) =>
            upstreams.get(id) !== undefined
          );
        }
        this.#gateway.handleDocuments();
      },
    });
  }

  #createCoordination(): Coordination {
    const { settings, callerCodec, jobCodec, metrics, clock, logger } =
      this.#options;
    return new Coordination({
      settings,
      blackboard: this.#blackboard,
      network: this.#network,
      heldBytes: this.#overload.heldBytes,
      members: this.#members,
      documents: this.#documents,
      store: this.#store,
      statements: this.#statements,
      pools: this.#pools,
      callerCodec,
      jobCodec,
      isStoreFailing: () =>
        this.#store.isDirectFailing ||
        this.#followers.some((follower) => follower.isFailing),
      configurationReadAt: () => this.#configurationFollower.completeUntil,
      onCoordinator: () => {
        for (const follower of this.#followers) follower.readAgain();
      },
      removeMember: (member) => void this.#membership.remove(member),
      onVerdictsLoaded: () => this.#gateway.handleDocuments(),
      countServerCrash: () => metrics.countServerCrash(),
      countRun: (outcome) => metrics.countItemRun(outcome),
      countRemovals: (...removed) => metrics.countRemovals(...removed),
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
      onChange: (change) => {
        const others = this.#members.all().filter((member) =>
          member.instance !== settings.instance
        );
        this.#network.setPeers(
          new Map(others.map((member) => [member.instance, member])),
        );
        this.#coordination.applyMembers(change);
      },
      logger,
    });
  }

  #createGateway(): Gateway {
    const { callerCodec, logger } = this.#options;
    return new Gateway({
      blackboard: this.#blackboard,
      codec: callerCodec,
      pools: this.#pools,
      placer: this.#coordination.placer,
      quarantine: this.#coordination.crashControl.quarantine,
      crashDetector: this.#coordination.crashControl.detector,
      statements: this.#statements,
      heldBytes: this.#overload.heldBytes,
      jobs: this.#coordination.jobCalls,
      metrics: this.#options.metrics,
      logger,
    });
  }

  #createListener(): CallerListener {
    const { settings, logger } = this.#options;
    return new CallerListener({
      ...settings.callers,
      limits: () => this.#blackboard.configuration?.configuration.limits,
      isLeaving: () => this.#blackboard.isLeaving,
      handle: (...args) => this.#gateway.handle(...args),
      overload: this.#overload,
      findClient: (message) => this.#findClient(message),
      logger,
    });
  }

  #findClient(message: IncomingMessage): ClientId | undefined {
    const key = this.#options.callerCodec.decodeApiKey(message);
    if (key === undefined) return undefined;
    const { configuration } = this.#blackboard;
    const workspace = configuration?.workspaceOfKey(key);
    return workspace && clientOfWorkspace(workspace.id);
  }

  #createFollower(kind: DocumentKind): PartitionFollower {
    const { documentCodec, logger } = this.#options;
    return new PartitionFollower({
      store: this.#store,
      target: kind === "configuration"
        ? documentCodec.configurationSource
        : documentCodec.serverSource,
      logger,
      onRecords: (records, position, isSnapshot) =>
        this.#documents.applyRecords(kind, records, position, { isSnapshot }),
      // Dependents also receive the documents from their coordinator. An instance that does not know
      // its role yet may be the only one that reads them.
      waitMilliseconds: () =>
        this.#coordination.isDecided && !this.#coordination.isCoordinator
          ? relaxedFollowWaitMilliseconds
          : this.#timings.pollWaitMilliseconds,
      onFailure: (beganAt) => {
        const lastAt = this.#options.clock.monotonicNow();
        this.#lastStoreFailure = { beganAt, lastAt };
      },
    });
  }

  async #listenForReadiness(): Promise<void> {
    await this.#listenOn(this.#options.settings.readiness, (_, response) => {
      const isReady = this.#blackboard.isReady && this.#membership.isLoaded &&
        this.#coordination.isDecided;
      response.writeHead(isReady ? 200 : 503);
      response.end();
    });
  }

  /** Serves the metrics and the quarantine if the settings name an address for them. */
  async #listenForMetrics(): Promise<void> {
    const { metrics, settings, logger } = this.#options;
    if (!settings.metrics) return;
    const { quarantine } = this.#coordination.crashControl;
    await this.#listenOn(settings.metrics, (request, response) => {
      const isHandled = handleQuarantineRequest(request, response, {
        quarantine,
        logger,
      });
      if (isHandled) return;
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
    respond: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<void> {
    const server = createServer((request, response) => {
      request.resume();
      try {
        respond(request, response);
      } catch (error) {
        this.#options.logger.error("an operator's request failed", {
          path: request.url ?? null,
          reason: String(error),
        });
        if (!response.headersSent) response.writeHead(500);
        response.end();
      }
    });
    server.maxConnections = maximumOperatorConnections;
    await listenOn(server, address);
    this.#disposables.add(() => {
      server.close();
      server.closeAllConnections();
    });
  }
}
