/**
 * One online request from admission to answer, sent to servers in turn as the route allows. An
 * attempt that did not run may always be retried, one that may have run only on idempotent routes
 * and resumable streams, which continue elsewhere after the last whole event, in the same answer.
 */

import { Buffer } from "node:buffer";
import type { InstanceId, UpstreamName } from "../common/ids.ts";
import type { RouteRule, WorkspaceRule } from "../fleet/configuration.ts";
import { attemptTimeouts, failureOfHead } from "./attempt-rules.ts";
import type { AnswerHead, ReceivedRequest } from "./caller-request.ts";
import type { CallerResponse, ErrorAnswer } from "./caller-response.ts";
import {
  defaultRetryAfterMilliseconds,
  minimumRemainingMilliseconds,
  rerouteAfterObjectives,
} from "./constants.ts";
import { EventSplitter, type StreamEvent } from "./event-splitter.ts";
import { HeldAnswer } from "./held-answer.ts";
import type { SendChoice } from "./choose-server.ts";
import type { ChoiceRequest, OnlineServices } from "./online-services.ts";
import type { Placement } from "./placement.ts";
import { QueueWatch } from "./queue-watch.ts";
import { chooseRetryAfter } from "./retry-after.ts";
import { type AttemptFailure, ServerAttempt } from "./server-attempt.ts";

export interface OnlineRequestOptions {
  readonly received: ReceivedRequest;
  readonly route: RouteRule;
  readonly workspace: WorkspaceRule | undefined;
  readonly response: CallerResponse;
  readonly services: OnlineServices;
  /** The workspace against whose limit the request counts; undefined if there is no limit. */
  readonly limitedWorkspace: WorkspaceRule | undefined;
  /** Answers a request that exceeds the limit of its workspace. */
  readonly refuseForLimit: (
    placement: Extract<Placement, { kind: "limited" }>,
  ) => void;
  /** The caller has likely sent this request before and was refused or got a failure. */
  readonly isLikelyRetry: boolean;
}

/**
 * Relay of an answer. `direct`: as it arrives. `held`: once complete, to allow retries until then.
 * `events`: in whole events, so that the stream can be resumed at another server.
 */
type RelayMode = "direct" | "held" | "events";

export class OnlineRequest {
  readonly #options: OnlineRequestOptions;
  readonly #service: UpstreamName;
  readonly #deadline: number;
  readonly #excluded = new Set<InstanceId>();
  #attempt: ServerAttempt | undefined;
  #server: InstanceId | undefined;
  #choice: SendChoice | undefined;
  /** How often displacement of batch runs was requested after the request was sent. */
  #displacementRequests = 0;
  #attemptStart = 0;
  /** Failed attempts after which the request may have run. */
  #possibleRuns = 0;
  /** Failed attempts that have not run. */
  #refusals = 0;
  #isAdmitted = false;
  #isOver = false;
  #firstBytesAt: number | undefined;
  #head: AnswerHead | undefined;
  /** The server of the present attempt has sent content of its answer. */
  #hasServerBegun = false;
  #splitter = new EventSplitter();
  readonly #held = new HeldAnswer();
  #lastEventId: number | undefined;
  #mode: RelayMode = "direct";
  #deadlineTimer: NodeJS.Timeout | undefined;
  #queueWatch: QueueWatch | undefined;

  constructor(options: OnlineRequestOptions) {
    this.#options = options;
    const { route, received, services } = options;
    this.#service = services.chooseService(route);
    const timeoutMilliseconds = Math.min(
      received.request.deadlineMilliseconds ?? route.timeoutMilliseconds,
      route.timeoutMilliseconds,
    );
    this.#deadline = received.receivedAt + timeoutMilliseconds;
    this.#lastEventId = received.request.lastEventId;
  }

  start(): void {
    const { response, services } = this.#options;
    response.onDisconnect(() => this.#handleDisconnect());
    this.#deadlineTimer = setTimeout(
      () => this.#handleDeadline(),
      Math.max(0, this.#deadline - services.now()),
    );
    this.#tryNextServer();
  }

  /** True if the request may be sent again although it may have run. */
  get #isRetryable(): boolean {
    const { route } = this.#options;
    return route.kind === "idempotent" ||
      (route.kind === "streaming" && route.isResumable);
  }

