/**
 * One attempt of a request at one server. It reports the head, the bytes and the end of the
 * answer, or a failure with a verdict on whether the request may have run. An answer that carries
 * the id of another request is never passed on, and its connection is closed.
 */

import type { Buffer } from "node:buffer";
import type { Verdict } from "../common/verdict.ts";
import type {
  ServerStatement,
  StatementEvidence,
} from "../fleet/server-statement.ts";
import {
  isConnectionFailing,
  type ResponseController,
} from "../transport/connection-pool.ts";
import type { RequestDispatcher } from "../transport/renewable-pool.ts";
import type { AnswerHead } from "./caller-request.ts";
import {
  connectionWaitMilliseconds,
  maximumInterimAnswers,
} from "./constants.ts";

export interface AttemptFailure {
  readonly verdict: Verdict;
  readonly reason: string;
  /** True if the server was silent, unreachable or failed while answering; false for a refusal. */
  readonly isServerFault: boolean;
  /** The connection ended after the request was sent, so that the server may have crashed. */
  readonly isConnectionBroken?: boolean;
  /** The attempt was given up since the request would begin sooner at another server. */
  readonly isMove?: boolean;
}

export interface AttemptListener {
  /** Called for the head of each answer to the request, also of an interim one or a refusal. */
  onStatement(statement: ServerStatement, evidence: StatementEvidence): void;
  /** Called if the server refuses a connection: it is down. */
  onConnectionRefused(): void;
  onHead(head: AnswerHead): void;
  /**
   * Returns true if the answer has progressed. Bytes without progress do not restart the idle
   * timeout, so that a stalled answer is not kept alive by a byte now and then.
   */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

export interface AttemptOptions {
  readonly pool: RequestDispatcher;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly requestId: string;
  /** Decodes status and headers of the answer. */
  readonly decodeHead: (
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ) => AnswerHead;
  /** Longest silence before the head. */
  readonly headTimeoutMilliseconds: number;
  /** Longest silence after the head or between two chunks. */
  readonly bodyIdleTimeoutMilliseconds: number;
}

/** Status codes are valid from 100 to 599, those of final answers from 200 (RFC 9110, section 15). */
const minimumStatus = 100;
const minimumFinalStatus = 200;
const maximumStatus = 599;

function isRejectedByClient(error: Error): boolean {
  return "code" in error && error.code === "UND_ERR_INVALID_ARG";
}

/**
 * After a pause of the process, expired timers are handled before the events that have arrived in
 * time. An expired timer therefore has its effect only after these events, lest a pause of this
 * process counts as silence of the server.
 */
export class ServerAttempt {
  readonly #options: AttemptOptions;
  readonly #listener: AttemptListener;
  #controller: ResponseController | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  /** Duration of the idle timer, which is restarted for every chunk. */
  #idleMilliseconds: number | undefined;
  #connectionTimer: NodeJS.Timeout | undefined;
  /** Pending while the idle timer has expired and data may have arrived nevertheless. */
  #silenceCheck: NodeJS.Immediate | undefined;
  #isOver = false;
  #wasSent = false;
  #sentAt = 0;
  #isPaused = false;
  #interimAnswers = 0;
  #endsWithConnection = false;

  constructor(options: AttemptOptions, listener: AttemptListener) {
    this.#options = options;
    this.#listener = listener;
  }

  /** True once sending on a connection has begun, so that the request may have run. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** True if only the end of the connection marks the end of the answer. */
  get endsWithConnection(): boolean {
    return this.#endsWithConnection;
  }

