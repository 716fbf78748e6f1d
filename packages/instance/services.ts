/**
 * Creates the services of one instance and connects them. Everything that must be closed at the
 * end is added to the store.
 */

import { FleetBatchService } from "../batch/fleet-batch-service.ts";
import { CapacityService } from "../capacity/capacity-service.ts";
import type { BatchCapacity, OnlineCapacity } from "../capacity/capacity.ts";
import { systemClock } from "../common/clock.ts";
import { mapAddress, mapBaseUrl, parseAddress } from "../common/dial-map.ts";
import type { DisposableStore } from "../common/disposable-store.ts";
import { hashNumber } from "../common/hashing.ts";
import type { Logger } from "../common/logging.ts";
import { SeededRandom } from "../common/random.ts";
import { ControlService } from "../control/control-service.ts";
import { ownerOf, partitionOwner } from "../control/owners.ts";
import { ServingMetrics } from "../http/metrics/serving-metrics.ts";
import { FleetLimiter } from "../limits/fleet-limiter.ts";
import type { Limiter } from "../limits/limiter.ts";
import { AppendBudget } from "../log/append-budget.ts";
import { defaultAppendsPerSecond } from "../log/constants.ts";
import { HttpLogClient } from "../log/log-client.ts";
import { NaiveCapacity } from "../measure/naive/naive-capacity.ts";
import { NaiveLimiter } from "../measure/naive/naive-limiter.ts";
import { NaiveRouter } from "../measure/naive/naive-router.ts";
import { TcpPeerNetwork } from "../protocol/peer-network.ts";
import { createBatchItemRunner } from "../routing/batch-item-runner.ts";
import { UpstreamRouter } from "../routing/online-router.ts";
import { UpstreamClient } from "../routing/upstream-client.ts";
import { UpstreamDirectory } from "../routing/upstream-directory.ts";
import { UpstreamHealth } from "../routing/upstream-health.ts";
import type {
  OnlineRouter,
  UpstreamCaller,
} from "../routing/upstream-caller.ts";
import type { Blackboard } from "./blackboard.ts";
import { createIncarnation } from "./incarnation.ts";
import type { InstanceSettings } from "./settings.ts";

export interface InstanceServices {
  readonly network: TcpPeerNetwork;
  readonly logClient: HttpLogClient;
  readonly control: ControlService;
  readonly limiter: Limiter;
  readonly capacity: BatchCapacity & OnlineCapacity;
  readonly directory: UpstreamDirectory;
  readonly caller: UpstreamCaller;
  readonly router: OnlineRouter;
  readonly batch: FleetBatchService;
  readonly metrics: ServingMetrics;
  /** Starts the services that need the instance to be a member; called once it has joined. */
  startServing(): Promise<void>;
}

export interface ServicesOptions {
  settings: InstanceSettings;
  blackboard: Blackboard;
  logger: Logger;
  store: DisposableStore;
  /** Shuts down the program gracefully. */
  requestStop: () => void;
}

/** Services on which all others depend. */
interface BaseServices {
  readonly network: TcpPeerNetwork;
  readonly control: ControlService;
  readonly client: HttpLogClient;
  readonly budget: AppendBudget;
}

/** Creates all services; the caller starts `control`, joins and then calls `startServing`. */
export async function createServices(
  options: ServicesOptions,
): Promise<InstanceServices> {
  const { blackboard, logger, store } = options;
  const baseServices = await createBaseServices(options);
  const { network, control, client, budget } = baseServices;
  const metrics = new ServingMetrics();
  const routing = createRouting(options, baseServices, metrics);
  const batch = new FleetBatchService({
    instance: blackboard.instance,
    incarnation: () => blackboard.incarnation,
    control,
    partitionOwner,
    logClient: client,
    appendBudget: budget,
    network,
    capacity: routing.capacity,
    runItem: createBatchItemRunner({
      caller: routing.caller,
      control,
      health: routing.health,
      onTiming: ({ call, firstByteMilliseconds, totalMilliseconds }) => {
        if (call.workspace === undefined) return;
        metrics.recordFirstToken(
          call.workspace,
          "batch",
          firstByteMilliseconds,
        );
        metrics.recordRequestDuration(
          call.workspace,
          "batch",
          totalMilliseconds,
        );
      },
    }),
    logger,
  });
  store.add(() => batch.dispose());
  return {
    network,
    logClient: client,
    control,
    batch,
    metrics,
    limiter: routing.limiter,
    capacity: routing.capacity,
    directory: routing.directory,
    caller: routing.caller,
    router: routing.router,
    startServing: async () => {
      await routing.directory.start();
      batch.start();
    },
  };
}

