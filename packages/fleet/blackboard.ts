/**
 * The blackboard of an instance: its current knowledge, shared by all controllers. Controllers
 * write what they learn and read what others have written, instead of calling each other.
 */

import { ServerHealth } from "../gateway/server-health.ts";
import { ColdServers } from "./cold/cold-servers.ts";
import type { ColdBounds } from "./cold/cold-rate.ts";
import type { ConfigurationIndex } from "./configuration.ts";
import { EvacuatedZones } from "./evacuation/evacuated-zones.ts";
import { ServerLimits } from "./limits/server-limits.ts";
import { LoadTable } from "./load-table.ts";
import type { RegionByZone } from "./regions.ts";
import { SendRules } from "./send-rules.ts";
import { ServerSpeeds } from "./speed/server-speeds.ts";
import { UpstreamTable } from "./upstreams.ts";

export class Blackboard {
  readonly upstreams = new UpstreamTable();
  readonly loads = new LoadTable();
  readonly health = new ServerHealth();
  readonly serverLimits = new ServerLimits();
  readonly evacuatedZones = new EvacuatedZones();
  readonly coldServers: ColdServers;
  readonly sendRules: SendRules;
  readonly regionByZone: RegionByZone;
  readonly learnsServerSpeeds: boolean;
  readonly speeds = new ServerSpeeds({
    requestsAt: (server, now) => {
      const { online, batch } = this.loads.estimate(server, now);
      return online + batch;
    },
    slotsOf: (server) => this.upstreams.get(server)?.slots ?? 0,
    isMeasured: () => this.learnsServerSpeeds,
  });
  /** Undefined until a configuration is known. */
  configuration: ConfigurationIndex | undefined;
  /** The list of servers has been read at least once. */
  hasServerList = false;
  /** The verdicts on prompt parts have been read at least once. */
  hasVerdicts = false;
  /** The instance has been told to stop. */
  isLeaving = false;
  /** When all requests end since the instance stops; monotonic milliseconds. */
  servesUntil = Number.POSITIVE_INFINITY;
  /** Moving average of the time that an online request occupies a slot. */
  requestDurationMilliseconds: number;

  constructor(
    {
      initialDurationMilliseconds,
      coldBounds,
      regionByZone = new Map(),
      learnsServerSpeeds = false,
    }: {
      readonly initialDurationMilliseconds: number;
      readonly learnsServerSpeeds?: boolean | undefined;
      readonly coldBounds?: ColdBounds | undefined;
      readonly regionByZone?: RegionByZone | undefined;
    },
  ) {
    this.requestDurationMilliseconds = initialDurationMilliseconds;
    this.coldServers = new ColdServers({
      ...(coldBounds ? { bounds: coldBounds } : {}),
      policyOf: (service) => this.configuration?.service(service)?.cold,
    });
    this.regionByZone = regionByZone;
    this.learnsServerSpeeds = learnsServerSpeeds;
    this.sendRules = new SendRules(this);
  }

  /** Everything that decides on requests is known. */
  get hasRequestDocuments(): boolean {
    return this.configuration !== undefined && this.hasServerList &&
      this.hasVerdicts;
  }

  /** Whether new connections may be sent to this instance. */
  get isReady(): boolean {
    return !this.isLeaving && this.hasRequestDocuments;
  }
}
