/**
 * Requests that wait until a server may be sent a request, by the limits that servers state. They
 * are tried again at an interval: first those that can still meet their latency objective, and each
 * kind by its deadline. A request that arrives meanwhile joins them. Answers the load of a service
 * whose servers are all at their limits for a moment: a token is due sooner than a refused caller
 * would be back, and a caller who is late already must not make all others late.
 */

import type { UpstreamName } from "../common/ids.ts";
import { systemTimers, type Timers } from "../common/timers.ts";
import { sendRetryIntervalMilliseconds } from "./constants.ts";

export interface WaitingRequest {
  readonly service: UpstreamName;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /** The request cannot meet its latency objective any more. */
  readonly isLate: boolean;
  readonly retry: () => void;
}

export class SendQueue {
  readonly #timers: Timers;
  readonly #waiting = new Set<WaitingRequest>();
  #cancelTimer: (() => void) | undefined;

  constructor({ timers = systemTimers }: { timers?: Timers } = {}) {
    this.#timers = timers;
  }

  hasWaiting(service: UpstreamName): boolean {
    for (const request of this.#waiting) {
      if (request.service === service) return true;
    }
    return false;
  }

  /** Retries the request once, unless the returned function is called before. */
  add(request: WaitingRequest): () => void {
    this.#waiting.add(request);
    this.#cancelTimer ??= this.#timers.after(
      sendRetryIntervalMilliseconds,
      () => this.#retryAll(),
    );
    return () => this.#waiting.delete(request);
  }

  #retryAll(): void {
    this.#cancelTimer = undefined;
    const requests = [...this.#waiting].sort((left, right) =>
      Number(left.isLate) - Number(right.isLate) ||
      left.deadline - right.deadline
    );
    this.#waiting.clear();
    for (const { retry } of requests) retry();
  }
}
