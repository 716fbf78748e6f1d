/**
 * Tracks the connections of a server and closes idle ones while draining. A connection is closed
 * only after it has been idle for `drainIdleMilliseconds`, because the next request may already be
 * in transit on a connection that has just become idle.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../common/clock.ts";
import {
  drainIdleMilliseconds,
  drainSweepIntervalMilliseconds,
  headersTimeoutMilliseconds,
} from "../constants.ts";

interface ConnectionState {
  activeRequests: number;
  /** Monotonic time at which the last response ended, or the connection was opened. */
  idleSince: number;
  /** Bytes received up to the time at which the connection became idle. */
  bytesRead: number;
}

export class Connections {
  readonly #clock: Clock;
  readonly #states = new Map<Socket, ConnectionState>();
  #activeRequests = 0;
  #isDraining = false;
  #sweepTimer: NodeJS.Timeout | undefined;
  #idleWaiters: (() => void)[] = [];

  constructor(server: Server, clock: Clock) {
    this.#clock = clock;
    server.on("connection", (socket) => this.#add(socket));
  }

  get activeRequests(): number {
    return this.#activeRequests;
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Counts the request as active until its response is closed. */
  track(request: IncomingMessage, response: ServerResponse): void {
    const state = this.#states.get(request.socket);
    this.#activeRequests += 1;
    if (state) state.activeRequests += 1;
    response.once("close", () => {
      this.#activeRequests -= 1;
      if (state) {
        state.activeRequests -= 1;
        state.idleSince = this.#clock.monotonicNow();
        state.bytesRead = request.socket.bytesRead;
      }
      this.#resolveIfIdle();
    });
  }

  /** Marks the server as draining: from now on, each response closes its connection. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Closes idle connections repeatedly until none is left. */
  closeIdle(): void {
    this.#sweepTimer ??= setInterval(
      () => this.#sweep(),
      drainSweepIntervalMilliseconds,
    );
    this.#sweep();
  }

  /** Resolves when no request is running and no connection is open. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.#idleWaiters.push(resolve);
      this.#resolveIfIdle();
    });
  }

  destroyAll(): void {
    clearInterval(this.#sweepTimer);
    for (const socket of this.#states.keys()) socket.destroy();
  }

  #add(socket: Socket): void {
    this.#states.set(socket, {
      activeRequests: 0,
      idleSince: this.#clock.monotonicNow(),
      bytesRead: 0,
    });
    socket.once("close", () => {
      this.#states.delete(socket);
      this.#resolveIfIdle();
    });
  }

  #sweep(): void {
    const now = this.#clock.monotonicNow();
    for (const [socket, state] of this.#states) {
      if (state.activeRequests > 0) continue;
      // The headers of a request have arrived in part. Node closes the connection if the rest takes
      // longer than `headersTimeoutMilliseconds`.
      const isReceivingRequest = socket.bytesRead > state.bytesRead &&
        now - state.idleSince < headersTimeoutMilliseconds;
      if (
        !isReceivingRequest && now - state.idleSince >= drainIdleMilliseconds
      ) {
        socket.destroySoon();
      }
    }
  }

  #resolveIfIdle(): void {
    if (this.#activeRequests > 0 || this.#states.size > 0) return;
    clearInterval(this.#sweepTimer);
    this.#sweepTimer = undefined;
    const waiters = this.#idleWaiters;
    this.#idleWaiters = [];
    for (const resolveWaiter of waiters) resolveWaiter();
  }
}
