/**
 * Makes one HTTP call and collects its whole response. The verdict of a failed call tells whether
 * the server may have executed it.
 */

import { Buffer } from "node:buffer";
import { RosemaryrudderError } from "../common/errors.ts";
import type { Verdict } from "../common/verdict.ts";
import {
  isConnectionFailing,
  type ResponseController,
} from "./connection-pool.ts";
import type { RequestDispatcher } from "./renewable-pool.ts";

export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array | string;
  readonly timeoutMilliseconds: number;
  readonly signal?: AbortSignal | undefined;
  /** Called when the call is being sent. */
  readonly onRequestStart?: (request: ResponseController) => void;
  /** Called when the head of the response has arrived. */
  readonly onResponseStart?: () => void;
  /** Called with the size of each part of the response's body. */
  readonly onResponseData?: (bytes: number) => void;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

/** The call failed, timed out or was cancelled before its response was complete. */
export class HttpCallError extends RosemaryrudderError {
  readonly verdict: Verdict;
  /** The response did not come, or did not end, in time. */
  readonly isTimeout: boolean;

  constructor(
    message: string,
    options: ErrorOptions & { verdict: Verdict; isTimeout?: boolean },
  ) {
    super("http_call_failed", message, options);
    this.verdict = options.verdict;
    this.isTimeout = options.isTimeout ?? false;
  }
}

export function callHttp(
  pool: RequestDispatcher,
  call: HttpCall,
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    let controller: ResponseController | undefined;
    let isSettled = false;
    let wasSent = false;
    let status = 0;
    let headers: HttpResponse["headers"] = {};
    const chunks: Buffer[] = [];
    const settle = (): boolean => {
      if (isSettled) return false;
      isSettled = true;
      clearTimeout(timer);
      call.signal?.removeEventListener("abort", onAbort);
      return true;
    };
    const fail = (
      message: string,
      options: ErrorOptions & { isTimeout?: boolean } = {},
    ): void => {
      if (!settle()) return;
      const verdict = wasSent ? "unknown" : "not_run";
      reject(new HttpCallError(message, { verdict, ...options }));
      controller?.abort(new Error(message));
    };
    const onAbort = () => fail("the call was cancelled");
    const timer = setTimeout(
      () =>
        fail(`no response within ${call.timeoutMilliseconds} ms`, {
          isTimeout: true,
        }),
      call.timeoutMilliseconds,
    );
    call.signal?.addEventListener("abort", onAbort);
    if (call.signal?.aborted) return onAbort();
    pool.dispatch({
      method: call.method,
      path: call.path,
      headers: call.headers ?? {},
      body: call.body ?? null,
    }, {
      onRequestStart: (requestController) => {
        controller = requestController;
        if (isSettled) return requestController.abort(new Error("cancelled"));
        wasSent = true;
        call.onRequestStart?.(requestController);
      },
      onResponseStart: (_, statusCode, responseHeaders) => {
        status = statusCode;
        headers = responseHeaders;
        call.onResponseStart?.();
      },
      onResponseData: (_, chunk) => {
        chunks.push(chunk);
        call.onResponseData?.(chunk.length);
      },
      onResponseEnd: () => {
        if (isConnectionFailing()) {
          return fail(
            "the connection was reset before the end of the response",
          );
        }
        if (settle()) resolve({ status, headers, body: Buffer.concat(chunks) });
      },
      onResponseError: (_, error) => fail(error.message, { cause: error }),
    });
  });
}
