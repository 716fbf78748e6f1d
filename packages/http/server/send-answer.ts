/** Sends answers. An answer that fails after it began never ends cleanly. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { UpstreamResponse } from "../../routing/upstream-caller.ts";
import type { CallerError } from "../../common/errors.ts";
import { discardMilliseconds, slowReaderMilliseconds } from "../constants.ts";
import {
  errorBody,
  internalError,
  toCallerError,
} from "../errors/error-answer.ts";
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

export function sendError(context: RequestContext, error: CallerError): void {
  const headers: Record<string, string> = {};
  if (error.retryAfterSeconds !== undefined) {
    headers["retry-after"] = String(
      Math.max(1, Math.ceil(error.retryAfterSeconds)),
    );
  } else if (error.status === 429 || error.status === 503) {
    headers["retry-after"] = "1";
  }
  sendJson(context.response, error.status, errorBody(error), headers);
}

export interface SendOptions {
  onFirstChunk?: () => void;
}

/** Passes on the answer of an upstream chunk by chunk. */
export async function sendAnswer(
  context: RequestContext,
  answer: UpstreamResponse,
  options: SendOptions = {},
): Promise<void> {
  await sendStream(context, answer.body, {
    ...options,
    status: answer.status,
    headers: answer.headers,
  });
}

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
      // The head was refused, so nothing has read the body and nothing else will end it.
      await body[Symbol.asyncIterator]().return?.();
      throw error;
    }
    reportFailure(context, error);
    await breakOff(context, error, isEventStream);
  }
}

/** Ends an answer that has begun so that the caller cannot take it for whole. */
async function breakOff(
  context: RequestContext,
  error: unknown,
  isEventStream: boolean,
): Promise<void> {
  const { response } = context;
  if (isEventStream) {
    const body = errorBody(toCallerError(error) ?? internalError(error));
    const event = `event: error\ndata: ${JSON.stringify(body)}\n\n`;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, discardMilliseconds);
      response.write(event, () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  // Without framing, the end of the connection is the end of the answer; a reset is not.
  if (context.request.httpVersion === "1.0") response.socket?.resetAndDestroy();
  response.destroy();
}

/** Waits until the caller has read enough; one that stops reading loses its connection. */
async function waitForDrain(context: RequestContext): Promise<void> {
  const { response, signal } = context;
  const timer = setTimeout(
    () => response.destroy(),
    slowReaderMilliseconds,
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
