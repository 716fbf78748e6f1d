/**
 * Connection pools of the servers, one for each server in use. When a server is removed, its pool
 * stops taking requests and closes once those in progress have ended.
 */

import type { InstanceId } from "../common/ids.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import {
  type ConnectionPool,
  createConnectionPool,
} from "../transport/connection-pool.ts";
import {
  serverConnectTimeoutMilliseconds,
  serverIdleTimeoutMilliseconds,
} from "./constants.ts";

interface PoolEntry {
  readonly address: string;
  readonly pool: ConnectionPool;
}

export class ServerPools {
  readonly #entries = new Map<InstanceId, PoolEntry>();
  readonly #onConnect: () => void;

  constructor(onConnect: () => void = () => {}) {
    this.#onConnect = onConnect;
  }

  /** Returns the pool of the server, and replaces it if the server's address has changed. */
  poolOf(server: UpstreamServer): ConnectionPool {
    const address = `${server.host}:${server.port}`;
    const entry = this.#entries.get(server.id);
    if (entry?.address === address) return entry.pool;
    if (entry) void entry.pool.close();
    const pool = createConnectionPool({
      host: server.host,
      port: server.port,
      connectTimeoutMilliseconds: serverConnectTimeoutMilliseconds,
      idleMilliseconds: serverIdleTimeoutMilliseconds,
      onConnect: this.#onConnect,
    });
    this.#entries.set(server.id, { address, pool });
    return pool;
  }

  /** Closes the pools of servers that are no longer known. */
  retain(isKnown: (id: InstanceId) => boolean): void {
    for (const [id, entry] of this.#entries) {
      if (isKnown(id)) continue;
      this.#entries.delete(id);
      void entry.pool.close();
    }
  }

  async destroy(): Promise<void> {
    const pools = [...this.#entries.values()].map((entry) => entry.pool);
    this.#entries.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