  #tryNextServer(): void {
    const { services, route } = this.#options;
    if (this.#isOver) return;
    const remaining = this.#deadline - services.now();
    if (remaining < minimumRemainingMilliseconds) return this.#handleDeadline();
    if (this.#possibleRuns >= route.maximumAttempts) {
      return this.#giveUp("the route allows no further attempt");
    }
    services.placer.place({
      ...this.#choiceRequest(),
      limitedWorkspace: this.#isAdmitted
        ? undefined
        : this.#options.limitedWorkspace,
    }).then((placement) => this.#handlePlacement(placement))
      .catch((error) => this.#handleError(error));
  }

  /** Answers a request that failed by an error of this instance. */
  #handleError(error: unknown): void {
    if (this.#isOver) return;
    const { services, received } = this.#options;
    services.logger.error("a request could not be sent", {
      request: received.request.id ?? null,
      server: this.#server ?? null,
      reason: String(error),
    });
    if (this.#attempt?.wasSent) this.#possibleRuns += 1;
    this.#giveUp("the request could not be sent");
  }

  #handlePlacement(placement: Placement): void {
    const { placer } = this.#options.services;
    if (this.#isOver) {
      if (placement.kind === "send") placer.releaseSlot(placement.server.id);
      return;
    }
    switch (placement.kind) {
      case "none":
        return this.#giveUp("no server is available");
      case "full":
        return this.#refuseForCapacity(placement.expectedWaitMilliseconds);
      case "limited":
        this.#close();
        return this.#options.refuseForLimit(placement);
      case "send":
        this.#isAdmitted = true;
        return this.#send(placement);
    }
  }

  #send(choice: SendChoice): void {
    const { services, workspace, received } = this.#options;
    const server = services.findServer(choice.server.id);
    if (!server) {
      // The server has left since it was chosen, so the request has not been sent to it.
      services.placer.releaseSlot(choice.server.id);
      this.#excluded.add(choice.server.id);
      this.#refusals += 1;
      if (this.#hasTooManyRefusals()) {
        return this.#giveUp("the chosen servers are no longer listed");
      }
      return this.#tryNextServer();
    }
    const remaining = this.#deadline - services.now();
    const { request, body } = received;
    this.#server = server.id;
    this.#choice = choice;
    this.#attemptStart = services.now();
    this.#splitter = new EventSplitter();
    this.#head = undefined;
    this.#hasServerBegun = false;
    const attempt = new ServerAttempt({
      pool: services.poolOf(server),
      method: request.method,
      target: request.target,
      headers: services.codec.encodeServerHeaders(request, body.length, {
        remainingMilliseconds: Math.max(1, Math.floor(remaining)),
        server: server.id,
        workspace: workspace?.id,
        lastEventId: this.#lastEventId,
      }),
      body,
      requestId: request.id ?? "",
      decodeHead: services.codec.decodeAnswerHead,
      ...attemptTimeouts({
        route: this.#options.route,
        remainingMilliseconds: remaining,
        mayMove: this.#mayMove,
      }),
    }, {
      onHead: (head) => this.#handleHead(attempt, head),
      onData: (chunk) => this.#handleData(attempt, chunk),
      onEnd: () => this.#handleEnd(attempt),
      onFailure: (failure) => this.#handleFailure(attempt, failure),
    });
    this.#attempt = attempt;
    this.#watchQueue(attempt, server.id);
    attempt.start();
  }

  #choiceRequest(): ChoiceRequest {
    const { route, isLikelyRetry } = this.#options;
    return {
      service: this.#service,
      excluded: this.#excluded,
      objectiveMilliseconds: route.latencyObjectiveMilliseconds,
      waitTolerance: this.#possibleRuns > 0
        ? "any"
        : isLikelyRetry
        ? "late"
        : "in_time",
    };
  }

