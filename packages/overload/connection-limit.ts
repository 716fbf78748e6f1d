/**
 * Limits the open connections of callers. At the limit a new connection takes the place of one
 * that is not in use, of the address that has most: first of one that has sent no request for a
 * while, then of one that is idle after its answers. If all are in use, the new one is refused.
 */

import type { Socket } from "node:net";
import type { ClientId } from "../common/ids.ts";
import { newConnectionGraceMilliseconds } from "./constants.ts";

export interface ConnectionLimitOptions {
  readonly maximumConnections: number;
  /** Called when all connections are in use; ends a request that makes no progress, if any. */
  readonly evictStalled: () => void;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
  readonly onClose?: (kind: "evicted" | "refused") => void;
}

interface AddressConnections {
  total: number;
  /** Connections without a request so far, oldest first, and since when. */
  readonly fresh: Map<Socket, number>;
  /** Connections without a request at present, the longest idle first. */
  readonly idle: Set<Socket>;
}

/** A caller whose address is not known any more, since it has disconnected. */
export const unknownAddress = "unknown" as ClientId;

export function addressOf(socket: Socket): ClientId {
  return (socket.remoteAddress ?? unknownAddress) as ClientId;
}

export class ConnectionLimit {
  readonly #options: Required<ConnectionLimitOptions>;
  readonly #addresses = new Map<ClientId, AddressConnections>();
  /** The address of each open connection, which a closed socket no longer tells. */
  readonly #owners = new WeakMap<Socket, ClientId>();
  #open = 0;

  constructor(options: ConnectionLimitOptions) {
    this.#options = {
      now: () => performance.now(),
      onClose: () => {},
      ...options,
    };
  }

  get openConnections(): number {
    return this.#open;
  }

  /** Called for each new connection, which is closed if there is no room for it. */
  add(socket: Socket): void {
    const { maximumConnections, evictStalled, onClose, now } = this.#options;
    if (this.#open >= maximumConnections) {
      const victim = this.#chooseVictim();
      if (!victim) {
        onClose("refused");
        socket.destroy();
        evictStalled();
        return;
      }
      onClose("evicted");
      victim.destroy();
      this.#remove(victim);
    }
    const address = addressOf(socket);
    let connections = this.#addresses.get(address);
    if (!connections) {
      connections = { total: 0, fresh: new Map(), idle: new Set() };
      this.#addresses.set(address, connections);
    }
    connections.total += 1;
    connections.fresh.set(socket, now());
    this.#open += 1;
    this.#owners.set(socket, address);
    socket.once("close", () => this.#remove(socket));
  }

  /** Called when a request has arrived on the connection. */
  markActive(socket: Socket): void {
    const connections = this.#connectionsOf(socket);
    connections?.fresh.delete(socket);
    connections?.idle.delete(socket);
  }

  /** Called when the answer is complete. */
  markIdle(socket: Socket): void {
    this.#connectionsOf(socket)?.idle.add(socket);
  }

  #connectionsOf(socket: Socket): AddressConnections | undefined {
    const address = this.#owners.get(socket);
    return address === undefined ? undefined : this.#addresses.get(address);
  }

  #chooseVictim(): Socket | undefined {
    const unused = [...this.#addresses.values()].filter(({ fresh, idle }) =>
      fresh.size + idle.size > 0
    );
    if (unused.length === 0) return undefined;
    const { fresh, idle } = unused.reduce((most, next) =>
      next.total > most.total ? next : most
    );
    const [oldest, since] = fresh.entries().next().value ?? [undefined, 0];
    const isOld = this.#options.now() - since >= newConnectionGraceMilliseconds;
    if (oldest && isOld) return oldest;
    const [longestIdle] = idle;
    return longestIdle ?? oldest;
  }

  #remove(socket: Socket): void {
    const address = this.#owners.get(socket);
    const connections = this.#connectionsOf(socket);
    if (address === undefined || !connections) return;
    this.#owners.delete(socket);
    this.#open -= 1;
    connections.total -= 1;
    connections.fresh.delete(socket);
    connections.idle.delete(socket);
    if (connections.total === 0) this.#addresses.delete(address);
  }
}