  start(): void {
    const { pool, method, target, headers, body } = this.#options;
    this.#restartIdleTimer(this.#options.headTimeoutMilliseconds);
    this.#connectionTimer = setTimeout(
      () => setImmediate(() => this.#handleConnectionTimeout()),
      connectionWaitMilliseconds,
    );
    pool.dispatch({
      method: method as "GET",
      path: target,
      headers,
      body: body.length > 0 ? body : null,
    }, {
      onRequestStart: (controller) => {
        this.#controller = controller;
        if (this.#isOver) return controller.abort(new Error("cancelled"));
        clearTimeout(this.#connectionTimer);
        if (this.#silenceCheck) {
          this.#restartIdleTimer(this.#options.headTimeoutMilliseconds);
        }
        this.#wasSent = true;
        this.#sentAt = performance.now();
      },
      onResponseStart: (_, status, responseHeaders) =>
        this.#handleHead(status, responseHeaders),
      onResponseData: (_, chunk) => {
        if (this.#isOver) return;
        if (!this.#listener.onData(chunk)) return;
        this.#restartIdleTimer(this.#options.bodyIdleTimeoutMilliseconds);
      },
      onResponseEnd: () => this.#handleEnd(),
      onResponseError: (_, error) => {
        if ("code" in error && error.code === "ECONNREFUSED") {
          this.#listener.onConnectionRefused();
        }
        this.#fail({
          verdict: this.#wasSent ? "unknown" : "not_run",
          reason: error.message,
          // The client may reject the request itself, before anything is sent.
          isServerFault: !isRejectedByClient(error),
          isConnectionBroken: this.#wasSent,
        });
      },
    });
  }

  /** Ends the attempt and closes its connection, upon which the server stops the work. */
  cancel(): void {
    if (this.#finish()) this.#controller?.abort(new Error("cancelled"));
  }

  /** Stops reading while the caller is slow; the idle timeout does not run meanwhile. */
  pause(): void {
    this.#isPaused = true;
    // A cleared timer cannot be refreshed, so that the next restart creates a new one.
    clearTimeout(this.#idleTimer);
    this.#clearSilenceCheck();
    this.#idleMilliseconds = undefined;
    this.#controller?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    if (this.#isOver) return;
    this.#restartIdleTimer(this.#options.bodyIdleTimeoutMilliseconds);
    this.#controller?.resume();
  }

  #handleHead(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.#isOver) return;
    if (status < minimumStatus || status > maximumStatus) {
      return this.#fail({
        verdict: "unknown",
        reason: `${status} is no status of an answer`,
        isServerFault: true,
      });
    }
    if (status < minimumFinalStatus) {
      this.#recordStatement(this.#options.decodeHead(status, headers));
      return this.#countInterimAnswer();
    }
    // An answer to HEAD ends with its head.
    this.#endsWithConnection = this.#options.method !== "HEAD" &&
      headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    const head = this.#options.decodeHead(status, headers);
    if (
      head.requestId !== undefined &&
      head.requestId !== this.#options.requestId
    ) {
      return this.#fail({
        verdict: "unknown",
        reason: "the answer carries the id of another request",
        isServerFault: false,
      });
    }
    if (head.hasNotRun && head.requestId === undefined) {
      // It may be the repeated refusal of an earlier request on the connection.
      return this.#fail({
        verdict: "unknown",
        reason: "a refusal without the id of the request",
        isServerFault: false,
      });
    }
    this.#restartIdleTimer(this.#options.bodyIdleTimeoutMilliseconds);
    this.#recordStatement(head);
    this.#listener.onHead(head);
  }

  #recordStatement({ statement, requestId }: AnswerHead): void {
    if (requestId !== this.#options.requestId) return;
    this.#listener.onStatement(statement, {
      requestId,
      sentAt: this.#sentAt,
      statedAt: performance.now(),
    });
  }

  /** Fails if the server sends interim answers (1xx) without end. */
  #countInterimAnswer(): void {
    this.#interimAnswers += 1;
    if (this.#interimAnswers <= maximumInterimAnswers) return;
    this.#fail({
      verdict: "unknown",
      reason: `more than ${maximumInterimAnswers} interim answers`,
      isServerFault: true,
    });
  }

  /** No connection became available in time, so the request was not sent. */
  #handleConnectionTimeout(): void {
    if (this.#wasSent) return;
    this.#fail({
      verdict: "not_run",
      reason: `no connection within ${connectionWaitMilliseconds} ms`,
      isServerFault: true,
    });
  }

  #handleEnd(): void {
    if (isConnectionFailing()) {
      return this.#fail({
        verdict: "unknown",
        reason: "the connection was reset before the end of the answer",
        isServerFault: true,
        isConnectionBroken: true,
      });
    }
    if (this.#finish()) this.#listener.onEnd();
  }

  #restartIdleTimer(milliseconds: number): void {
    if (this.#isPaused || this.#isOver) return;
    this.#clearSilenceCheck();
    if (milliseconds === this.#idleMilliseconds) {
      this.#idleTimer?.refresh();
      return;
    }
    clearTimeout(this.#idleTimer);
    this.#idleMilliseconds = milliseconds;
    this.#idleTimer = setTimeout(() => {
      this.#silenceCheck = setImmediate(() =>
        this.#handleSilence(milliseconds)
      );
    }, milliseconds);
  }

  #clearSilenceCheck(): void {
    clearImmediate(this.#silenceCheck);
    this.#silenceCheck = undefined;
  }

  #handleSilence(milliseconds: number): void {
    this.#fail({
      verdict: this.#wasSent ? "unknown" : "not_run",
      reason: `no data arrived for ${Math.round(milliseconds)} ms`,
      isServerFault: true,
    });
  }

  #fail(failure: AttemptFailure): void {
    if (!this.#finish()) return;
    this.#controller?.abort(new Error(failure.reason));
    this.#listener.onFailure(failure);
  }

  #finish(): boolean {
    if (this.#isOver) return false;
    this.#isOver = true;
    clearTimeout(this.#idleTimer);
    clearTimeout(this.#connectionTimer);
    this.#clearSilenceCheck();
    return true;
  }
}