  #watchQueue(attempt: ServerAttempt, server: InstanceId): void {
    const { services, route } = this.#options;
    this.#queueWatch = new QueueWatch({
      placer: services.placer,
      server,
      moveAt: this.#attemptStart +
        route.latencyObjectiveMilliseconds * rerouteAfterObjectives,
      now: services.now,
      roomRequest: () =>
        this.#mayMove ? { ...this.#choiceRequest(), server } : undefined,
      onRoomRequested: () => this.#displacementRequests += 1,
      onRoomElsewhere: ({ isServerIdle }) =>
        this.#handleFailure(attempt, {
          verdict: "unknown",
          reason:
            "the server has not begun to answer and another has a free slot",
          // A server with a free slot should have begun; a full one is only busy.
          isServerFault: isServerIdle,
        }),
    });
    this.#queueWatch.start();
  }

  #handleHead(attempt: ServerAttempt, head: AnswerHead): void {
    if (attempt !== this.#attempt || this.#isOver) return;
    const { services, route } = this.#options;
    if (head.load !== undefined) {
      services.recordReportedLoad(this.#server!, head.load);
    }
    const failure = failureOfHead(head, {
      mayMove: this.#mayMove,
      hasBegun: this.#options.response.hasBegun,
    });
    if (failure) return this.#handleFailure(attempt, failure);
    this.#queueWatch?.stop();
    this.#head = head;
    this.#held.release();
    this.#mode = "direct";
    if (head.status === 200 && this.#isRetryable) {
      this.#mode = route.kind === "streaming" ? "events" : "held";
    }
    if (this.#mode === "direct") this.#begin(head);
  }

  /** True if the request may go to another server although it may have run at the present one. */
  get #mayMove(): boolean {
    return this.#isRetryable &&
      this.#possibleRuns + 1 < this.#options.route.maximumAttempts;
  }

  #begin(head: AnswerHead): void {
    const { response } = this.#options;
    if (!response.hasBegun) response.begin(head.status, head.forwardedHeaders);
  }

  /** Returns true if the answer has progressed, which for a stream takes a whole event. */
  #handleData(attempt: ServerAttempt, chunk: Buffer): boolean {
    if (attempt !== this.#attempt || this.#isOver) return false;
    this.#hasServerBegun = true;
    if (this.#mode === "events") return this.#handleEventData(attempt, chunk);
    if (this.#mode !== "held") this.#write(chunk);
    else if (this.#held.add(chunk)) this.#releaseHeld();
    return true;
  }

  #handleEventData(attempt: ServerAttempt, chunk: Buffer): boolean {
    const wholeEvents: Buffer[] = [];
    for (const event of this.#splitter.push(chunk)) {
      if (!this.#isNextEvent(event)) {
        if (wholeEvents.length > 0) this.#writeEvents(wholeEvents);
        this.#handleFailure(attempt, {
          verdict: "ran",
          reason: `event ${event.id} does not follow ${this.#lastEventId}`,
          isServerFault: true,
        });
        return false;
      }
      if (event.id !== undefined) this.#lastEventId = event.id;
      wholeEvents.push(event.bytes);
    }
    if (wholeEvents.length > 0) this.#writeEvents(wholeEvents);
    if (this.#splitter.isOversized) {
      this.#handleFailure(attempt, {
        verdict: "ran",
        reason: "an event of the stream does not end",
        isServerFault: true,
      });
    }
    return wholeEvents.length > 0;
  }

  #isNextEvent(event: StreamEvent): boolean {
    return event.id === undefined || this.#lastEventId === undefined ||
      event.id === this.#lastEventId + 1;
  }

  #writeEvents(events: Buffer[]): void {
    this.#begin(this.#head!);
    this.#write(events.length === 1 ? events[0]! : Buffer.concat(events));
  }

  #write(bytes: Buffer): void {
    const { response } = this.#options;
    this.#recordFirstBytes();
    if (response.write(bytes)) return;
    const attempt = this.#attempt;
    attempt?.pause();
    response.onDrain(() => attempt?.resume());
  }

  #recordFirstBytes(): void {
    if (this.#firstBytesAt !== undefined) return;
    const { services, received, workspace } = this.#options;
    this.#firstBytesAt = services.now();
    services.recordFirstBytes(received, workspace?.id ?? "");
  }

  #releaseHeld(): void {
    this.#begin(this.#head!);
    this.#mode = "direct";
    for (const chunk of this.#held.release()) this.#write(chunk);
  }

  #handleEnd(attempt: ServerAttempt): void {
    if (attempt !== this.#attempt || this.#isOver) return;
    const { services, response } = this.#options;
    if (this.#mode === "events" && this.#splitter.pendingBytes > 0) {
      return this.#handleFailure(attempt, {
        verdict: "ran",
        reason: "the stream ended in the middle of an event",
        isServerFault: true,
      });
    }
    if (this.#mode === "held") this.#releaseHeld();
    this.#begin(this.#head!);
    response.end();
    this.#releaseAttempt();
    if (this.#head!.status >= 500) {
      services.recordFailure(this.#server!);
      return this.#finish("server_error");
    }
    services.recordSuccess(this.#server!, services.now() - this.#attemptStart);
    this.#finish("served");
  }

  #handleFailure(attempt: ServerAttempt, failure: AttemptFailure): void {
    if (attempt !== this.#attempt || this.#isOver) return;
    const { services, received, response } = this.#options;
    const server = this.#server!;
    attempt.cancel();
    this.#releaseAttempt();
    if (failure.isServerFault) services.recordFailure(server);
    this.#excluded.add(server);
    if (failure.verdict === "not_run") this.#refusals += 1;
    else this.#possibleRuns += 1;
    const mayRetry = failure.verdict === "not_run" || this.#isRetryable;
    services.logger.info("an attempt failed", {
      request: received.request.id ?? null,
      server,
      verdict: failure.verdict,
      reason: failure.reason,
      repeats: mayRetry,
      lastEvent: this.#lastEventId ?? null,
      status: this.#head?.status ?? null,
      hasBegun: this.#hasServerBegun,
      milliseconds: Math.round(services.now() - this.#attemptStart),
      promptParts: received.request.sharedPromptParts.join(" "),
    });
    if (!mayRetry) {
      return this.#fail({
        status: 502,
        code: "server_failed",
        message: "the server failed and the request may have run",
      });
    }
    if (response.hasBegun && this.#mode === "direct") {
      response.abort();
      return this.#finish("broken_off");
    }
    if (this.#hasTooManyRefusals()) {
      return this.#giveUp("too many servers refused");
    }
    this.#tryNextServer();
  }

  #hasTooManyRefusals(): boolean {
    const { maximumAttempts } = this.#options.route;
    return this.#refusals > maximumAttempts + additionalRefusals;
  }

  #refuseForCapacity(waitMilliseconds: number): void {
    const { services } = this.#options;
    this.#fail({
      status: 503,
      code: "no_capacity",
      message: "all servers are full; the request has not run",
      retryAfterMilliseconds: chooseRetryAfter({
        expectedWaitMilliseconds: waitMilliseconds,
        remainingMilliseconds: this.#deadline - services.now(),
        random: services.random,
      }),
    });
  }

  #giveUp(reason: string): void {
    if (this.#possibleRuns > 0) {
      return this.#fail({
        status: 502,
        code: "servers_failed",
        message: `${reason}; the request may have run`,
      });
    }
    this.#fail({
      status: 503,
      code: "no_server",
      message: `${reason}; the request has not run`,
      retryAfterMilliseconds: defaultRetryAfterMilliseconds,
    });
  }

  #handleDeadline(): void {
    if (this.#isOver) return;
    const mayHaveRun = this.#possibleRuns > 0 ||
      this.#attempt?.wasSent === true;
    if (this.#attempt && this.#server) {
      this.#options.services.recordFailure(this.#server);
    }
    if (!mayHaveRun) return this.#giveUp("the deadline has passed");
    this.#fail({
      status: 504,
      code: "deadline",
      message: "no complete answer before the deadline",
    });
  }

  #handleDisconnect(): void {
    if (this.#isOver) return;
    this.#attempt?.cancel();
    this.#releaseAttempt();
    this.#finish("caller_left");
  }

  #fail(answer: ErrorAnswer): void {
    this.#attempt?.cancel();
    this.#releaseAttempt();
    this.#options.response.fail(answer);
    this.#finish(answer.code);
  }

  #releaseAttempt(): void {
    if (!this.#attempt) return;
    this.#queueWatch?.stop();
    this.#attempt = undefined;
    this.#options.services.placer.releaseSlot(this.#server!);
  }

  #close(): void {
    this.#isOver = true;
    clearTimeout(this.#deadlineTimer);
    this.#queueWatch?.stop();
  }

  #finish(outcome: string): void {
    if (this.#isOver) return;
    this.#close();
    const { services, received, route, workspace } = this.#options;
    services.recordOutcome({
      received,
      route,
      workspace: workspace?.id ?? "",
      outcome,
      server: this.#server,
      choice: this.#choice,
      displacementRequests: this.#displacementRequests,
      firstBytesAt: this.#firstBytesAt,
      runs: this.#possibleRuns,
      refusals: this.#refusals,
    });
  }
}

/** Attempts that did not run which are tolerated beyond the route's maximum of attempts. */
const additionalRefusals = 3;
