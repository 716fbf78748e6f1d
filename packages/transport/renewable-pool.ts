/**
 * A pool of connections that can be replaced by a new one, so that no later request uses a
 * connection which was opened before. Requests in progress keep their connections, so that none is
 * sent twice. Records whether responses arrive on the connections of each generation of the pool.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { ConnectionPool } from "./connection-pool.ts";

type DispatchArguments = Parameters<ConnectionPool["dispatch"]>;

/** What sends requests: a pool of connections, or one that can be replaced. */
export interface RequestDispatcher {
  dispatch(...args: DispatchArguments): unknown;
}

/** Data that arrived for one request; monotonic milliseconds. */
interface Arrival {
  readonly requestStartedAt: number;
  readonly receivedAt: number;
}

/**
 * Data for a request that began later replaces an arrival only after this time, so that the
 * arrival that is kept shows the age of its connection best.
 */
const arrivalPreferenceMilliseconds = 100;

/** Connections that were opened between two renewals of a pool. */
export class ConnectionGeneration implements RequestDispatcher {
  readonly openedAt: number;
  readonly #pool: ConnectionPool;
  readonly #clock: Clock;
  #lastConnectAt = Number.NEGATIVE_INFINITY;
  #lastReceivedAt = Number.NEGATIVE_INFINITY;
  /** A recent arrival for a request that began as early as possible. */
  #earlyArrival: Arrival | undefined;

  constructor(pool: ConnectionPool, clock: Clock) {
    this.#pool = pool;
    this.#clock = clock;
    this.openedAt = clock.monotonicNow();
    pool.on("connect", () => this.#lastConnectAt = clock.monotonicNow());
  }

  /** True if data arrived at this time or later on a connection that was opened before. */
  hasWorkedSince(time: number): boolean {
    if (this.#lastConnectAt < time) return this.#lastReceivedAt >= time;
    const arrival = this.#earlyArrival;
    return arrival !== undefined && arrival.requestStartedAt < time &&
      arrival.receivedAt >= time;
  }

  dispatch(options: DispatchArguments[0], handler: DispatchArguments[1]): void {
    let requestStartedAt = Number.POSITIVE_INFINITY;
    this.#pool.dispatch(options, {
      ...handler,
      onRequestStart: (...request) => {
        requestStartedAt = this.#clock.monotonicNow();
        handler.onRequestStart?.(...request);
      },
      onResponseStart: (...response) => {
        this.#recordArrival(requestStartedAt);
        handler.onResponseStart?.(...response);
      },
      onResponseData: (...data) => {
        this.#recordArrival(requestStartedAt);
        handler.onResponseData?.(...data);
      },
    });
  }

  #recordArrival(requestStartedAt: number): void {
    const receivedAt = this.#clock.monotonicNow();
    const early = this.#earlyArrival;
    this.#lastReceivedAt = receivedAt;
    const isPreferred = !early || requestStartedAt <= early.requestStartedAt ||
      receivedAt - early.receivedAt > arrivalPreferenceMilliseconds;
    if (isPreferred) this.#earlyArrival = { requestStartedAt, receivedAt };
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
