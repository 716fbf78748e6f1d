/** Runs one attempt at an upstream, from the dispatch of the request to the end of the response. */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import { UpstreamError } from "../common/errors.ts";
import type { Verdict } from "../common/verdict.ts";
import type { Upstream } from "../control/document.ts";
import { ResponseBody } from "./response-body.ts";
import {
  type CompletenessCheck,
  EventStreamCheck,
  JsonBodyCheck,
} from "./completeness-checks.ts";
import { chatPath, maximumQuotedCharacters } from "./constants.ts";
import {
  type IncomingHeaderRecord,
  selectRequestHeaders,
  selectResponseHeaders,
} from "./forwarded-headers.ts";
import type { UpstreamRequest, UpstreamResponse } from "./upstream-caller.ts";
import type { UpstreamTimeouts } from "./upstream-client.ts";

export interface UpstreamAttemptOptions {
  request: UpstreamRequest;
  upstream: Upstream;
  origin: string;
  dispatcher: Dispatcher;
  timeouts: UpstreamTimeouts;
  /** Called once, when the attempt no longer uses its connection. */
  onFinished?: () => void;
}

type Phase = "connecting" | "sent" | "answering" | "finished";

/** Verdict of an attempt that fails in this phase. */
const verdictByPhase: Record<Phase, Verdict> = {
  connecting: "not_run",
  sent: "unknown",
  answering: "ran",
  finished: "ran",
};

/** Set to "true" by an upstream that refused the request without running it. */
const notAdmittedHeader = "x-not-admitted";

export class UpstreamAttempt {
  readonly #options: UpstreamAttemptOptions;
  readonly #body: ResponseBody;
  #phase: Phase = "connecting";
  #controller: Dispatcher.DispatchController | undefined;
  #timer: NodeJS.Timeout | undefined;
  #completenessCheck: CompletenessCheck | undefined;
  /** Error response whose body is being read for the message; not passed on to the reader. */
  #errorResponse: { status: number; isNotAdmitted: boolean } | undefined;
  #errorText = "";
  #resolve!: (response: UpstreamResponse) => void;
  #reject!: (error: unknown) => void;
  readonly #onAbort = () =>
    this.#fail("upstream_call_aborted", "the call was aborted");

  constructor(options: UpstreamAttemptOptions) {
    this.#options = options;
    this.#body = new ResponseBody({
      onPause: (isPaused) => this.#setPaused(isPaused),
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
          // undici does not queue a non-idempotent request behind another one in progress, so
          // that the two responses do not depend on the same connection.
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
      this.#failWithError(error);
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
    const echoedRequestId = headers["x-request-id"];
    if (
      isEngine && echoedRequestId !== undefined &&
      echoedRequestId !== request.requestId
    ) {
      // The response belongs to another request; whether this request ran is unknown.
      this.#fail(
        "upstream_answer_crossed",
        "the response belongs to another request",
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
      this.#errorResponse = { status, isNotAdmitted };
      return;
    }
    if (isEngine && status === 200 && request.method !== "HEAD") {
      this.#completenessCheck = createCompletenessCheck(
        request.path,
        headers["content-type"],
      );
    }
    this.#resolve({
      upstream: upstream.name,
      status,
      headers: selectResponseHeaders(headers),
      body: this.#body,
    });
  }

  #onResponseData(chunk: Uint8Array): void {
    if (this.#phase === "finished") return;
    this.#timer?.refresh();
    if (this.#errorResponse) {
      if (this.#errorText.length < maximumQuotedCharacters) {
        this.#errorText += Buffer.from(chunk).toString("utf8");
      }
      return;
    }
    try {
      const checkedChunk = this.#completenessCheck
        ? this.#completenessCheck.push(chunk)
        : chunk;
      if (checkedChunk) this.#body.push(checkedChunk);
    } catch (error) {
      this.#failWithError(error);
    }
  }

  #onResponseEnd(): void {
    if (this.#phase === "finished") return;
    if (this.#errorResponse) {
      this.#failWithErrorResponse();
      return;
    }
    try {
      const lastChunk = this.#completenessCheck?.end();
      if (lastChunk) this.#body.push(lastChunk);
    } catch (error) {
      this.#failWithError(error);
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

  #failWithErrorResponse(): void {
    const { status, isNotAdmitted } = this.#errorResponse!;
    const { name } = this.#options.upstream;
    const quoted = this.#errorText.slice(0, maximumQuotedCharacters);
    this.#failWithError(
      new UpstreamError(
        isNotAdmitted ? "upstream_not_admitted" : "upstream_failed",
        `upstream ${name} responded with status ${status}${
          quoted ? `: ${quoted}` : ""
        }`,
        { verdict: isNotAdmitted ? "not_run" : "ran", status },
      ),
    );
  }

  #fail(code: string, reason: string, cause?: unknown): void {
    if (this.#errorResponse && this.#phase !== "finished") {
      this.#failWithErrorResponse();
      return;
    }
    this.#failWithError(
      new UpstreamError(
        code,
        `upstream ${this.#options.upstream.name}: ${reason}`,
        { verdict: verdictByPhase[this.#phase], cause },
      ),
    );
  }

  #failWithError(error: unknown): void {
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

  #setPaused(isPaused: boolean): void {
    if (this.#phase === "finished") return;
    if (isPaused) {
      // The idle timeout must not fire because of a slow reader.
      clearTimeout(this.#timer);
      this.#controller?.pause();
    } else {
      this.#startTimer(this.#options.timeouts.idleMilliseconds, "next byte");
      this.#controller?.resume();
    }
  }

  #startTimer(milliseconds: number, awaitedEvent: string): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      const code = awaitedEvent === "connect"
        ? "upstream_connect_timeout"
        : "upstream_timeout";
      this.#fail(code, `${awaitedEvent} timed out after ${milliseconds} ms`);
    }, milliseconds);
  }
}

function createCompletenessCheck(
  path: string,
  contentType: string | readonly string[] | undefined,
): CompletenessCheck | undefined {
  const type = String(contentType ?? "").split(";")[0]?.trim().toLowerCase();
  if (type === "text/event-stream") return new EventStreamCheck();
  if (type === "application/json" || path === chatPath) {
    return new JsonBodyCheck();
  }
  return undefined;
}

function describeTransportError(error: Error): string {
  const code = (error as { code?: string }).code;
  return code ? `${code} ${error.message}` : error.message;
}
