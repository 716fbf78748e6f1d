/**
 * The waits of one request before it is placed: for the trial of a part of its prompt, and for
 * servers that are at the limits that they state.
 */

import type { InstanceId, UpstreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { SendBudget } from "../fleet/limits/server-limits.ts";
import {
  undecidedRetryMilliseconds,
  undecidedWaitMilliseconds,
} from "../quarantine/constants.ts";
import {
  acceptableLimitWaitShares,
  returnedCallerWaitShare,
  sendRetryIntervalMilliseconds,
} from "./constants.ts";
import type { NoServer } from "./choose-server.ts";
import type { ChoiceRequest, WaitTolerance } from "./online-services.ts";
import type { SendQueue } from "./send-queue.ts";

export interface PlacementWaitOptions {
  readonly queue: SendQueue;
  readonly service: UpstreamName;
  readonly requestId: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly objectiveMilliseconds: number;
  readonly retry: () => void;
  readonly now: () => number;
  readonly countHeld: (outcome: "waited" | "refused") => void;
  readonly logger: Logger;
}

/** A server that is at its limit, with what is left of the limit. */
export interface ServerAtLimit {
  readonly server: InstanceId;
  readonly budget: SendBudget;
}

export class PlacementWait {
  readonly #options: PlacementWaitOptions;
  #trialSince: number | undefined;
  #limitSince: number | undefined;
  #cancel = () => {};

  constructor(options: PlacementWaitOptions) {
    this.#options = options;
  }

  /** Queues a request behind those that wait for the same servers; false if there are none. */
  joinQueue(tolerance: WaitTolerance): boolean {
    const { queue, service } = this.#options;
    if (this.#limitSince !== undefined || !queue.hasWaiting(service)) {
      return false;
    }
    this.#options.countHeld("waited");
    this.#enqueue(tolerance);
    return true;
  }

  /** Returns false if the request has waited for too long. */
  waitForTrial(): boolean {
    const { now, retry } = this.#options;
    this.#trialSince ??= now();
    if (now() - this.#trialSince >= undecidedWaitMilliseconds) return false;
    const timer = setTimeout(retry, undecidedRetryMilliseconds);
    this.#cancel = () => clearTimeout(timer);
    return true;
  }

  /**
   * Waits for servers that take no request at present, such as cold ones, where no other is left.
   * Returns false if the request has not run, so that its caller can come back, or has no time.
   */
  waitForRoom(
    { waitMilliseconds }: NoServer,
    { waitTolerance }: Pick<ChoiceRequest, "waitTolerance">,
  ): boolean {
    const { now, retry, deadline } = this.#options;
    if (waitTolerance !== "any" || waitMilliseconds === undefined) return false;
    const pause = Math.max(waitMilliseconds, sendRetryIntervalMilliseconds);
    if (now() + pause >= deadline) return false;
    const timer = setTimeout(retry, pause);
    this.#cancel = () => clearTimeout(timer);
    return true;
  }

  /** Returns false if the wait would be longer than acceptable. */
  waitForLimit(
    atLimit: ServerAtLimit,
    tolerance: WaitTolerance,
  ): boolean {
    const { now, countHeld } = this.#options;
    const isFirst = this.#limitSince === undefined;
    this.#limitSince ??= now();
    const waited = now() - this.#limitSince;
    const expected = waited + atLimit.budget.waitMilliseconds;
    if (expected > this.#acceptableWaitMilliseconds(tolerance)) {
      this.#log("a request is refused, since servers are at their limits", {
        ...atLimit,
        waited,
      });
      countHeld("refused");
      return false;
    }
    if (isFirst) {
      this.#log("a request waits, since servers are at their limits", {
        ...atLimit,
        waited,
      });
      countHeld("waited");
    }
    this.#enqueue(tolerance);
    return true;
  }

  /**
   * A caller who has come back waits for up to half of its time, since it may not come once more.
   * Tokens are due at a steady rate, unlike slots, so that the wait is not in vain.
   */
  #acceptableWaitMilliseconds(tolerance: WaitTolerance): number {
    const { objectiveMilliseconds, deadline } = this.#options;
    return tolerance === "late"
      ? (deadline - this.#limitSince!) * returnedCallerWaitShare
      : objectiveMilliseconds * acceptableLimitWaitShares[tolerance];
  }

  cancel(): void {
    this.#cancel();
  }

  #enqueue(tolerance: WaitTolerance): void {
    const { queue, service, deadline, retry, now } = this.#options;
    this.#limitSince ??= now();
    this.#cancel = queue.add({
      service,
      deadline,
      isLate: tolerance !== "in_time",
      retry,
    });
  }

  #log(
    message: string,
    { server, budget, waited }: ServerAtLimit & { readonly waited: number },
  ): void {
    const { logger, requestId } = this.#options;
    logger.info(message, {
      request: requestId,
      server,
      limitPerSecond: budget.limitPerSecond,
      limitAge: budget.ageMilliseconds,
      level: Math.round(budget.level * 10) / 10,
      expectedWait: Math.round(budget.waitMilliseconds),
      waited: Math.round(waited),
    });
  }
}
