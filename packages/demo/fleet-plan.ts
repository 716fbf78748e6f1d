/**
 * Plans a fleet: computes the names, zones, ports, links and settings of all processes before any
 * of them starts.
 */

import type { Deployment } from "./deployments.ts";
import { callersSource, linkName } from "./link-control.ts";
import { defaultUpstreamConcurrency } from "./constants.ts";

const host = "127.0.0.1";

export interface PlannedProcess {
  readonly id: string;
  /** Folder of the compiled program, relative to dist. */
  readonly program: string;
  readonly settings: Readonly<Record<string, unknown>>;
  readonly readyUrl: string;
}

export interface PlannedUpstream extends PlannedProcess {
  readonly kind: "engine" | "plain";
  readonly zone: string;
  readonly address: string;
  readonly url: string;
  readonly models: readonly string[];
  readonly concurrency: number;
  readonly checksFencing: boolean;
}

export interface PlannedInstance extends PlannedProcess {
  readonly zone: string;
  /** Address for callers, through the fault proxy that adds the caller delay. */
  readonly url: string;
  /** Address of the instance's own listener for callers, without the fault proxy. */
  readonly directUrl: string;
  readonly metricsUrl: string;
  readonly peerAddress: string;
}

export interface PlannedService extends PlannedProcess {
  readonly url: string;
}

export interface FleetPlan {
  readonly deployment: Deployment;
  readonly log: PlannedService;
  readonly instanceList: PlannedService;
  readonly weightStore: PlannedService;
  readonly upstreams: readonly PlannedUpstream[];
  readonly instances: readonly PlannedInstance[];
  readonly faultProxies: readonly PlannedService[];
}

interface PlannedLink {
  readonly name: string;
  readonly listenPort: number;
  readonly targetPort: number;
  readonly delayMilliseconds: number;
}

export type PortAllocator = () => number;

export function planFleet(
  deployment: Deployment,
  allocatePort: PortAllocator,
): FleetPlan {
  const upstreams = planUpstreams(deployment, allocatePort);
  const log = planService("log", "stand-ins/log-service", allocatePort, {
    ...deployment.logSettings,
  });
  const weightStore = planService(
    "weight-store",
    "stand-ins/weight-store",
    allocatePort,
    { models: deployment.models },
  );
  const instanceList = planService(
    "instance-list",
    "stand-ins/instance-list",
    allocatePort,
    {
      ...deployment.instanceListSettings,
      instances: upstreams.map(({ id, address, zone }) => ({
        name: id,
        address,
        zone,
        state: "live",
      })),
    },
  );
  const instanceSlots = numbersUpTo(deployment.instances).map((number) => ({
    id: `instance-${number}`,
    zone: zoneOf(deployment, number),
    peerPort: allocatePort(),
  }));
  const links: PlannedLink[] = [];
  const addLink = (
    source: string,
    target: string,
    targetPort: number,
    delayMilliseconds: number,
  ) => {
    if (deployment.faultProxies === 0) return `${host}:${targetPort}`;
    const listenPort = allocatePort();
    const name = linkName(source, target);
    links.push({ name, listenPort, targetPort, delayMilliseconds });
    return `${host}:${listenPort}`;
  };
  const delayBetween = (zone: string, other: string) =>
    zone === other
      ? deployment.sameZoneDelayMilliseconds
      : deployment.crossZoneDelayMilliseconds;
  const instances = instanceSlots.map(
    ({ id, zone, peerPort }): PlannedInstance => {
      const callerPort = allocatePort();
      const metricsPort = allocatePort();
      const dialMap: Record<string, string> = {};
      for (const peer of instanceSlots) {
        if (peer.id === id) continue;
        const delay = delayBetween(zone, peer.zone);
        const linkAddress = addLink(id, peer.id, peer.peerPort, delay);
        dialMap[`${host}:${peer.peerPort}`] = linkAddress;
      }
      for (const upstream of upstreams) {
        const delay = delayBetween(zone, upstream.zone);
        const port = portOf(upstream.url);
        dialMap[upstream.address] = addLink(id, upstream.id, port, delay);
      }
      // The platform's own services span all zones, so every call to them is delayed as cross-zone.
      const crossZoneDelay = deployment.crossZoneDelayMilliseconds;
      dialMap[`${host}:${portOf(log.url)}`] = addLink(
        id,
        log.id,
        portOf(log.url),
        crossZoneDelay,
      );
      const listAddress = addLink(
        id,
        instanceList.id,
        portOf(instanceList.url),
        crossZoneDelay,
      );
      const callerAddress = addLink(
        callersSource,
        id,
        callerPort,
        deployment.callerDelayMilliseconds,
      );
      const metricsUrl = `http://${host}:${metricsPort}`;
      return {
        id,
        zone,
        program: "instance",
        url: `http://${callerAddress}`,
        directUrl: `http://${host}:${callerPort}`,
        metricsUrl,
        peerAddress: `${host}:${peerPort}`,
        readyUrl: `${metricsUrl}/readyz`,
        settings: {
          instance: id,
          zone,
          callerHost: host,
          callerPort,
          metricsHost: host,
          metricsPort,
          peerHost: host,
          peerPort,
          logUrl: log.url,
          instanceListUrl: `http://${listAddress}`,
          dialMap,
          ...deployment.instanceSettings,
        },
      };
    },
  );
  const count = deployment.faultProxies;
  const faultProxies = numbersUpTo(count).map((number) =>
    planService(
      `fault-proxy-${number}`,
      "stand-ins/fault-proxy",
      allocatePort,
      { links: links.filter((_, index) => index % count === number - 1) },
    )
  );
  return {
    deployment,
    log,
    instanceList,
    weightStore,
    upstreams: upstreams.map((upstream) =>
      upstream.kind === "plain" ? upstream : {
        ...upstream,
        settings: { ...upstream.settings, weightStoreUrl: weightStore.url },
      }
    ),
    instances,
    faultProxies,
  };
}

