/**
 * One online request from admission to answer, sent to servers in turn as the route allows. An
 * attempt that did not run may always be retried, one that may have run only on idempotent routes
 * and resumable streams, which continue elsewhere after the last whole event, in the same answer.
 */

import type { Buffer } from "node:buffer";
import type { InstanceId, UpstreamName } from "../common/ids.ts";
import { allowedRegionsOf } from "../fleet/regions.ts";
import { AnswerMeter } from "../fleet/speed/answer-meter.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import { AnswerRelay } from "./answer-relay.ts";
import { examineAttempt, logFailedAttempt } from "./attempt-examination.ts";
import {
  attemptTimeouts,
  crashBeforeEndFailure,
  failureOfHead,
  mayRunAgain,
  roomElsewhereFailure,
  waitToleranceOf,
} from "./attempt-rules.ts";
import type { AnswerHead } from "./caller-request.ts";
import type { ErrorAnswer } from "./error-answer.ts";
import {
  additionalRefusals,
  minimumRemainingMilliseconds,
  rerouteAfterObjectives,
} from "./constants.ts";
import { freeSlots, type NoServer, type SendChoice } from "./choose-server.ts";
import type { OnlineRequestOptions } from "./online-request-options.ts";
import type { ChoiceRequest } from "./online-services.ts";
import type { Placement } from "./placement.ts";
import { PlacementWait, type ServerAtLimit } from "./placement-wait.ts";
import { QueueWatch } from "./queue-watch.ts";
import {
  capacityError,
  deadlineError,
  limitError,
  noServerError,
  serverFailedError,
  stoppedError,
} from "./request-errors.ts";
import type { RetryAfterOptions } from "./retry-after.ts";
import { type AttemptFailure, ServerAttempt } from "./server-attempt.ts";
import { TriedServers } from "./tried-servers.ts";

export class OnlineRequest {
  readonly #options: OnlineRequestOptions;
  readonly #service: UpstreamName;
  readonly #allowedRegions: readonly string[] | undefined;
  readonly #deadline: number;
  readonly #tried = new TriedServers();
  #attempt: ServerAttempt | undefined;
  #server: InstanceId | undefined;
  #upstream: UpstreamServer | undefined;
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
  readonly #relay: AnswerRelay;
  readonly #wait: PlacementWait;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #queueWatch: QueueWatch | undefined;
  #meter: AnswerMeter | undefined;

