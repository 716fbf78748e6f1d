/**
 * Streams a chat completion as a caller behind a load balancer would: if an instance refuses the
 * request without having run it, or refuses the connection, the next instance is tried. A request
 * over the rate limit (status 429) is not retried.
 */

import type { Dispatcher } from "undici";
import { CallerClient, type ChatStreamResult } from "./caller-client.ts";

export interface BalancedChatOptions {
  /** Base URLs of the instances that the balancer considers up. */
  targets: () => readonly string[];
  key: string;
  body: Record<string, unknown>;
  /** Index of the instance that is tried first, modulo the number of instances. */
  firstTargetIndex: number;
  dispatcher: Dispatcher;
}

/** Attempts that the balancer makes for one request. */
const maximumAttempts = 3;

export async function streamThroughBalancer(
  { targets, key, body, firstTargetIndex, dispatcher }: BalancedChatOptions,
): Promise<ChatStreamResult> {
  let result = toFailedResult(new Error("no instance is up"));
  for (let attempt = 0; attempt < maximumAttempts; attempt++) {
    const urls = targets();
    const baseUrl = urls[(firstTargetIndex + attempt) % urls.length] ?? "";
    const client = new CallerClient({ baseUrl, key, dispatcher });
    result = await client.chatStream(body).catch(toFailedResult);
    const isRetryable = result.error?.not_run === true && result.status !== 429;
    if (!isRetryable) break;
  }
  return result;
}

/** Result of a failed connection. Only a refused connection proves that the request did not run. */
function toFailedResult(error: unknown): ChatStreamResult {
  const code = (error as { code?: string }).code ?? "connection_failed";
  return {
    status: 0,
    text: "",
    isComplete: false,
    firstTokenMilliseconds: Number.NaN,
    totalMilliseconds: Number.NaN,
    error: {
      message: String(error),
      code,
      not_run: code === "ECONNREFUSED" ? true : "unknown",
    },
  };
}
