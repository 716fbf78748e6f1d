/**
 * The servers that requests may be sent to, by id. An entry that disappears around an outage of
 * the store is kept for a while, since a server that lives writes its entry again.
 */

import type { InstanceId, UpstreamName, ZoneId } from "../common/ids.ts";

export interface UpstreamServer {
  readonly id: InstanceId;
  readonly service: UpstreamName;
  readonly host: string;
  readonly port: number;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Distinguishes the starts of a server that keeps its id. */
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

  /** Servers of the service that take new requests. */
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
