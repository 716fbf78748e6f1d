/**
 * Makes calls to one server and finds out when its connections have gone silent. A call whose
 * response is late is repeated on a connection that is opened for it, if it may be repeated. If
 * the repetition is answered first, the connection of the call is silent: later calls use new
 * connections only. Unless data has arrived on other connections of that age meanwhile, they count
 * as silent, too, and the calls on them that may be repeated are repeated at once.
 *
 * A server that is slow answers the call before its repetition, which then shows nothing. One that
 * is down answers neither: the calls wait for their own timeouts, and the next repetition is made
 * after an interval.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { ConnectionTimings } from "./connection-timings.ts";
import {
  callHttp,
  type HttpCall,
  HttpCallError,
  type HttpResponse,
} from "./http-call.ts";
import type {
  ConnectionActivity,
  ConnectionGeneration,
  RenewablePool,
} from "./renewable-pool.ts";

export interface RepeatingCallerOptions {
  readonly pool: RenewablePool;
  readonly timings: ConnectionTimings;
  /** Called after each check of a connection. */
  readonly onCheck?: (result: ConnectionCheck) => void;
  readonly clock?: Clock;
}

export type ConnectionCheck =
  | {
    readonly outcome: "silent";
    /** Whether all connections that were opened before count as silent, or only that of one call. */
    readonly affectsAll: boolean;
    readonly repeatedCalls: number;
  }
  | { readonly outcome: "unconfirmed"; readonly reason: string };

export interface RepeatableCall {
  readonly call: HttpCall;
  /** The same call without a wait, which has no further effect if the first one had one. */
  readonly repetition: HttpCall;
  /** How long the server may wait before it responds, as in a long poll. */
  readonly waitMilliseconds: number;
}

interface PendingCall extends RepeatableCall {
  readonly generation: ConnectionGeneration;
  /** Undefined until the call is sent. */
  connection: ConnectionActivity | undefined;
  /** When the next data of the response should have arrived; monotonic milliseconds. */
  dueAt: number;
  readonly controller: AbortController;
  readonly resolve: (response: HttpResponse) => void;
  readonly reject: (error: unknown) => void;
  /** Data of the response is late, also after the call has timed out. */
  isLate: boolean;
  /** Ends the check of the connection while there is one. */
  endCheck: (() => void) | undefined;
}

export class RepeatingCaller {
  readonly #options: Required<RepeatingCallerOptions>;
  readonly #pending = new Set<PendingCall>();
  #isChecking = false;
  #nextCheckAt = Number.NEGATIVE_INFINITY;
  #checkTimer: NodeJS.Timeout | undefined;

  constructor(options: RepeatingCallerOptions) {
    this.#options = { onCheck: () => {}, clock: systemClock, ...options };
  }

