/**
 * Sends an answer to the caller, as one JSON body or as server-sent events, and applies the
 * faults of truncation and late sending.
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { sendJson } from "../shared/http-service.ts";
import type { Answer } from "./answer.ts";

export interface AnswerSender {
  /** Called when a token was generated. */
  token(index: number): void;
  /** Called when all tokens were generated. */
  end(): void;
}

/**
 * "truncate" destroys the connection in the middle of the answer. "end_without_done" ends the
 * response of a stream after half of its tokens, without the last events.
 */
export type TruncationMode = "none" | "truncate" | "end_without_done";

export interface AnswerSenderOptions {
  response: ServerResponse;
  answer: Answer;
  /** Index of the first token to send; above 0 for a resumed stream. */
  firstToken: number;
  includesUsage: boolean;
  lateMilliseconds: number;
  truncation: TruncationMode;
  onTruncated: () => void;
}

export function createStreamSender(options: AnswerSenderOptions): AnswerSender {
  const { response, answer, firstToken, truncation } = options;
  const { tokens } = answer;
  const truncateAt = truncation === "none"
    ? Number.POSITIVE_INFINITY
    : firstToken + Math.floor((tokens.length - firstToken) / 2);
  const runDelayed = createDelayedRunner(options.lateMilliseconds);
  const chunk = (choices: unknown[], extra: object = {}) =>
    JSON.stringify({
      id: answerId(answer),
      object: "chat.completion.chunk",
      created: nowInSeconds(),
      model: answer.model,
      choices,
      ...extra,
    });
  const writeHeadersOnce = () => {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": answer.requestId,
    });
  };
  const truncate = () => {
    options.onTruncated();
    if (truncation === "truncate") response.destroy();
    else response.end();
  };
  const sendToken = (index: number) => {
    if (index > truncateAt || response.destroyed) return;
    writeHeadersOnce();
    if (index === truncateAt) return truncate();
    const content = tokens[index];
    const delta = index === 0 ? { role: "assistant", content } : { content };
    const choice = { index: 0, delta, finish_reason: null };
    response.write(`id: ${index}\ndata: ${chunk([choice])}\n\n`);
  };
  const sendEnd = () => {
    if (truncation !== "none" || response.destroyed) return;
    writeHeadersOnce();
    const last = { index: 0, delta: {}, finish_reason: answer.finishReason };
    const usage = options.includesUsage
      ? `data: ${chunk([], { usage: usageOf(answer) })}\n\n`
      : "";
    response.end(`data: ${chunk([last])}\n\n${usage}data: [DONE]\n\n`);
  };
  return {
    token: (index) => runDelayed(() => sendToken(index)),
    end: () => runDelayed(sendEnd),
  };
}

export function createJsonSender(options: AnswerSenderOptions): AnswerSender {
  const { response, answer, truncation } = options;
  const runDelayed = createDelayedRunner(options.lateMilliseconds);
  const body = () => ({
    id: answerId(answer),
    object: "chat.completion",
    created: nowInSeconds(),
    model: answer.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: answer.tokens.join("") },
      finish_reason: answer.finishReason,
    }],
    usage: usageOf(answer),
  });
  const headers = { "x-request-id": answer.requestId };
  const sendEnd = () => {
    if (response.destroyed) return;
    if (truncation === "none") return sendJson(response, 200, body(), headers);
    const text = JSON.stringify(body());
    response.writeHead(200, {
      ...headers,
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    options.onTruncated();
    // The first half is flushed before the socket closes, so that the client receives a
    // truncated answer.
    response.write(
      text.slice(0, Math.floor(text.length / 2)),
      () => response.destroy(),
    );
  };
  return { token: () => {}, end: () => runDelayed(sendEnd) };
}

/** Returns a function that runs an action after the delay, or immediately if the delay is 0. */
function createDelayedRunner(
  milliseconds: number,
): (action: () => void) => void {
  if (milliseconds === 0) return (action) => action();
  return (action) => void setTimeout(action, milliseconds);
}

function answerId(answer: Answer): string {
  return `chatcmpl-${answer.requestId}`;
}

function nowInSeconds(): number {
  return Math.floor(Date.now() / 1_000);
}

/** Returns the token usage, with four characters of the prompt counted as one token. */
function usageOf({ promptCharacters, tokens }: Answer) {
  const promptTokens = Math.ceil(promptCharacters / 4);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens.length,
    total_tokens: promptTokens + tokens.length,
  };
}