  constructor(options: OnlineRequestOptions) {
    this.#options = options;
    const { route, received, services, workspace } = options;
    this.#allowedRegions = allowedRegionsOf(route, workspace);
    this.#service = services.chooseService(route, {
      allowedRegions: this.#allowedRegions,
    });
    const timeoutMilliseconds = Math.min(
      received.request.deadlineMilliseconds ?? route.timeoutMilliseconds,
      route.timeoutMilliseconds,
    );
    this.#deadline = received.receivedAt + timeoutMilliseconds;
    this.#relay = new AnswerRelay({
      response: options.response,
      isStream: route.kind === "streaming",
      hasNoBody: received.request.method === "HEAD",
      isRetryable: this.#isRetryable,
      lastEventId: received.request.lastEventId,
      openHolding: () => services.openAnswerHolding(options.workspace?.id),
      onWrite: () => this.#recordFirstBytes(),
      onFull: () => this.#pauseAttempt(),
    });
    this.#wait = new PlacementWait({
      ...services,
      queue: services.sendQueue,
      service: this.#service,
      requestId: received.request.id ?? "",
      deadline: this.#deadline,
      objectiveMilliseconds: route.latencyObjectiveMilliseconds,
      retry: () => this.#tryNextServer(),
      countHeld: services.countHeldSend,
    });
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
    return mayRunAgain(this.#options.route);
  }

  #tryNextServer(): void {
    const { services, route, received: { request } } = this.#options;
    if (this.#isOver) return;
    const remaining = this.#deadline - services.now();
    if (remaining < minimumRemainingMilliseconds) return this.#handleDeadline();
    if (this.#possibleRuns >= route.maximumAttempts) {
      return this.#giveUp("the route allows no further attempt");
    }
    const choice = this.#choiceRequest();
    if (this.#wait.joinQueue(choice.waitTolerance)) return;
    services.placer.place({
      ...choice,
      requestId: request.id ?? "",
      sharedPromptParts: request.sharedPromptParts,
      ownPromptPart: request.ownPromptPart,
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
      if (placement.kind === "send") placer.withdraw(placement);
      return;
    }
    switch (placement.kind) {
      case "none":
        if (this.#wait.waitForRoom(placement, this.#choiceRequest())) return;
        return this.#giveUp("no server is available", placement);
      case "full":
        return this.#fail(
          capacityError(this.#retryOptions(placement.expectedWaitMilliseconds)),
        );
      case "at_limits":
        return this.#waitForLimit(placement);
      case "held":
        if (this.#wait.waitForTrial()) return;
        return this.#giveUp(`part ${placement.part} of the prompt is on trial`);
      case "quarantined":
        this.#close();
        return this.#options.refuseForPart(placement);
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
    const purpose = { allowedRegions: this.#allowedRegions };
    if (!server || services.standingRefusal(server, purpose)) {
      // The coordinator that chose the server may not know that nothing may be sent there.
      services.placer.withdraw(choice);
      this.#tried.excluded.add(choice.server.id);
      this.#refusals += 1;
      if (this.#hasTooManyRefusals()) {
        return this.#giveUp("nothing may be sent to the chosen servers");
      }
      return this.#tryNextServer();
    }
    const remaining = this.#deadline - services.now();
    const { request, body } = received;
    this.#server = server.id;
    this.#upstream = server;
    this.#choice = choice;
    this.#attemptStart = services.now();
    this.#relay.startAttempt();
    this.#meter = services.recordAnswerTime && new AnswerMeter({
      ...services,
      server,
      paceKind: "online_pace",
      sentAt: freeSlots(choice.server) > 0 ? this.#attemptStart : undefined,
      record: services.recordAnswerTime,
    });
    const attempt = new ServerAttempt({
      pool: services.poolOf(server),
      method: request.method,
      target: request.target,
      headers: services.codec.encodeServerHeaders(request, body.length, {
        remainingMilliseconds: Math.max(1, Math.floor(remaining)),
        server: server.id,
        workspace: workspace?.id,
        lastEventId: this.#relay.lastEventId,
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
      onStatement: (...statement) =>
        services.recordStatement(server, ...statement),
      onConnectionRefused: () => services.recordRefusedConnection(server),
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
      allowedRegions: this.#allowedRegions,
      service: this.#service,
      ...this.#tried,
      objectiveMilliseconds: route.latencyObjectiveMilliseconds,
      waitTolerance: waitToleranceOf(this.#possibleRuns, isLikelyRetry),
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
        this.#handleFailure(attempt, roomElsewhereFailure(isServerIdle)),
    });
    this.#queueWatch.start();
  }

  #handleHead(attempt: ServerAttempt, head: AnswerHead): void {
    if (attempt !== this.#attempt || this.#isOver) return;
    const failure = failureOfHead(head, {
      mayMove: this.#mayMove,
      hasBegun: this.#options.response.hasBegun,
    });
    if (failure) return this.#handleFailure(attempt, failure);
    this.#queueWatch?.stop();
    this.#relay.acceptHead(head);
  }

  /** True if the request may go to another server although it may have run at the present one. */
  get #mayMove(): boolean {
    return this.#isRetryable &&
      this.#possibleRuns + 1 < this.#options.route.maximumAttempts;
  }

  #handleData(attempt: ServerAttempt, chunk: Buffer): boolean {
    if (attempt !== this.#attempt || this.#isOver) return false;
    const hadBegun = this.#relay.hasBegunAnswer;
    const result = this.#relay.add(chunk);
    if (!hadBegun && this.#relay.hasBegunAnswer) this.#recordBegin();
    this.#meter?.update(this.#relay.eventsOfAttempt);
    if (typeof result === "boolean") return result;
    this.#handleFailure(attempt, result);
    return false;
  }

  #recordBegin(): void {
    const { services, received } = this.#options;
    services.quarantine.recordBegin(
      received.request.sharedPromptParts,
      this.#service,
      {
        isTrial: this.#choice?.isTrial ?? false,
        ownPart: received.request.ownPromptPart,
      },
    );
  }

  /** Stops reading from the server until the caller has caught up. */
  #pauseAttempt(): void {
    const attempt = this.#attempt;
    attempt?.pause();
    this.#meter?.interrupt();
    this.#options.response.onDrain(() => attempt?.resume());
  }

  #recordFirstBytes(): void {
    if (this.#firstBytesAt !== undefined) return;
    const { services, received, workspace } = this.#options;
    this.#firstBytesAt = services.now();
    services.recordFirstBytes(received, workspace?.id ?? "");
  }

  #handleEnd(attempt: ServerAttempt): void {
    if (attempt !== this.#attempt || this.#isOver) return;
    const failure = this.#relay.checkEnd();
    if (failure) return this.#handleFailure(attempt, failure);
    if (!attempt.endsWithConnection) return this.#complete();
    // The end of the connection is the end of the answer, unless the server has crashed.
    this.#options.services.examineServer(this.#upstream!, undefined)
      .then((hasCrashed) => {
        if (attempt !== this.#attempt || this.#isOver) return;
        if (!hasCrashed) return this.#complete();
        this.#handleFailure(attempt, crashBeforeEndFailure);
      }).catch((error) => this.#handleError(error));
  }

  #complete(): void {
    const { services } = this.#options;
    const { status } = this.#relay.head!;
    this.#relay.complete();
    this.#releaseAttempt();
    if (status >= 500) {
      services.recordFailure(this.#server!);
      return this.#finish("server_error");
    }
    services.recordSuccess(this.#server!, services.now() - this.#attemptStart);
    this.#finish("served");
  }

  #handleFailure(attempt: ServerAttempt, failure: AttemptFailure): void {
    if (attempt !== this.#attempt || this.#isOver) return;
    const { services, received, response } = this.#options;
    const runMilliseconds = services.now() - this.#attemptStart;
    const { hasBegunAnswer } = this.#relay;
    attempt.cancel();
    this.#releaseAttempt();
    const { id, sharedPromptParts, ownPromptPart } = received.request;
    const examination = examineAttempt(services, {
      upstream: this.#upstream!,
      failure,
      suspect: hasBegunAnswer ? undefined : {
        request: id ?? "",
        sharedPromptParts,
        ownPromptPart,
        runMilliseconds,
      },
    });
    this.#tried.add(this.#server!, failure);
    if (failure.verdict === "not_run") this.#refusals += 1;
    else this.#possibleRuns += 1;
    const mayRetry = failure.verdict === "not_run" || this.#isRetryable;
    logFailedAttempt(services.logger, {
      request: received.request,
      upstream: this.#upstream!,
      failure,
      relay: this.#relay,
      repeats: mayRetry,
      milliseconds: runMilliseconds,
    });
    if (!mayRetry) return this.#fail(serverFailedError);
    if (this.#relay.isCommitted) {
      response.abort();
      return this.#finish("broken_off");
    }
    if (this.#hasTooManyRefusals()) {
      return this.#giveUp("too many servers refused");
    }
    // A request that may have crashed its server is judged by the report of the crash.
    if (failure.isConnectionBroken && !hasBegunAnswer) {
      examination.then(() => this.#tryNextServer())
        .catch((error) => this.#handleError(error));
    } else {
      this.#tryNextServer();
    }
  }

  #waitForLimit(atLimit: ServerAtLimit): void {
    const { waitTolerance } = this.#choiceRequest();
    if (this.#wait.waitForLimit(atLimit, waitTolerance)) return;
    this.#fail(limitError(this.#retryOptions(atLimit.budget.waitMilliseconds)));
  }

  #hasTooManyRefusals(): boolean {
    const { maximumAttempts } = this.#options.route;
    return this.#refusals > maximumAttempts + additionalRefusals;
  }

  #retryOptions(expectedWaitMilliseconds: number): RetryAfterOptions {
    const { services } = this.#options;
    return {
      expectedWaitMilliseconds,
      remainingMilliseconds: this.#deadline - services.now(),
      random: services.random,
    };
  }

  #giveUp(reason: string, { waitMilliseconds }: NoServer = {}): void {
    const mayHaveRun = this.#possibleRuns > 0;
    this.#fail(noServerError(reason, { mayHaveRun, waitMilliseconds }));
  }

  #handleDeadline(): void {
    if (this.#isOver) return;
    if (this.#attempt && this.#server) {
      this.#options.services.recordFailure(this.#server);
    }
    this.#end("the deadline has passed", deadlineError);
  }

  /** Gives the request its final answer, since the instance stops. */
  stop(): void {
    if (!this.#isOver) this.#end("the instance stops", stoppedError);
  }

  #end(reason: string, answerIfRun: ErrorAnswer): void {
    const mayHaveRun = this.#possibleRuns > 0 ||
      this.#attempt?.wasSent === true;
    if (mayHaveRun) this.#fail(answerIfRun);
    else this.#giveUp(reason);
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
    const attempt = this.#attempt;
    if (!attempt) return;
    this.#queueWatch?.stop();
    this.#attempt = undefined;
    const { placer } = this.#options.services;
    if (attempt.wasSent) placer.releaseSlot(this.#server!);
    else placer.withdraw(this.#choice!);
  }

  #close(): void {
    this.#isOver = true;
    this.#relay.dispose();
    this.#options.onOver();
    clearTimeout(this.#deadlineTimer);
    this.#wait.cancel();
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
