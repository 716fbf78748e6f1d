/**
 * Circuit breaker for upstreams: after consecutive failures, an upstream gets no requests for a
 * back-off period. Then one request probes the upstream; its success ends the back-off, its
 * failure starts a longer one.
 */

import type { UpstreamError } from "../common/errors.ts";
import type { UpstreamName } from "../common/ids.ts";
import {
  failuresBeforeBackOff,
  initialBackOffMilliseconds,
  maximumBackOffMilliseconds,
} from "./constants.ts";

interface HealthState {
  /** Consecutive failures. */
  failures: number;
  /** Length of the current back-off period; 0 if there is none. */
  backOffMilliseconds: number;
  /** Monotonic time until which the upstream gets no requests. */
  backedOffUntil: number;
  /** Whether a request that probes the upstream after a back-off is in progress. */
  isProbing: boolean;
}

/** Error codes that say nothing about the health of the upstream. */
const ignoredErrorCodes = new Set([
  "upstream_not_admitted",
  "upstream_call_aborted",
  "upstream_request_invalid",
  "upstream_unknown",
  "upstream_answer_too_large",
  "unknown_route",
]);

/** Other statuses may be caused by the request, such as an item that cannot be processed. */
const unhealthyStatuses = new Set([502, 503, 504]);

export class UpstreamHealth {
  readonly #now: () => number;
  readonly #states = new Map<UpstreamName, HealthState>();

  constructor(options: { monotonicNow: () => number }) {
    this.#now = options.monotonicNow;
  }

  isAvailable(upstream: UpstreamName): boolean {
    const state = this.#states.get(upstream);
    return !state || state.backedOffUntil <= this.#now();
  }

  /** Must be called when a request starts, so that only one request probes after a back-off. */
  recordRequestStart(upstream: UpstreamName): void {
    const state = this.#states.get(upstream);
    if (state && state.backOffMilliseconds > 0) {
      state.backedOffUntil = this.#now() + state.backOffMilliseconds;
      state.isProbing = true;
    }
  }

  /** Ends the back-off when a response has begun; a single failure then starts it again. */
  recordResponseStart(upstream: UpstreamName): void {
    const state = this.#states.get(upstream);
    if (!state || state.backOffMilliseconds === 0) return;
    state.failures = failuresBeforeBackOff - 1;
    state.backOffMilliseconds = 0;
    state.backedOffUntil = 0;
    state.isProbing = false;
  }

  recordSuccess(upstream: UpstreamName): void {
    this.#states.delete(upstream);
  }

  recordFailure(upstream: UpstreamName, error: UpstreamError): void {
    if (ignoredErrorCodes.has(error.code)) return;
    if (error.status !== undefined && !unhealthyStatuses.has(error.status)) {
      return;
    }
    const state = this.#states.get(upstream) ??
      {
        failures: 0,
        backOffMilliseconds: 0,
        backedOffUntil: 0,
        isProbing: false,
      };
    this.#states.set(upstream, state);
    // Requests that were in flight when the back-off began often fail together and count once.
    if (state.backOffMilliseconds > 0 && !state.isProbing) return;
    // Without a connection the upstream is down for every request, so one failure is enough.
    state.failures += error.verdict === "not_run" ? failuresBeforeBackOff : 1;
    if (state.failures < failuresBeforeBackOff) return;
    state.backOffMilliseconds = state.backOffMilliseconds === 0
      ? initialBackOffMilliseconds
      : Math.min(maximumBackOffMilliseconds, state.backOffMilliseconds * 2);
    state.backedOffUntil = this.#now() + state.backOffMilliseconds;
    state.isProbing = false;
  }
}