/**
 * The peer network must listen before the control service is created, which announces the
 * address of its listener.
 */
async function createBaseServices(
  { settings, blackboard, logger, store, requestStop }: ServicesOptions,
): Promise<BaseServices> {
  const network = new TcpPeerNetwork({
    instance: blackboard.instance,
    incarnation: blackboard.incarnation,
    host: settings.peerHost,
    port: settings.peerPort,
    dialAddress: ({ host, port }) =>
      parseAddress(mapAddress(settings.dialMap, `${host}:${port}`)),
    logger,
  });
  blackboard.peerPort = await network.listen();
  store.add(() => network.close());
  const client = new HttpLogClient({
    baseUrl: mapBaseUrl(settings.dialMap, settings.logUrl),
  });
  store.add(() => client.close());
  const budget = new AppendBudget({
    fleetAppendsPerSecond: () =>
      control.state.configuration.platform?.log.appendsPerSecond ??
        defaultAppendsPerSecond,
    countMembers: () => control.state.members.size,
  });
  const control = new ControlService({
    identity: {
      instance: blackboard.instance,
      zone: blackboard.zone,
      host: settings.peerHost,
      port: blackboard.peerPort,
      metricsUrl: `http://${settings.metricsHost}:${blackboard.metricsPort}`,
    },
    incarnation: blackboard.incarnation,
    client,
    network,
    budget,
    logger,
    renewIncarnation: () => {
      blackboard.incarnation = createIncarnation();
      network.setIncarnation(blackboard.incarnation);
      return blackboard.incarnation;
    },
    onReplaced: () => requestStop(),
  });
  store.add(() => control.stop());
  return { network, control, client, budget };
}

/** Creates the services that route requests; the naive policy replaces some of them. */
function createRouting(
  { settings, blackboard, logger, store }: ServicesOptions,
  { network, control }: BaseServices,
  metrics: ServingMetrics,
) {
  const directory = new UpstreamDirectory({
    control,
    instanceListUrl: settings.instanceListUrl,
    logger,
  });
  store.add(() => directory.stop());
  const health = new UpstreamHealth(systemClock);
  const caller = new UpstreamClient({
    findUpstream: (name) => directory.find(name),
    dialMap: settings.dialMap,
  });
  store.add(() => caller.close());
  if (settings.policy === "naive") {
    const capacity = new NaiveCapacity({ control });
    return {
      directory,
      health,
      caller,
      capacity,
      limiter: new NaiveLimiter({ control }),
      router: new NaiveRouter({ caller, upstreams: directory }),
    };
  }
  const capacity = new CapacityService({
    instance: blackboard.instance,
    control,
    network,
    ownerOf,
    logger,
    isAvailable: (name) => directory.isLive(name) && health.isAvailable(name),
  });
  capacity.start();
  store.add(() => capacity.dispose());
  const limiter = new FleetLimiter({
    instance: blackboard.instance,
    incarnation: () => blackboard.incarnation,
    control,
    network,
    logger,
  });
  limiter.start();
  store.add(() => limiter.dispose());
  const router = new UpstreamRouter({
    caller,
    upstreams: directory,
    capacity,
    health,
    random: new SeededRandom(hashNumber(blackboard.incarnation) | 0),
    onAttempt: ({ outcome, isRetry }) =>
      metrics.recordAttempt(outcome, isRetry),
    onFirstToken: ({ upstream, isStreamed, milliseconds }) => {
      if (isStreamed) capacity.recordFirstToken(upstream, milliseconds);
    },
  });
  return { directory, health, caller, capacity, limiter, router };
}
