/**
 * Limits the open connections of callers. At the limit a new connection takes the place of some
 * that are not in use, of the address that has most: first of one that has sent no request for a
 * while, then of one that is idle after its answers. If all are in use, the new one is refused.
 */

import type { Socket } from "node:net";
import type { ClientId } from "../common/ids.ts";
import {
  evictedConnectionShare,
  newConnectionGraceMilliseconds,
} from "./constants.ts";

export interface ConnectionLimitOptions {
  readonly maximumConnections: number;
  /** Called when all connections are in use; ends a request that makes no progress, if any. */
  readonly evictStalled: () => void;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
  readonly onClose?: (kind: "evicted" | "refused") => void;
}

/** A caller whose address is not known any more, since it has disconnected. */
const unknownAddress = "unknown" as ClientId;

export function addressOf(socket: Socket): ClientId {
  return (socket.remoteAddress ?? unknownAddress) as ClientId;
}

export class ConnectionLimit {
  readonly #options: Required<ConnectionLimitOptions>;
  readonly #open = new Set<Socket>();
  /** Connections without a request so far, oldest first, and since when. */
  readonly #fresh = new Map<Socket, number>();
  /** Connections without a request at present, the longest idle first. */
  readonly #idle = new Set<Socket>();

  constructor(options: ConnectionLimitOptions) {
    this.#options = {
      now: () => performance.now(),
      onClose: () => {},
      ...options,
    };
  }

  get openConnections(): number {
    return this.#open.size;
  }

  /** Called for each new connection, which is closed if there is no room for it. */
  add(socket: Socket): void {
    const { maximumConnections, evictStalled, onClose, now } = this.#options;
    if (this.#open.size >= maximumConnections && !this.#makeRoom()) {
      onClose("refused");
      socket.destroy();
      evictStalled();
      return;
    }
    this.#open.add(socket);
    this.#fresh.set(socket, now());
    socket.once("close", () => this.#remove(socket));
  }

  /** Called when a request has arrived on the connection. */
  markActive(socket: Socket): void {
    this.#fresh.delete(socket);
    this.#idle.delete(socket);
  }

  /** Called when the answer is complete. */
  markIdle(socket: Socket): void {
    if (this.#open.has(socket)) this.#idle.add(socket);
  }

  /**
   * Closes a few connections, since the addresses are counted for each choice: to ask for the
   * address of every new connection takes a system call. Returns false if all are in use.
   */
  #makeRoom(): boolean {
    const address = this.#largestUnusedAddress();
    if (address === undefined) return false;
    const isOfAddress = (socket: Socket) => addressOf(socket) === address;
    const { maximumConnections, onClose, now } = this.#options;
    const knownSince = now() - newConnectionGraceMilliseconds;
    const fresh = [...this.#fresh].filter(([socket]) => isOfAddress(socket));
    const victims = [
      ...fresh.filter(([, since]) => since <= knownSince),
      ...[...this.#idle].filter(isOfAddress).map((socket) => [socket] as const),
      ...fresh.filter(([, since]) => since > knownSince),
    ];
    const count = Math.ceil(maximumConnections * evictedConnectionShare);
    for (const [socket] of victims.slice(0, count)) {
      onClose("evicted");
      this.#remove(socket);
      socket.destroy();
    }
    return true;
  }

  /** The address with most connections among those that have an unused one. */
  #largestUnusedAddress(): ClientId | undefined {
    const totals = new Map<ClientId, number>();
    for (const socket of this.#open) {
      const address = addressOf(socket);
      totals.set(address, (totals.get(address) ?? 0) + 1);
    }
    let largest: ClientId | undefined;
    for (const socket of [...this.#fresh.keys(), ...this.#idle]) {
      const address = addressOf(socket);
      if (!largest || totals.get(address)! > totals.get(largest)!) {
        largest = address;
      }
    }
    return largest;
  }

  #remove(socket: Socket): void {
    this.#open.delete(socket);
    this.#fresh.delete(socket);
    this.#idle.delete(socket);
  }
}
