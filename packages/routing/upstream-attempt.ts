/** The state of one attempt at an upstream, from its dispatch to the end of the answer. */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import { UpstreamError } from "../common/errors.ts";
import type { Verdict } from "../common/verdict.ts";
import type { Upstream } from "../control/document.ts";
import { AnswerBody } from "./response-body.ts";
import {
  type AnswerCheck,
  EventStreamCheck,
  JsonAnswerCheck,
} from "./completeness-checks.ts";
import { chatPath, quotedAnswerBytes } from "./constants.ts";
import {
  type IncomingHeaderRecord,
  selectAnswerHeaders,
  selectRequestHeaders,
} from "./forwarded-headers.ts";
import type { UpstreamRequest, UpstreamResponse } from "./upstream-caller.ts";
import type { UpstreamTimeouts } from "./upstream-client.ts";

export interface UpstreamAttemptOptions {
  request: UpstreamRequest;
  upstream: Upstream;
  origin: string;
  dispatcher: Dispatcher;
  timeouts: UpstreamTimeouts;
  /** Called once, when nothing more happens on the connection. */
  onFinished?: () => void;
}

type Phase = "connecting" | "sent" | "answering" | "finished";

const verdicts: Record<Phase, Verdict> = {
  connecting: "not_run",
  sent: "unknown",
  answering: "ran",
  finished: "ran",
};

const notAdmittedHeader = "x-not-admitted";

export class UpstreamAttempt {
  readonly #options: UpstreamAttemptOptions;
  readonly #body: AnswerBody;
  #phase: Phase = "connecting";
  #controller: Dispatcher.DispatchController | undefined;
  #timer: NodeJS.Timeout | undefined;
  #check: AnswerCheck | undefined;
  #refusal: { status: number; isNotAdmitted: boolean } | undefined;
  #refusalText = "";
  #resolve!: (answer: UpstreamResponse) => void;
  #reject!: (error: unknown) => void;
  readonly #onAbort = () =>
    this.#fail("upstream_call_aborted", "the call was aborted");

