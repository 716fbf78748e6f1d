/**
 * Connection pools of the servers, one for each server in use. When a server is removed, its pool
 * stops taking requests and closes once those in progress have ended.
 */

import type { InstanceId } from "../common/ids.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import { createConnectionPool } from "../transport/connection-pool.ts";
import {
  type ConnectionTimings,
  deriveConnectionTimings,
} from "../transport/connection-timings.ts";
import {
  serverConnectTimeoutMilliseconds,
  serverIdleTimeoutMilliseconds,
} from "./constants.ts";
import { ServerPool } from "./server-pool.ts";

export interface ServerPoolsOptions {
  /** Called for each connection that was opened. */
  readonly onConnect?: () => void;
  /** Called when the connections to a server have been replaced, since an answer is late. */
  readonly onRenewal?: () => void;
  readonly timings?: ConnectionTimings;
}

interface PoolEntry {
  readonly address: string;
  readonly pool: ServerPool;
}

export class ServerPools {
  readonly #entries = new Map<InstanceId, PoolEntry>();
  readonly #options: Required<ServerPoolsOptions>;

  constructor(options: ServerPoolsOptions = {}) {
    this.#options = {
      onConnect: () => {},
      onRenewal: () => {},
      timings: deriveConnectionTimings(),
      ...options,
    };
  }

  /** Returns the pool of the server, and replaces it if the server's address has changed. */
  poolOf(server: UpstreamServer): ServerPool {
    const address = `${server.host}:${server.port}`;
    const entry = this.#entries.get(server.id);
    if (entry?.address === address) return entry.pool;
    if (entry) void entry.pool.close();
    const { host, port } = server;
    const { onConnect, onRenewal, timings } = this.#options;
    const pool = new ServerPool({
      open: () =>
        createConnectionPool({
          host,
          port,
          connectTimeoutMilliseconds: serverConnectTimeoutMilliseconds,
          idleMilliseconds: serverIdleTimeoutMilliseconds,
          onConnect,
        }),
      onRenewal,
      timings,
    });
    this.#entries.set(server.id, { address, pool });
    return pool;
  }

  /** Makes all later requests use new connections. */
  renew(): void {
    for (const { pool } of this.#entries.values()) pool.renew();
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
