/**
 * Streams a chat answer as a caller behind a balancer does: an instance that refuses without
 * having run the request, or that cannot be reached, is left for the next one.
 */

import type { Dispatcher } from "undici";
import { CallerClient, type ChatStreamResult } from "./caller-client.ts";

export interface BalancedChatOptions {
  /** Addresses of the instances that the balancer knows to be up. */
  targets: () => readonly string[];
  key: string;
  body: Record<string, unknown>;
  /** Number of the instance that is tried first. */
  firstTargetIndex: number;
  dispatcher: Dispatcher;
}

/** Instances that a balancer tries for one request. */
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
