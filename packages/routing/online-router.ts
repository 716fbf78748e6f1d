/**
 * Routes online requests: chooses an upstream, reports the request to capacity for as long as
 * it runs, and sends it again when its verdict or its route allows that.
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
  repeatDelayMilliseconds,
} from "./constants.ts";
import { EngineChoice } from "./upstream-selector.ts";
import { RetryBudget } from "./retry-budget.ts";
import { startReading, TrackedBody } from "./tracked-body.ts";
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
  /** "answered" or the code of the error with which the attempt ended. */
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
  /** Told the time from the start of an attempt to the first byte of its body. */
  onFirstToken?: (sample: FirstTokenSample) => void;
  /** Told about each attempt once its answer has begun or it has failed. */
  onAttempt?: (sample: AttemptSample) => void;
}

interface Attempts {
  choose: (isAvailable: (name: UpstreamName) => boolean) =>
    | UpstreamName
    | undefined;
  build: (upstream: UpstreamName) => UpstreamRequest;
  checkBeforeAttempt: () => void;
  isRepeatable: boolean;
  isStreamed: boolean;
  /** Whether the whole body must have arrived before the answer is returned. */
  isReadWhole: boolean;
}

const verdictRank: Record<Verdict, number> = { not_run: 0, unknown: 1, ran: 2 };

export class UpstreamRouter implements OnlineRouter {
  readonly #options: UpstreamRouterOptions;
  readonly #clock: Clock;
  readonly #health: UpstreamHealth;
  readonly #retryBudget: RetryBudget;
  readonly #engineChoice: EngineChoice;

  constructor(options: UpstreamRouterOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#health = options.health ?? new UpstreamHealth(this.#clock);
    this.#retryBudget = options.retryBudget ?? new RetryBudget(this.#clock);
    this.#engineChoice = new EngineChoice({
      upstreams: options.upstreams,
      loadOf: (name) => options.capacity.loadOf(name),
      random: options.random,
      monotonicNow: this.#clock.monotonicNow,
    });
  }

  chat(request: OnlineChatRequest): Promise<UpstreamResponse> {
    const query = this.#engineChoice.prepare(request.model, request.prompt);
    return this.#run({
      choose: (isAvailable) => this.#engineChoice.choose(query, isAvailable),
      build: (upstream) => ({
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
      isReadWhole: !request.isStreamed,
    });
  }

  route(request: OnlineRouteRequest): Promise<UpstreamResponse> {
    const { route, method, path, headers, body, requestId, signal } = request;
    return this.#run({
      choose: (isAvailable) => this.#choosePlain(route.upstreams, isAvailable),
      build: (upstream) => ({
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
      isReadWhole: false,
    });
  }

  #choosePlain(
    names: readonly UpstreamName[],
    isAvailable: (name: UpstreamName) => boolean,
  ): UpstreamName | undefined {
    return this.#engineChoice.chooseLeastLoaded(names, isAvailable);
  }

  async #run(attempts: Attempts): Promise<UpstreamResponse> {
    this.#retryBudget.recordRequest();
    const tried = new Set<UpstreamName>();
    let lastError: UpstreamError | undefined;
    let worst: Verdict = "not_run";
    let mayHaveRun = 0;
    for (let attempt = 1;; attempt++) {
      const upstream = this.#choose(attempts, tried);
      if (upstream === undefined) {
        throw lastError ? withVerdict(lastError, worst) : noUpstreamError();
      }
      if (tried.has(upstream)) await sleep(repeatDelayMilliseconds);
      tried.add(upstream);
      try {
        const answer = await this.#attempt(attempts, upstream);
        this.#options.onAttempt?.({
          outcome: "answered",
          isRetry: attempt > 1,
        });
        return answer;
      } catch (error) {
        if (error instanceof CallerError) {
          throw withCallerVerdict(error, worst);
        }
        if (!(error instanceof UpstreamError)) throw error;
        this.#options.onAttempt?.({
          outcome: error.code,
          isRetry: attempt > 1,
        });
        this.#health.recordFailure(upstream, error);
        lastError = error;
        if (verdictRank[error.verdict] > verdictRank[worst]) {
          worst = error.verdict;
        }
        if (error.verdict !== "not_run") mayHaveRun += 1;
        const mayRetry = error.code !== "upstream_call_aborted" &&
          error.code !== "upstream_request_invalid" &&
          (error.verdict === "not_run" || attempts.isRepeatable);
        if (
          !mayRetry || attempt >= maximumAttempts ||
          mayHaveRun >= maximumAttemptsThatMayHaveRun ||
          !this.#retryBudget.tryRetry()
        ) throw withVerdict(error, worst);
      }
    }
  }

  /**
   * Upstreams that are backed off are used only when no other is left: refusing every request
   * would be worse than probing.
   */
  #choose(
    attempts: Attempts,
    tried: ReadonlySet<UpstreamName>,
  ): UpstreamName | undefined {
    const { upstreams } = this.#options;
    const isUntried = (name: UpstreamName) =>
      upstreams.isLive(name) && !tried.has(name);
    return attempts.choose((name) =>
      isUntried(name) && this.#health.isAvailable(name)
    ) ?? attempts.choose(isUntried) ??
      attempts.choose((name) => upstreams.isLive(name));
  }

  /** Runs up to the first chunk of the body, after which nothing can be sent again. */
  async #attempt(
    attempts: Attempts,
    upstream: UpstreamName,
  ): Promise<UpstreamResponse> {
    attempts.checkBeforeAttempt();
    const startedAt = this.#clock.monotonicNow();
    const finish = this.#options.capacity.onlineStarted(upstream);
    this.#health.recordStart(upstream);
    try {
      const answer = await this.#options.caller.call(attempts.build(upstream));
      const start = await startReading(answer.body, attempts.isReadWhole);
      this.#health.recordAnswer(upstream);
      this.#options.onFirstToken?.({
        upstream,
        isStreamed: attempts.isStreamed,
        milliseconds: this.#clock.monotonicNow() - startedAt,
      });
      const body = new TrackedBody(start, {
        onEnd: () => this.#health.recordSuccess(upstream),
        onError: (error) => {
          if (error instanceof UpstreamError) {
            this.#health.recordFailure(upstream, error);
          }
        },
        onFinish: finish,
      });
      return { ...answer, body };
    } catch (error) {
      finish();
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

/** An earlier attempt may have run even if the last one did not. */
function withVerdict(error: UpstreamError, verdict: Verdict): UpstreamError {
  if (error.verdict === verdict) return error;
  return new UpstreamError(error.code, error.message, {
    verdict,
    cause: error,
    ...(error.status === undefined ? {} : { status: error.status }),
  });
}

function withCallerVerdict(error: CallerError, verdict: Verdict): CallerError {
  if (verdictRank[verdict] <= verdictRank[error.verdict]) return error;
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
