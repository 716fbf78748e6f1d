/**
 * Routes online requests: chooses an upstream, counts the request towards its capacity while it
 * is in progress, and retries a failed request if its verdict or its route allows that.
 */

import type { SeededRandom } from "../common/random.ts";
import { setTimeout as sleep } from "node:timers/promises";
import type { OnlineCapacity } from "../capacity/capacity.ts";
import { type Clock, systemClock } from "../common/clock.ts";
import { CallerError, UpstreamError } from "../common/errors.ts";
import type { UpstreamName } from "../common/ids.ts";
import type { Verdict } from "../common/verdict.ts";
import {
  chatPath,
  maximumAttempts,
  maximumAttemptsThatMayHaveRun,
  sameUpstreamRetryDelayMilliseconds,
} from "./constants.ts";
import { UpstreamSelector } from "./upstream-selector.ts";
import { RetryBudget } from "./retry-budget.ts";
import { readAhead, TrackedBody } from "./tracked-body.ts";
import type {
  OnlineChatRequest,
  OnlineRouter,
  OnlineRouteRequest,
  UpstreamCaller,
  UpstreamRequest,
  UpstreamResponse,
} from "./upstream-caller.ts";
import type { UpstreamLookup } from "./upstream-directory.ts";
import { UpstreamHealth } from "./upstream-health.ts";

export interface FirstTokenSample {
  readonly upstream: UpstreamName;
  readonly isStreamed: boolean;
  readonly milliseconds: number;
}

export interface AttemptSample {
  /** "answered", or the code of the error that the attempt failed with. */
  readonly outcome: string;
  readonly isRetry: boolean;
}

export interface UpstreamRouterOptions {
  caller: UpstreamCaller;
  upstreams: UpstreamLookup;
  capacity: OnlineCapacity;
  random: SeededRandom;
  health?: UpstreamHealth;
  retryBudget?: RetryBudget;
  clock?: Clock;
  /** Called with the time from the start of an attempt to the first byte of the response body. */
  onFirstToken?: (sample: FirstTokenSample) => void;
  /** Called for each attempt when its response has begun or it has failed. */
  onAttempt?: (sample: AttemptSample) => void;
}

/** How to make the attempts of one request. */
interface AttemptPlan {
  chooseUpstream: (isAvailable: (name: UpstreamName) => boolean) =>
    | UpstreamName
    | undefined;
  buildRequest: (upstream: UpstreamName) => UpstreamRequest;
  checkBeforeAttempt: () => void;
  isRepeatable: boolean;
  isStreamed: boolean;
  /** Whether the whole body is read, with the chance of a retry, before the response is returned. */
  isBuffered: boolean;
}

/** Order of verdicts by which the worst one over all attempts is reported. */
const verdictSeverity: Record<Verdict, number> = {
  not_run: 0,
  unknown: 1,
  ran: 2,
};

export class UpstreamRouter implements OnlineRouter {
  readonly #options: UpstreamRouterOptions;
  readonly #clock: Clock;
  readonly #health: UpstreamHealth;
  readonly #retryBudget: RetryBudget;
  readonly #upstreamSelector: UpstreamSelector;