  constructor(options: UpstreamAttemptOptions) {
    this.#options = options;
    this.#body = new AnswerBody({
      onPause: (isPaused) => this.#pause(isPaused),
      onCancel: () => this.#onAbort(),
    });
  }

  start(): Promise<UpstreamResponse> {
    const { request, origin, dispatcher, timeouts } = this.#options;
    return new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
      if (request.signal?.aborted) {
        this.#onAbort();
        return;
      }
      request.signal?.addEventListener("abort", this.#onAbort);
      this.#startTimer(timeouts.connectMilliseconds, "connect");
      try {
        dispatcher.dispatch({
          origin,
          path: request.path,
          method: request.method as Dispatcher.HttpMethod,
          headers: {
            ...selectRequestHeaders(request.headers),
            "x-request-id": request.requestId,
          },
          body: request.body ?? null,
          // Queuing behind another request would tie the two answers to one connection.
          idempotent: request.isRepeatable,
        }, {
          onRequestStart: (controller) => this.#onRequestStart(controller),
          onResponseStart: (_controller, status, headers) =>
            this.#onResponseStart(status, headers),
          onResponseData: (_controller, chunk) => this.#onResponseData(chunk),
          onResponseEnd: () => this.#onResponseEnd(),
          onResponseError: (_controller, error) => this.#onResponseError(error),
        });
      } catch (cause) {
        this.#fail(
          "upstream_request_invalid",
          "the request cannot be sent to the upstream",
          cause,
        );
      }
    });
  }

  #onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#phase === "finished") {
      controller.abort(new Error("the call has ended"));
      return;
    }
    try {
      this.#options.request.checkBeforeSend?.();
    } catch (error) {
      this.#failWith(error);
      return;
    }
    this.#phase = "sent";
    this.#startTimer(
      this.#options.timeouts.firstByteMilliseconds,
      "first byte",
    );
  }

  #onResponseStart(status: number, headers: IncomingHeaderRecord): void {
    if (this.#phase === "finished" || status < 200) return;
    const { request, upstream, timeouts } = this.#options;
    const isEngine = upstream.kind === "engine";
    const echoed = headers["x-request-id"];
    if (isEngine && echoed !== undefined && echoed !== request.requestId) {
      // The answer belongs to another request; whether this one ran is not known.
      this.#fail(
        "upstream_answer_crossed",
        "the upstream answered another request",
      );
      return;
    }
    const isNotAdmitted = headers[notAdmittedHeader] === "true" &&
      status >= 400;
    if (!isNotAdmitted) this.#phase = "answering";
    this.#startTimer(timeouts.idleMilliseconds, "next byte");
    if (
      isNotAdmitted || (isEngine && (status >= 500 || status === 429))
    ) {
      this.#refusal = { status, isNotAdmitted };
      return;
    }
    if (isEngine && status === 200 && request.method !== "HEAD") {
      this.#check = createCheck(request.path, headers["content-type"]);
    }
    this.#resolve({
      upstream: upstream.name,
      status,
      headers: selectAnswerHeaders(headers),
      body: this.#body,
    });
  }

  #onResponseData(chunk: Uint8Array): void {
    if (this.#phase === "finished") return;
    this.#timer?.refresh();
    if (this.#refusal) {
      if (this.#refusalText.length < quotedAnswerBytes) {
        this.#refusalText += Buffer.from(chunk).toString("utf8");
      }
      return;
    }
    try {
      const ready = this.#check ? this.#check.push(chunk) : chunk;
      if (ready) this.#body.push(ready);
    } catch (error) {
      this.#failWith(error);
    }
  }

  #onResponseEnd(): void {
    if (this.#phase === "finished") return;
    if (this.#refusal) {
      this.#failWithRefusal();
      return;
    }
    try {
      const last = this.#check?.end();
      if (last) this.#body.push(last);
    } catch (error) {
      this.#failWith(error);
      return;
    }
    this.#finish();
    this.#body.end();
  }

  #onResponseError(error: Error): void {
    if (this.#phase === "finished") return;
    const code = this.#phase === "answering"
      ? "upstream_truncated"
      : "upstream_failed";
    this.#fail(code, describeTransportError(error), error);
  }

  #failWithRefusal(): void {
    const { status, isNotAdmitted } = this.#refusal!;
    const { name } = this.#options.upstream;
    const quoted = this.#refusalText.slice(0, quotedAnswerBytes);
    this.#failWith(
      new UpstreamError(
        isNotAdmitted ? "upstream_not_admitted" : "upstream_failed",
        `upstream ${name} answered ${status}${quoted ? `: ${quoted}` : ""}`,
        { verdict: isNotAdmitted ? "not_run" : "ran", status },
      ),
    );
  }

  #fail(code: string, reason: string, cause?: unknown): void {
    if (this.#refusal && this.#phase !== "finished") {
      this.#failWithRefusal();
      return;
    }
    this.#failWith(
      new UpstreamError(
        code,
        `upstream ${this.#options.upstream.name}: ${reason}`,
        { verdict: verdicts[this.#phase], cause },
      ),
    );
  }

  #failWith(error: unknown): void {
    if (this.#phase === "finished") return;
    this.#finish();
    this.#controller?.abort(new Error("the call has ended"));
    this.#reject(error);
    this.#body.fail(error);
  }

  #finish(): void {
    this.#phase = "finished";
    clearTimeout(this.#timer);
    this.#options.request.signal?.removeEventListener("abort", this.#onAbort);
    this.#options.onFinished?.();
  }

  #pause(isPaused: boolean): void {
    if (this.#phase === "finished") return;
    if (isPaused) {
      // A slow reader is not a silent upstream.
      clearTimeout(this.#timer);
      this.#controller?.pause();
    } else {
      this.#startTimer(this.#options.timeouts.idleMilliseconds, "next byte");
      this.#controller?.resume();
    }
  }

  #startTimer(milliseconds: number, awaited: string): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      const code = awaited === "connect"
        ? "upstream_connect_timeout"
        : "upstream_timeout";
      this.#fail(code, `no ${awaited} within ${milliseconds} ms`);
    }, milliseconds);
  }
}

function createCheck(
  path: string,
  contentType: string | readonly string[] | undefined,
): AnswerCheck | undefined {
  const type = String(contentType ?? "").split(";")[0]?.trim().toLowerCase();
  if (type === "text/event-stream") return new EventStreamCheck();
  if (type === "application/json" || path === chatPath) {
    return new JsonAnswerCheck();
  }
  return undefined;
}

function describeTransportError(error: Error): string {
  const code = (error as { code?: string }).code;
  return code ? `${code} ${error.message}` : error.message;
}
