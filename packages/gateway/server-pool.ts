/**
 * Connections to one server. If the answer to a request is late and no data arrives on other
 * connections of that age, all later requests use new connections: the old ones may have gone
 * silent. A request in progress is never sent again here, since it may run; whether it moves to
 * another server is decided where it was sent. That a busy server may be taken for silent connections
 * costs new connections only, since no request is made to find out.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type {
  ConnectionPool,
  ResponseController,
} from "../transport/connection-pool.ts";
import {
  type ConnectionTimings,
  deriveConnectionTimings,
} from "../transport/connection-timings.ts";
import {
  type ConnectionGeneration,
  RenewablePool,
  type RequestDispatcher,
} from "../transport/renewable-pool.ts";

export interface ServerPoolOptions {
  readonly open: () => ConnectionPool;
  readonly timings?: ConnectionTimings;
  /** Called when the connections have been replaced, since an answer is late. */
  readonly onRenewal?: () => void;
  readonly clock?: Clock;
}

type DispatchArguments = Parameters<RequestDispatcher["dispatch"]>;

export class ServerPool implements RequestDispatcher {
  readonly #options: Required<ServerPoolOptions>;
  readonly #pool: RenewablePool;

  constructor(options: ServerPoolOptions) {
    this.#options = {
      timings: deriveConnectionTimings(),
      onRenewal: () => {},
      clock: systemClock,
      ...options,
    };
    this.#pool = new RenewablePool(this.#options);
  }

  dispatch(options: DispatchArguments[0], handler: DispatchArguments[1]): void {
    const { timings, clock } = this.#options;
    const generation = this.#pool.current;
    let lateTimer: NodeJS.Timeout | undefined;
    let isOver = false;
    generation.dispatch(options, {
      ...handler,
      onRequestStart: (controller, ...context) => {
        const sentAt = clock.monotonicNow();
        lateTimer = setTimeout(
          // Data that has arrived is read first, in case the process was paused.
          () =>
            setImmediate(() => {
              if (!isOver) this.#handleLate(generation, controller, sentAt);
            }),
          timings.serverSuspicionMilliseconds,
        );
        handler.onRequestStart?.(controller, ...context);
      },
      onResponseStart: (...response) => {
        isOver = true;
        clearTimeout(lateTimer);
        handler.onResponseStart?.(...response);
      },
      onResponseError: (...error) => {
        isOver = true;
        clearTimeout(lateTimer);
        handler.onResponseError?.(...error);
      },
    });
  }

  /** Makes all later requests use new connections. */
  renew(): void {
    this.#pool.renew();
  }

  /** Resolves once the requests in progress have ended. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  destroy(): Promise<void> {
    return this.#pool.destroy();
  }

  #handleLate(
    generation: ConnectionGeneration,
    request: ResponseController,
    sentAt: number,
  ): void {
    const { timings, clock, onRenewal } = this.#options;
    if (generation !== this.#pool.current) return;
    const connection = generation.connectionOf(request);
    if (generation.hasWorkedSince(sentAt, connection)) return;
    const age = clock.monotonicNow() - generation.openedAt;
    if (age < timings.checkIntervalMilliseconds) return;
    this.#pool.renew();
    onRenewal();
  }
}
