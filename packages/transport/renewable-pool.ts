/**
 * A pool of connections that can be replaced by a new one, so that no later request uses a
 * connection which was opened before. Requests in progress keep their connections, so that none is
 * sent twice. Records when data arrives on each connection.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import {
  type AssignableRequest,
  type ConnectionPool,
  onAssigned,
  type ResponseController,
} from "./connection-pool.ts";

type DispatchArguments = Parameters<ConnectionPool["dispatch"]>;

/** What sends requests: a pool of connections, or one that can be replaced. */
export interface RequestDispatcher {
  dispatch(...args: DispatchArguments): unknown;
}

/** What is known of one connection; times in monotonic milliseconds. */
export interface ConnectionActivity {
  readonly openedAt: number;
  lastReceivedAt: number;
}

/** Connections that were opened between two renewals of a pool. */
export class ConnectionGeneration implements RequestDispatcher {
  readonly openedAt: number;
  readonly #pool: ConnectionPool;
  readonly #clock: Clock;
  /** The open connections by the clients of the pool that use them. */
  readonly #connections = new Map<object, ConnectionActivity>();
  readonly #connectionsOfRequests = new WeakMap<
    ResponseController,
    ConnectionActivity
  >();

  constructor(pool: ConnectionPool, clock: Clock) {
    this.#pool = pool;
    this.#clock = clock;
    this.openedAt = clock.monotonicNow();
    pool.on("connect", (_, targets) => {
      const openedAt = clock.monotonicNow();
      this.#connections.set(targets.at(-1)!, {
        openedAt,
        lastReceivedAt: openedAt,
      });
    });
    pool.on(
      "disconnect",
      (_, targets) => this.#connections.delete(targets.at(-1)!),
    );
  }

  /** The connection on which a request was sent. */
  connectionOf(request: ResponseController): ConnectionActivity | undefined {
    return this.#connectionsOfRequests.get(request);
  }

  /**
   * True if data arrived at this time or later on a connection that was open already when the given
   * one last worked. One that was opened afterwards tells nothing of the connections of that age: if
   * all of them have gone silent, the new ones work nevertheless.
   */
  hasWorkedSince(
    time: number,
    connection: ConnectionActivity | undefined,
  ): boolean {
    const lastWorkedAt = connection?.lastReceivedAt ?? time;
    return [...this.#connections.values()].some((other) =>
      other !== connection && other.openedAt <= lastWorkedAt &&
      other.lastReceivedAt >= time
    );
  }

  dispatch(options: DispatchArguments[0], handler: DispatchArguments[1]): void {
    let client: object | undefined;
    let connection: ConnectionActivity | undefined;
    const recordArrival = () => {
      if (connection) connection.lastReceivedAt = this.#clock.monotonicNow();
    };
    const request: typeof options & AssignableRequest = {
      ...options,
      [onAssigned]: (assigned) => client = assigned,
    };
    this.#pool.dispatch(request, {
      ...handler,
      onRequestStart: (controller, ...context) => {
        connection = client && this.#connections.get(client);
        if (connection) {
          this.#connectionsOfRequests.set(controller, connection);
        }
        handler.onRequestStart?.(controller, ...context);
      },
      onResponseStart: (...response) => {
        recordArrival();
        handler.onResponseStart?.(...response);
      },
      onResponseData: (...data) => {
        recordArrival();
        handler.onResponseData?.(...data);
      },
    });
  }

  /** Resolves once the requests in progress have ended; idle connections are closed at once. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  destroy(): Promise<void> {
    return this.#pool.destroy();
  }
}

export interface RenewablePoolOptions {
  readonly open: () => ConnectionPool;
  readonly clock?: Clock;
}

export class RenewablePool implements RequestDispatcher {
  readonly #options: Required<RenewablePoolOptions>;
  /** Generations with requests in progress that use their connections. */
  readonly #retired = new Set<ConnectionGeneration>();
  #current: ConnectionGeneration;

  constructor(options: RenewablePoolOptions) {
    this.#options = { clock: systemClock, ...options };
    this.#current = this.openGeneration();
  }

  get current(): ConnectionGeneration {
    return this.#current;
  }

  /** Opens a generation that is not used for requests until it is passed to `renew`. */
  openGeneration(): ConnectionGeneration {
    return new ConnectionGeneration(this.#options.open(), this.#options.clock);
  }

  dispatch(...args: DispatchArguments): void {
    this.#current.dispatch(...args);
  }

  /** Makes all later requests use the connections of a new generation. */
  renew(next: ConnectionGeneration = this.openGeneration()): void {
    const previous = this.#current;
    this.#current = next;
    this.#retired.add(previous);
    void previous.close().then(() => this.#retired.delete(previous));
  }

  /** Resolves once the requests in progress have ended. */
  close(): Promise<void> {
    return this.#current.close();
  }

  async destroy(): Promise<void> {
    await Promise.all(
      [this.#current, ...this.#retired].map((generation) =>
        generation.destroy()
      ),
    );
  }
}