  constructor(options: UpstreamRouterOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#health = options.health ?? new UpstreamHealth(this.#clock);
    this.#retryBudget = options.retryBudget ?? new RetryBudget(this.#clock);
    this.#upstreamSelector = new UpstreamSelector({
      upstreams: options.upstreams,
      loadOf: (name) => options.capacity.loadOf(name),
      random: options.random,
      monotonicNow: this.#clock.monotonicNow,
    });
  }

  chat(request: OnlineChatRequest): Promise<UpstreamResponse> {
    const ranking = this.#upstreamSelector.rankEngines(
      request.model,
      request.prompt,
    );
    return this.#runAttempts({
      chooseUpstream: (isAvailable) =>
        this.#upstreamSelector.choose(ranking, isAvailable),
      buildRequest: (upstream) => ({
        upstream,
        method: "POST",
        path: chatPath,
        headers: {
          "content-type": "application/json",
          accept: request.isStreamed ? "text/event-stream" : "application/json",
        },
        body: request.body,
        requestId: request.requestId,
        isRepeatable: true,
        signal: request.signal,
        checkBeforeSend: request.checkBeforeAttempt,
      }),
      checkBeforeAttempt: request.checkBeforeAttempt,
      isRepeatable: true,
      isStreamed: request.isStreamed,
      isBuffered: !request.isStreamed,
    });
  }

  route(request: OnlineRouteRequest): Promise<UpstreamResponse> {
    const { route, method, path, headers, body, requestId, signal } = request;
    return this.#runAttempts({
      chooseUpstream: (isAvailable) =>
        this.#choosePlainService(route.upstreams, isAvailable),
      buildRequest: (upstream) => ({
        upstream,
        method,
        path,
        headers,
        body,
        requestId,
        isRepeatable: route.repeatable,
        signal,
        checkBeforeSend: request.checkBeforeAttempt,
      }),
      checkBeforeAttempt: request.checkBeforeAttempt,
      isRepeatable: route.repeatable,
      isStreamed: false,
      isBuffered: false,
    });
  }

  #choosePlainService(
    names: readonly UpstreamName[],
    isAvailable: (name: UpstreamName) => boolean,
  ): UpstreamName | undefined {
    return this.#upstreamSelector.chooseLeastLoaded(names, isAvailable);
  }

  /** Makes attempts until one succeeds or no retry is allowed. */
  async #runAttempts(plan: AttemptPlan): Promise<UpstreamResponse> {
    this.#retryBudget.recordRequest();
    const tried = new Set<UpstreamName>();
    let lastError: UpstreamError | undefined;
    let worstVerdict: Verdict = "not_run";
    let attemptsThatMayHaveRun = 0;
    for (let attempt = 1;; attempt++) {
      const upstream = this.#chooseUpstream(plan, tried);
      if (upstream === undefined) {
        throw lastError
          ? withVerdict(lastError, worstVerdict)
          : noUpstreamError();
      }
      if (tried.has(upstream)) await sleep(sameUpstreamRetryDelayMilliseconds);
      tried.add(upstream);
      try {
        const response = await this.#runAttempt(plan, upstream);
        this.#options.onAttempt?.({
          outcome: "answered",
          isRetry: attempt > 1,
        });
        return response;
      } catch (error) {
        if (error instanceof CallerError) {
          throw withCallerVerdict(error, worstVerdict);
        }
        if (!(error instanceof UpstreamError)) throw error;
        this.#options.onAttempt?.({
          outcome: error.code,
          isRetry: attempt > 1,
        });
        this.#health.recordFailure(upstream, error);
        lastError = error;
        if (verdictSeverity[error.verdict] > verdictSeverity[worstVerdict]) {
          worstVerdict = error.verdict;
        }
        if (error.verdict !== "not_run") attemptsThatMayHaveRun += 1;
        const isRetryable = error.code !== "upstream_call_aborted" &&
          error.code !== "upstream_request_invalid" &&
          (error.verdict === "not_run" || plan.isRepeatable);
        if (
          !isRetryable || attempt >= maximumAttempts ||
          attemptsThatMayHaveRun >= maximumAttemptsThatMayHaveRun ||
          !this.#retryBudget.tryAcquire()
        ) throw withVerdict(error, worstVerdict);
      }
    }
  }

  /**
   * Prefers live upstreams that were not tried and are not backed off. Backed-off upstreams are
   * used only when no other is left, because refusing every request would be worse than probing
   * them. Upstreams that were tried are the last choice.
   */
  #chooseUpstream(
    plan: AttemptPlan,
    tried: ReadonlySet<UpstreamName>,
  ): UpstreamName | undefined {
    const { upstreams } = this.#options;
    const isLiveAndUntried = (name: UpstreamName) =>
      upstreams.isLive(name) && !tried.has(name);
    return plan.chooseUpstream((name) =>
      isLiveAndUntried(name) && this.#health.isAvailable(name)
    ) ?? plan.chooseUpstream(isLiveAndUntried) ??
      plan.chooseUpstream((name) => upstreams.isLive(name));
  }

  /**
   * Makes one attempt up to the first chunk of the body, or to its end if it is buffered. After
   * this no retry is possible.
   */
  async #runAttempt(
    plan: AttemptPlan,
    upstream: UpstreamName,
  ): Promise<UpstreamResponse> {
    plan.checkBeforeAttempt();
    const startedAt = this.#clock.monotonicNow();
    const reportEnd = this.#options.capacity.trackOnlineRequest(upstream);
    this.#health.recordRequestStart(upstream);
    try {
      const response = await this.#options.caller.call(
        plan.buildRequest(upstream),
      );
      const readAheadBody = await readAhead(response.body, plan.isBuffered);
      this.#health.recordResponseStart(upstream);
      this.#options.onFirstToken?.({
        upstream,
        isStreamed: plan.isStreamed,
        milliseconds: this.#clock.monotonicNow() - startedAt,
      });
      const body = new TrackedBody(readAheadBody, {
        onEnd: () => this.#health.recordSuccess(upstream),
        onError: (error) => {
          if (error instanceof UpstreamError) {
            this.#health.recordFailure(upstream, error);
          }
        },
        onFinish: reportEnd,
      });
      return { ...response, body };
    } catch (error) {
      reportEnd();
      throw error;
    }
  }
}

export function noUpstreamError(): CallerError {
  return new CallerError({
    status: 503,
    code: "no_upstream",
    message: "no upstream is available for the request",
    type: "server_error",
    verdict: "not_run",
    retryAfterSeconds: 1,
  });
}

/** Sets the worst verdict of all attempts: an earlier one may have run even if the last did not. */
function withVerdict(error: UpstreamError, verdict: Verdict): UpstreamError {
  if (error.verdict === verdict) return error;
  return new UpstreamError(error.code, error.message, {
    verdict,
    cause: error,
    ...(error.status === undefined ? {} : { status: error.status }),
  });
}

/** Raises the verdict of a caller error to the worst verdict of the attempts before it. */
function withCallerVerdict(error: CallerError, verdict: Verdict): CallerError {
  if (verdictSeverity[verdict] <= verdictSeverity[error.verdict]) return error;
  const { status, code, message, type, field, line, retryAfterSeconds } = error;
  return new CallerError({
    status,
    code,
    message,
    type,
    verdict,
    cause: error,
    ...(field === undefined ? {} : { field }),
    ...(line === undefined ? {} : { line }),
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
  });
}
