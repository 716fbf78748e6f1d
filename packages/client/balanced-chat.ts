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
const maximumTries = 3;

export async function streamThroughBalancer(
  { targets, key, body, firstTargetIndex, dispatcher }: BalancedChatOptions,
): Promise<ChatStreamResult> {
  let answer = connectionFailed(new Error("no instance is up"));
  for (let turn = 0; turn < maximumTries; turn++) {
    const urls = targets();
    const baseUrl = urls[(firstTargetIndex + turn) % urls.length] ?? "";
    const client = new CallerClient({ baseUrl, key, dispatcher });
    answer = await client.chatStream(body).catch(connectionFailed);
    const mayTryAgain = answer.error?.not_run === true && answer.status !== 429;
    if (!mayTryAgain) break;
  }
  return answer;
}

function connectionFailed(error: unknown): ChatStreamResult {
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
