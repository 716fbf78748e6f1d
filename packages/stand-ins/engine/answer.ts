/**
 * Generates the answers of the engine stand-in. They depend only on the content of the request,
 * and their first token contains a digest of the messages, so that a test can tell to which
 * request an answer belongs.
 */

import { z } from "zod";
import { hashNumber, sha256Hex } from "../../common/hashing.ts";

export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({
    role: z.string(),
    content: z.unknown(),
  })).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() })
    .nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});
export type ChatRequest = z.output<typeof chatRequestSchema>;

export interface Answer {
  readonly requestId: string;
  readonly model: string;
  readonly tokens: readonly string[];
  readonly finishReason: "stop" | "length";
  readonly promptCharacters: number;
}

export interface AnswerLengthRange {
  readonly minimumTokens: number;
  readonly maximumTokens: number;
}

const vocabulary = [
  "lot",
  "hull",
  "kernel",
  "half",
  "quarter",
  "light",
  "amber",
  "dark",
  "dry",
  "sound",
  "moisture",
  "class",
  "sorted",
  "weighed",
  "bag",
  "scale",
];

/** Returns the SHA-256 of the messages as JSON without white space. */
export function promptDigest(messages: unknown): string {
  return sha256Hex(JSON.stringify(messages));
}

/** Returns the prompt, on which the prefix cache and the prefill time depend. */
export function promptText(request: ChatRequest): string {
  return request.messages.map(({ role, content }) =>
    `${role}: ${
      typeof content === "string" ? content : JSON.stringify(content)
    }\n`
  ).join("");
}

export function createAnswer(
  requestId: string,
  request: ChatRequest,
  lengths: AnswerLengthRange,
): Answer {
  const digest = promptDigest(request.messages);
  const lengthRange = lengths.maximumTokens - lengths.minimumTokens + 1;
  const fullLength = lengths.minimumTokens +
    hashNumber(digest) % Math.max(1, lengthRange);
  const limit = request.max_completion_tokens ?? request.max_tokens ??
    fullLength;
  const tokenCount = Math.min(fullLength, limit);
  const tokens = [`digest:${digest}`];
  for (let index = 1; index < tokenCount; index++) {
    const digit = Number.parseInt(digest[index % digest.length] ?? "0", 16);
    tokens.push(` ${vocabulary[(digit + index) % vocabulary.length]}`);
  }
  return {
    requestId,
    model: request.model,
    tokens,
    finishReason: limit < fullLength ? "length" : "stop",
    promptCharacters: promptText(request).length,
  };
}