  /** Makes a call that must not be repeated. */
  callOnce(call: HttpCall): Promise<HttpResponse> {
    return callHttp(this.#options.pool, call);
  }

  /** Makes a call that is repeated if its connection is found to be silent. */
  callRepeatable(repeatable: RepeatableCall): Promise<HttpResponse> {
    const { pool, clock, timings } = this.#options;
    const { call, waitMilliseconds } = repeatable;
    return new Promise((resolve, reject) => {
      const controller = new AbortController();
      const onAbort = () => controller.abort();
      call.signal?.addEventListener("abort", onAbort);
      if (call.signal?.aborted) onAbort();
      const startLateTimer = (milliseconds: number) =>
        setTimeout(
          // Data that has arrived is read first, in case the process was paused.
          () => setImmediate(() => this.#handleLate(pending)),
          milliseconds,
        );
      let lateTimer = startLateTimer(
        waitMilliseconds + timings.suspicionMilliseconds,
      );
      const endSuspicion = () => {
        pending.isLate = false;
        pending.endCheck?.();
      };
      const recordData = () => {
        pending.dueAt = clock.monotonicNow();
        lateTimer.refresh();
        endSuspicion();
      };
      const settle = () => {
        this.#pending.delete(pending);
        clearTimeout(lateTimer);
        call.signal?.removeEventListener("abort", onAbort);
      };
      const pending: PendingCall = {
        ...repeatable,
        generation: pool.current,
        connection: undefined,
        dueAt: clock.monotonicNow() + waitMilliseconds,
        controller,
        resolve: (response) => {
          settle();
          resolve(response);
        },
        reject: (error) => {
          settle();
          const isTimeout = error instanceof HttpCallError && error.isTimeout;
          if (!isTimeout) endSuspicion();
          reject(error);
        },
        isLate: false,
        endCheck: undefined,
      };
      this.#pending.add(pending);
      callHttp(pool, {
        ...call,
        signal: controller.signal,
        onRequestStart: (request) =>
          pending.connection = pending.generation.connectionOf(request),
        onResponseStart: () => {
          clearTimeout(lateTimer);
          lateTimer = startLateTimer(timings.suspicionMilliseconds);
          recordData();
        },
        onResponseData: (bytes) => {
          recordData();
          call.onResponseData?.(bytes);
        },
      }).then(
        (response) => pending.resolve(response),
        (error) => {
          // Otherwise the call was replaced by its repetition.
          if (this.#pending.has(pending)) pending.reject(error);
        },
      );
    });
  }

  async destroy(): Promise<void> {
    clearTimeout(this.#checkTimer);
    await this.#options.pool.destroy();
  }

  #handleLate(pending: PendingCall): void {
    if (!this.#pending.has(pending)) return;
    pending.isLate = true;
    this.#checkNext();
  }

  /** Checks the connection of the first late call, one at a time and not before the interval ends. */
  #checkNext(): void {
    if (this.#isChecking) return;
    const late = [...this.#pending].find((pending) => pending.isLate);
    if (!late) return;
    const wait = this.#nextCheckAt - this.#options.clock.monotonicNow();
    clearTimeout(this.#checkTimer);
    if (wait > 0) {
      this.#checkTimer = setTimeout(() => this.#checkNext(), wait);
      return;
    }
    this.#isChecking = true;
    void this.#check(late).finally(() => {
      this.#isChecking = false;
      this.#checkNext();
    });
  }

  async #check(late: PendingCall): Promise<void> {
    const { pool, timings, clock, onCheck } = this.#options;
    const generation = pool.openGeneration();
    const controller = new AbortController();
    late.endCheck = () => controller.abort();
    let reason = "the late response arrived";
    try {
      const response = await callHttp(generation, {
        ...late.repetition,
        signal: controller.signal,
      });
      if (late.isLate) {
        this.#handleSilence(late, response, generation);
        return;
      }
    } catch (error) {
      if (late.isLate) reason = String(error);
    } finally {
      late.endCheck = undefined;
    }
    this.#nextCheckAt = clock.monotonicNow() +
      timings.checkIntervalMilliseconds;
    onCheck({ outcome: "unconfirmed", reason });
    await generation.destroy();
  }

  #handleSilence(
    late: PendingCall,
    response: HttpResponse,
    generation: ConnectionGeneration,
  ): void {
    const { pool, onCheck } = this.#options;
    const affectsAll = !late.generation.hasWorkedSince(
      late.dueAt,
      late.connection,
    );
    if (late.generation === pool.current) pool.renew(generation);
    else void generation.close();
    late.resolve(response);
    late.controller.abort();
    const others = affectsAll
      ? [...this.#pending].filter((pending) =>
        pending.generation.openedAt <= late.generation.openedAt
      )
      : [];
    for (const pending of others) this.#repeat(pending);
    onCheck({
      outcome: "silent",
      affectsAll,
      repeatedCalls: others.length + 1,
    });
  }

  #repeat(pending: PendingCall): void {
    const { call, repetition, controller } = pending;
    this.#pending.delete(pending);
    controller.abort();
    const next = { ...repetition, signal: call.signal };
    this.callRepeatable({ call: next, repetition: next, waitMilliseconds: 0 })
      .then(pending.resolve, pending.reject);
  }
}