function planUpstreams(
  deployment: Deployment,
  allocatePort: PortAllocator,
): PlannedUpstream[] {
  const engines = numbersUpTo(deployment.engines).map((number) => {
    // Every second engine ignores fencing tokens, as some real engines do.
    const checksFencing = number % 2 === 1;
    return planUpstream(deployment, allocatePort, "engine", number, {
      models: deployment.models,
      checksFencing,
      ...deployment.engineSettings,
    });
  });
  const plainServices = numbersUpTo(deployment.plainServices).map((number) =>
    planUpstream(deployment, allocatePort, "plain", number, {
      ...deployment.plainServiceSettings,
    })
  );
  return [...engines, ...plainServices];
}

function planUpstream(
  deployment: Deployment,
  allocatePort: PortAllocator,
  kind: "engine" | "plain",
  number: number,
  settings: Record<string, unknown>,
): PlannedUpstream {
  const id = `${kind}-${number}`;
  const port = allocatePort();
  const url = `http://${host}:${port}`;
  const isEngine = kind === "engine";
  return {
    id,
    kind,
    zone: zoneOf(deployment, number),
    program: isEngine ? "stand-ins/engine" : "stand-ins/plain-service",
    address: `${host}:${port}`,
    url,
    readyUrl: `${url}/healthz`,
    models: isEngine ? deployment.models : [],
    concurrency: Number(settings["concurrency"] ?? defaultUpstreamConcurrency),
    checksFencing: settings["checksFencing"] === true,
    settings: { name: id, host, port, ...settings },
  };
}

function planService(
  id: string,
  program: string,
  allocatePort: PortAllocator,
  settings: Record<string, unknown>,
): PlannedService {
  const port = allocatePort();
  const url = `http://${host}:${port}`;
  return {
    id,
    program,
    url,
    readyUrl: `${url}/healthz`,
    settings: { host, port, ...settings },
  };
}

function zoneOf(deployment: Deployment, number: number): string {
  return `zone-${(number - 1) % deployment.zones + 1}`;
}

function portOf(url: string): number {
  return Number(new URL(url).port);
}

function numbersUpTo(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
