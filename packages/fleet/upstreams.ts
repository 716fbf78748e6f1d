/**
 * The servers that requests may be sent to, by id and by service. A server whose entry disappears
 * around an outage of the store stays here for a grace period, since a live server writes its
 * entry again. A server that has stated in an answer that it is leaving counts as draining until it
 * has started again, whatever its entry says: the list may be old.
 */

import type { InstanceId, UpstreamName, ZoneId } from "../common/ids.ts";

export interface UpstreamServer {
  readonly id: InstanceId;
  readonly service: UpstreamName;
  readonly host: string;
  readonly port: number;
  readonly zone: ZoneId;
  /** Requests that the server runs at the same time. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Start time that the server states; distinguishes restarts of a server that keeps its id. */
  readonly startedAtMilliseconds: number;
  /**
   * How long the server stays cold, counted from when its entry was written; 0 if it is warm,
   * undefined if the entry does not say.
   */
  readonly coldMilliseconds?: number | undefined;
}

/** A server in one of its lifetimes. */
export type ServerLifetime = Pick<
  UpstreamServer,
  "id" | "startedAtMilliseconds"
>;

export class UpstreamTable {
  readonly #servers = new Map<InstanceId, UpstreamServer>();
  readonly #leaving = new Map<string, ServerLifetime>();
  #leavingChanges = 0;
  /** Undefined after a change, so that many changes at once cost one computation. */
  #byService: Map<UpstreamName, readonly UpstreamServer[]> | undefined;

  get(id: InstanceId): UpstreamServer | undefined {
    return this.#servers.get(id);
  }

  set(server: UpstreamServer): void {
    this.#servers.set(
      server.id,
      this.#leaving.has(keyOf(server))
        ? { ...server, state: "draining" }
        : server,
    );
    this.#byService = undefined;
  }

  delete(id: InstanceId): void {
    if (this.#servers.delete(id)) this.#byService = undefined;
  }

  /** Returns false if it is known already that the server leaves. */
  markLeaving(lifetime: ServerLifetime): boolean {
    const key = keyOf(lifetime);
    if (this.#leaving.has(key)) return false;
    if (this.#leaving.size >= maximumLeavingServers) this.#forgetLeft();
    const { id, startedAtMilliseconds } = lifetime;
    this.#leaving.set(key, { id, startedAtMilliseconds });
    this.#leavingChanges += 1;
    const server = this.#servers.get(id);
    if (server?.startedAtMilliseconds === startedAtMilliseconds) {
      this.set(server);
    }
    return true;
  }

  /** Servers in the list that have stated that they leave, in the lifetime that the list names. */
  leavingServers(): ServerLifetime[] {
    return [...this.#leaving.values()].filter((lifetime) =>
      this.#isListed(lifetime)
    );
  }

  /** Rises with each server that is found to leave. */
  get leavingChanges(): number {
    return this.#leavingChanges;
  }

  #isListed({ id, startedAtMilliseconds }: ServerLifetime): boolean {
    return this.#servers.get(id)?.startedAtMilliseconds ===
      startedAtMilliseconds;
  }

  #forgetLeft(): void {
    for (const [key, lifetime] of this.#leaving) {
      if (!this.#isListed(lifetime)) this.#leaving.delete(key);
    }
  }

  all(): Iterable<UpstreamServer> {
    return this.#servers.values();
  }

  get size(): number {
    return this.#servers.size;
  }

  /** Servers of the service that accept new requests. */
  readyServers(service: UpstreamName): readonly UpstreamServer[] {
    this.#byService ??= this.#groupByService();
    return this.#byService.get(service) ?? [];
  }

  #groupByService(): Map<UpstreamName, readonly UpstreamServer[]> {
    const groups = new Map<UpstreamName, UpstreamServer[]>();
    for (const server of this.#servers.values()) {
      if (server.state !== "ready") continue;
      const group = groups.get(server.service);
      if (group) group.push(server);
      else groups.set(server.service, [server]);
    }
    return new Map(
      [...groups].map(([service, group]) => [service, boundSlots(group)]),
    );
  }
}

/**
 * Bounds the slots of each server by a multiple of the median of its service. Servers are chosen by
 * their free slots, so that one entry with a wrong number would draw all requests of the service.
 */
function boundSlots(servers: readonly UpstreamServer[]): UpstreamServer[] {
  const sorted = servers.map(({ slots }) => slots)
    .sort((left, right) => left - right);
  const median = sorted[Math.floor((sorted.length - 1) / 2)]!;
  const maximumSlots = median * maximumSlotsOfMedian;
  return servers.map((server) =>
    server.slots <= maximumSlots ? server : { ...server, slots: maximumSlots }
  );
}

function keyOf({ id, startedAtMilliseconds }: ServerLifetime): string {
  return `${id}/${startedAtMilliseconds}`;
}

/** Above this number, servers that are no longer in the list are forgotten. */
const maximumLeavingServers = 1_024;
/** Servers of one service differ, but hardly by more than this factor. */
const maximumSlotsOfMedian = 4;
