/**
 * Sends responses to callers. A response that fails after it has begun is never ended normally, so
 * that the caller cannot take it for a complete one.
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { UpstreamResponse } from "../../routing/upstream-caller.ts";
import type { CallerError } from "../../common/errors.ts";
import {
  lingerMilliseconds,
  readStallTimeoutMilliseconds,
} from "../constants.ts";
import {
  internalError,
  toCallerError,
  toErrorBody,
} from "../errors/error-response.ts";
import type { RequestContext } from "./caller-action.ts";

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
    ...headers,
  });
  response.end(bytes);
}

/** Sends an error; statuses 429 and 503 always have a `Retry-After` header. */
export function sendError(context: RequestContext, error: CallerError): void {
  const headers: Record<string, string> = {};
  if (error.retryAfterSeconds !== undefined) {
    headers["retry-after"] = String(
      Math.max(1, Math.ceil(error.retryAfterSeconds)),
    );
  } else if (error.status === 429 || error.status === 503) {
    headers["retry-after"] = "1";
  }
  sendJson(context.response, error.status, toErrorBody(error), headers);
}

export interface SendOptions {
  /** Called when the first chunk of the body arrives. */
  onFirstChunk?: () => void;
}

/** Forwards the response of an upstream chunk by chunk. */
export async function sendUpstreamResponse(
  context: RequestContext,
  upstreamResponse: UpstreamResponse,
  options: SendOptions = {},
): Promise<void> {
  await sendStream(context, upstreamResponse.body, {
    ...options,
    status: upstreamResponse.status,
    headers: upstreamResponse.headers,
  });
}

/** Sends a body chunk by chunk, at the pace at which the caller reads. */
export async function sendStream(
  context: RequestContext,
  body: AsyncIterable<Uint8Array>,
  options: SendOptions & {
    status: number;
    headers: Readonly<Record<string, string>>;
  },
): Promise<void> {
  const { response } = context;
  const isEventStream = (options.headers["content-type"] ?? "")
    .startsWith("text/event-stream");
  let isFirst = true;
  try {
    response.writeHead(options.status, options.headers);
    for await (const chunk of body) {
      if (isFirst) {
        isFirst = false;
        options.onFirstChunk?.();
      }
      if (response.destroyed) return;
      if (!response.write(chunk) && !response.destroyed) {
        await waitForDrain(context);
      }
    }
    response.end();
  } catch (error) {
    if (context.signal.aborted || response.destroyed) return;
    if (!response.headersSent) {
      // Node rejected the status or the headers, so nothing has read the body and nothing else
      // would close it.
      await body[Symbol.asyncIterator]().return?.();
      throw error;
    }
    reportFailure(context, error);
    await abortResponse(context, error, isEventStream);
  }
}

/** Ends a response that has begun so that the caller cannot take it for a complete one. */
async function abortResponse(
  context: RequestContext,
  error: unknown,
  isEventStream: boolean,
): Promise<void> {
  const { response } = context;
  if (isEventStream) {
    const body = toErrorBody(toCallerError(error) ?? internalError(error));
    const event = `event: error\ndata: ${JSON.stringify(body)}\n\n`;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, lingerMilliseconds);
      response.write(event, () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  // An HTTP/1.0 response is ended by the end of its connection. A reset shows that it failed.
  if (context.request.httpVersion === "1.0") response.socket?.resetAndDestroy();
  response.destroy();
}

/**
 * Waits until the caller has read enough of the response to send more. Destroys the response of a
 * caller that has stopped reading.
 */
async function waitForDrain(context: RequestContext): Promise<void> {
  const { response, signal } = context;
  const timer = setTimeout(
    () => response.destroy(),
    readStallTimeoutMilliseconds,
  );
  try {
    await once(response, "drain", { signal });
  } finally {
    clearTimeout(timer);
  }
}

function reportFailure(context: RequestContext, error: unknown): void {
  const { logger, metrics } = context.services;
  const known = toCallerError(error);
  metrics.recordError((known ?? internalError(error)).code);
  if (known) return;
  logger.error("answer failed unexpectedly", {
    requestId: context.requestId,
    reason: String(error),
  });
}
