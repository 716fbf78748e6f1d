/** Sends online chat requests at a steady rate, round-robin over instances like a load balancer. */

import type { Dispatcher } from "undici";
import { streamThroughBalancer } from "../client/balanced-chat.ts";
import type { ChatStreamResult } from "../client/caller-client.ts";
import {
  LatencyHistogram,
  type LatencySummary,
} from "../measure/latency-histogram.ts";
import { planArrivals, runOpenLoop } from "../measure/open-loop.ts";

export interface OnlineLoadOptions {
  /** Addresses of the instances that the load balancer considers available. */
  targets: () => readonly string[];
  keys: readonly string[];
  model: string;
  ratePerSecond: number;
  durationMilliseconds: number;
  seed: number;
  dispatcher: Dispatcher;
  signal?: AbortSignal;
}

export interface OnlineLoadResult {
  readonly firstToken: LatencySummary;
  readonly completed: number;
  /** Requests that were refused or interrupted, by error code. */
  readonly failures: ReadonlyMap<string, number>;
}

export async function runOnlineLoad(
  options: OnlineLoadOptions,
): Promise<OnlineLoadResult> {
  const { ratePerSecond, durationMilliseconds, seed, signal } = options;
  const histogram = new LatencyHistogram();
  const failures = new Map<string, number>();
  let completed = 0;
  const arrivals = planArrivals({
    seed,
    durationMilliseconds,
    peakRatePerSecond: ratePerSecond,
    rateAt: () => ratePerSecond,
  });
  await runOpenLoop({
    arrivals,
    ...(signal ? { signal } : {}),
    send: async ({ index }) => {
      const answer = await sendThroughBalancer(options, index);
      if (answer.isComplete) {
        completed += 1;
        histogram.record(answer.firstTokenMilliseconds);
        return;
      }
      const code = answer.error?.code ?? "incomplete";
      failures.set(code, (failures.get(code) ?? 0) + 1);
    },
  });
  return { firstToken: histogram.summary(), completed, failures };
}

function sendThroughBalancer(
  { targets, keys, model, dispatcher, seed }: OnlineLoadOptions,
  index: number,
): Promise<ChatStreamResult> {
  const body = {
    model,
    messages: [
      { role: "system", content: "You write short notices to buyers." },
      { role: "user", content: `Notice ${seed}-${index}: two bags of class A` },
    ],
    max_tokens: 16,
  };
  const key = keys[index % keys.length] ?? "";
  return streamThroughBalancer({
    targets,
    key,
    body,
    firstTargetIndex: index,
    dispatcher,
  });
}
