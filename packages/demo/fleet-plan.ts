/**
 * The plan of a fleet: names, zones, ports, links and settings of all processes, computed before
 * anything starts.
 */

import type { Deployment } from "./deployments.ts";
import { callersName, linkName } from "./link-control.ts";
import { defaultUpstreamConcurrency } from "./constants.ts";

const host = "127.0.0.1";

export interface PlannedProcess {
  readonly id: string;
  /** Folder of the compiled program below dist. */
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
  /** Address for callers, with the delay to callers. */
  readonly url: string;
  /** Address for callers without the fault proxy. */
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

export type TakePort = () => number;

export function planFleet(
  deployment: Deployment,
  takePort: TakePort,
): FleetPlan {
  const upstreams = planUpstreams(deployment, takePort);
  const log = planService("log", "stand-ins/log-service", takePort, {
    ...deployment.logSettings,
  });
  const weightStore = planService(
    "weight-store",
    "stand-ins/weight-store",
    takePort,
    { models: deployment.models },
  );
  const instanceList = planService(
    "instance-list",
    "stand-ins/instance-list",
    takePort,
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
  const places = numbered(deployment.instances).map((number) => ({
    id: `instance-${number}`,
    zone: zoneOf(deployment, number),
    peerPort: takePort(),
  }));
  const links: PlannedLink[] = [];
  const addLink = (
    source: string,
    target: string,
    targetPort: number,
    delayMilliseconds: number,
  ) => {
    if (deployment.faultProxies === 0) return `${host}:${targetPort}`;
    const listenPort = takePort();
    const name = linkName(source, target);
    links.push({ name, listenPort, targetPort, delayMilliseconds });
    return `${host}:${listenPort}`;
  };
  const delayBetween = (zone: string, other: string) =>
    zone === other
      ? deployment.withinZoneMilliseconds
      : deployment.betweenZonesMilliseconds;
  const instances = places.map(({ id, zone, peerPort }): PlannedInstance => {
    const callerPort = takePort();
    const metricsPort = takePort();
    const dialMap: Record<string, string> = {};
    for (const peer of places) {
      if (peer.id === id) continue;
      const delay = delayBetween(zone, peer.zone);
      const dialed = addLink(id, peer.id, peer.peerPort, delay);
      dialMap[`${host}:${peer.peerPort}`] = dialed;
    }
    for (const upstream of upstreams) {
      const delay = delayBetween(zone, upstream.zone);
      const port = portOf(upstream.url);
      dialMap[upstream.address] = addLink(id, upstream.id, port, delay);
    }
    // The platform's own services are spread over the zones, so every call crosses zones.
    const crossing = deployment.betweenZonesMilliseconds;
    dialMap[`${host}:${portOf(log.url)}`] = addLink(
      id,
      log.id,
      portOf(log.url),
      crossing,
    );
    const listAddress = addLink(
      id,
      instanceList.id,
      portOf(instanceList.url),
      crossing,
    );
    const callerAddress = addLink(
      callersName,
      id,
      callerPort,
      deployment.toCallersMilliseconds,
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
  });
  const count = deployment.faultProxies;
  const faultProxies = numbered(count).map((number) =>
    planService(
      `fault-proxy-${number}`,
      "stand-ins/fault-proxy",
      takePort,
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
  takePort: TakePort,
): PlannedUpstream[] {
  const engines = numbered(deployment.engines).map((number) => {
    // Every second engine ignores fencing tokens, as some real engines do.
    const checksFencing = number % 2 === 1;
    return planUpstream(deployment, takePort, "engine", number, {
      models: deployment.models,
      checksFencing,
      ...deployment.engineSettings,
    });
  });
  const plainServices = numbered(deployment.plainServices).map((number) =>
    planUpstream(deployment, takePort, "plain", number, {
      ...deployment.plainServiceSettings,
    })
  );
  return [...engines, ...plainServices];
}

function planUpstream(
  deployment: Deployment,
  takePort: TakePort,
  kind: "engine" | "plain",
  number: number,
  settings: Record<string, unknown>,
): PlannedUpstream {
  const id = `${kind}-${number}`;
  const port = takePort();
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
  takePort: TakePort,
  settings: Record<string, unknown>,
): PlannedService {
  const port = takePort();
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

function numbered(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
