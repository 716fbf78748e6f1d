/**
 * Decides whether anything may be sent to a server: the one place that first tries, retries, moves,
 * resumptions, trials and runs of batch items ask. A rule that stands, such as an evacuated zone, is
 * checked once more directly before the send; a budget is checked and counted where the server is
 * chosen.
 */

import type { InstanceId, UpstreamName } from "../common/ids.ts";
import type { ColdServers } from "./cold/cold-servers.ts";
import type { RouteRule } from "./configuration.ts";
import type { EvacuatedZones } from "./evacuation/evacuated-zones.ts";
import type { SendBudget, ServerLimits } from "./limits/server-limits.ts";
import { isAllowedZone, type RegionByZone } from "./regions.ts";
import type { UpstreamServer, UpstreamTable } from "./upstreams.ts";

export type StandingRefusal = "leaving" | "evacuated" | "other_region";

/** What the permission depends on besides the server. */
export interface SendPurpose {
  readonly isBatch?: boolean;
  /** Regions in which the request may be handled; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

export type SendPermission =
  | {
    readonly kind: "allowed";
    /** Slots of the server that may be used. */
    readonly slots: number;
    /** Undefined if the number of sends has no limit. */
    readonly sendBudget: SendBudget | undefined;
  }
  | {
    readonly kind: "refused";
    readonly reason: StandingRefusal | "cold";
    /** Time after which a send may be allowed; undefined if that is unknown. */
    readonly waitMilliseconds: number | undefined;
  };

export interface SendRulesOptions {
  readonly upstreams: UpstreamTable;
  readonly serverLimits: ServerLimits;
  readonly coldServers: ColdServers;
  readonly evacuatedZones: EvacuatedZones;
  readonly regionByZone: RegionByZone;
}

export class SendRules {
  readonly #options: SendRulesOptions;
  readonly #unlimitedPermissions = new Map<number, SendPermission>();

  constructor(options: SendRulesOptions) {
    this.#options = options;
  }

  /** Why nothing at all may be sent to the server; undefined if something may. */
  standingRefusal(
    { state, zone }: Pick<UpstreamServer, "state" | "zone">,
    { allowedRegions }: SendPurpose = {},
  ): StandingRefusal | undefined {
    if (state !== "ready") return "leaving";
    const { regionByZone } = this.#options;
    if (!isAllowedZone(zone, allowedRegions, regionByZone)) {
      return "other_region";
    }
    return this.#options.evacuatedZones.has(zone) ? "evacuated" : undefined;
  }

  /**
   * Whether this instance may choose the server for a request now. Items of batch jobs leave cold
   * servers to online requests: they have time, and are sent only after their bodies have been read.
   */
  check(
    server: UpstreamServer,
    now: number,
    purpose: SendPurpose = {},
  ): SendPermission {
    const reason = this.standingRefusal(server, purpose);
    if (reason) return { kind: "refused", reason, waitMilliseconds: undefined };
    const { serverLimits, coldServers } = this.#options;
    const stated = serverLimits.budgetOf(server, now);
    const cold = coldServers.allowanceFor(server, now);
    if (!cold) {
      const { slots } = server;
      return stated
        ? { kind: "allowed", slots, sendBudget: stated }
        : this.#unlimitedPermission(slots);
    }
    if (cold.kind === "refused" || (purpose.isBatch && cold.sendBudget)) {
      const { waitMilliseconds } = cold.kind === "refused"
        ? cold
        : { waitMilliseconds: undefined };
      return { kind: "refused", reason: "cold", waitMilliseconds };
    }
    const sendBudget = scarcerBudget(stated, cold.sendBudget);
    return { kind: "allowed", slots: cold.slots, sendBudget };
  }

  /** One object for each number of slots: most checks of most servers end with it. */
  #unlimitedPermission(slots: number): SendPermission {
    let permission = this.#unlimitedPermissions.get(slots);
    if (!permission) {
      permission = { kind: "allowed", slots, sendBudget: undefined };
      this.#unlimitedPermissions.set(slots, permission);
    }
    return permission;
  }

  /** Counts a request that is about to be sent; each send counts, whatever its kind. */
  take(server: UpstreamServer, now: number): void {
    this.#options.serverLimits.take(server, now);
    this.#options.coldServers.take(server, now);
  }

  /**
   * Time after which a server of the service that is not excluded may take a request, where none may
   * now; undefined if that is unknown.
   */
  timeUntilRoom(
    service: UpstreamName,
    now: number,
    { excluded, ...purpose }: SendPurpose & {
      readonly excluded?: ReadonlySet<InstanceId>;
    } = {},
  ): number | undefined {
    let shortest = Number.POSITIVE_INFINITY;
    for (const server of this.#options.upstreams.readyServers(service)) {
      if (excluded?.has(server.id)) continue;
      const permission = this.check(server, now, purpose);
      if (permission.kind === "allowed") return 0;
      const { waitMilliseconds = Number.POSITIVE_INFINITY } = permission;
      shortest = Math.min(shortest, waitMilliseconds);
    }
    return Number.isFinite(shortest) ? shortest : undefined;
  }
}

/** Whether a listed server of any service of the route may ever take its requests. */
export function hasAllowedServer(
  { targets }: Pick<RouteRule, "targets">,
  allowedRegions: readonly string[] | undefined,
  { upstreams, regionByZone }: Pick<
    SendRulesOptions,
    "upstreams" | "regionByZone"
  >,
): boolean {
  if (!allowedRegions) return true;
  for (const { service, zone } of upstreams.all()) {
    if (!isAllowedZone(zone, allowedRegions, regionByZone)) continue;
    if (targets.some((target) => target.service === service)) return true;
  }
  return false;
}

/** The targets of the route with a server in an allowed region; all of them if there is none. */
export function allowedTargets(
  { targets }: Pick<RouteRule, "targets">,
  allowedRegions: readonly string[] | undefined,
  servers: Pick<SendRulesOptions, "upstreams" | "regionByZone">,
): Pick<RouteRule, "targets"> {
  if (!allowedRegions) return { targets };
  const allowed = targets.filter((target) =>
    hasAllowedServer({ targets: [target] }, allowedRegions, servers)
  );
  return { targets: allowed.length > 0 ? allowed : targets };
}

/** The budget that allows fewer sends; both bind. */
function scarcerBudget(
  left: SendBudget | undefined,
  right: SendBudget | undefined,
): SendBudget | undefined {
  if (!left || !right) return left ?? right;
  return left.allowance <= right.allowance ? left : right;
}
