/**
 * The servers that requests may be sent to, by id and by service. A server whose entry disappears
 * around an outage of the store stays here for a grace period, since a live server writes its
 * entry again.
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
}

export class UpstreamTable {
  readonly #servers = new Map<InstanceId, UpstreamServer>();
  #byService = new Map<UpstreamName, UpstreamServer[]>();

  get(id: InstanceId): UpstreamServer | undefined {
    return this.#servers.get(id);
  }

  set(server: UpstreamServer): void {
    this.#servers.set(server.id, server);
    this.#rebuild();
  }

  delete(id: InstanceId): void {
    if (this.#servers.delete(id)) this.#rebuild();
  }

  all(): Iterable<UpstreamServer> {
    return this.#servers.values();
  }

  get size(): number {
    return this.#servers.size;
  }

  /** Servers of the service that accept new requests. */
  readyServers(service: UpstreamName): readonly UpstreamServer[] {
    return this.#byService.get(service) ?? [];
  }

  #rebuild(): void {
    this.#byService = new Map();
    for (const server of this.#servers.values()) {
      if (server.state !== "ready") continue;
      const servers = this.#byService.get(server.service) ?? [];
      servers.push(server);
      this.#byService.set(server.service, servers);
    }
  }
}
