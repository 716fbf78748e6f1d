/** Generates the online load of a scenario: chat requests of all workspaces to all instances. */

import type { Dispatcher } from "undici";
import { streamThroughBalancer } from "../client/balanced-chat.ts";
import type { ChatStreamResult } from "../client/caller-client.ts";
import { SeededRandom } from "../common/random.ts";
import type { PreparedWorkspace } from "../demo/example-documents.ts";
import { LatencyHistogram, type LatencySummary } from "./latency-histogram.ts";
import { planArrivals, runOpenLoop } from "./open-loop.ts";
import type { Scenario } from "./scenarios/scenario.ts";

export interface OnlineRunOptions {
  scenario: Scenario;
  workspaces: readonly PreparedWorkspace[];
  model: string;
  /** Addresses of the instances that the load balancer considers available. */
  targets: () => readonly string[];
  dispatcher: Dispatcher;
  seed: number;
  durationMilliseconds: number;
}

export interface WorkspaceCounts {
  sent: number;
  completed: number;
  rateLimited: number;
  otherRefusals: number;
  interrupted: number;
}

export interface OnlineRunResult {
  readonly firstToken: LatencySummary;
  readonly total: LatencySummary;
  readonly byWorkspace: ReadonlyMap<string, WorkspaceCounts>;
  readonly errors: ReadonlyMap<string, number>;
  readonly maximumLagMilliseconds: number;
}

const maximumTokens = 12;
/** Prompt prefix that a share of the requests has in common, to exercise prefix caches. */
const sharedPromptPrefix =
  "Rules of the association for buyer notices, valid on all hulling days. "
    .repeat(8);

export async function runOnline(
  options: OnlineRunOptions,
): Promise<OnlineRunResult> {
  const { scenario, workspaces, seed, durationMilliseconds } = options;
  const firstToken = new LatencyHistogram();
  const total = new LatencyHistogram();
  const errors = new Map<string, number>();
  const byWorkspace = new Map(
    workspaces.map(({ id }) => [id, createCounts()] as const),
  );
  const runs = workspaces.map((workspace, index) => {
    const rateFactor = index === 0 ? scenario.firstWorkspaceFactor ?? 1 : 1;
    const rate = workspace.ratePerSecond * rateFactor;
    const random = new SeededRandom(seed + 1_000 + index);
    return runOpenLoop({
      arrivals: planArrivals({
        seed: seed + index,
        durationMilliseconds,
        peakRatePerSecond: rate * scenario.peakOnlineShare,
        rateAt: (at) => rate * scenario.onlineShareAt(at),
      }),
      send: async ({ index: requestNumber }) => {
        const counts = byWorkspace.get(workspace.id) ?? createCounts();
        counts.sent++;
        const hasSharedPrefix = random.next() < (scenario.hotPrefixShare ?? 0);
        const content = `${
          hasSharedPrefix ? sharedPromptPrefix : ""
        }${workspace.id} ${requestNumber}`;
        const answer = await streamThroughBalancer({
          targets: options.targets,
          dispatcher: options.dispatcher,
          key: workspace.key,
          body: {
            model: options.model,
            messages: [{ role: "user", content }],
            max_tokens: maximumTokens,
          },
          firstTargetIndex: random.integerBelow(1_000_000),
        });
        countOutcome(answer, counts, errors);
        if (!answer.isComplete) return;
        firstToken.record(answer.firstTokenMilliseconds);
        total.record(answer.totalMilliseconds);
      },
    });
  });
  const results = await Promise.all(runs);
  return {
    firstToken: firstToken.summary(),
    total: total.summary(),
    byWorkspace,
    errors,
    maximumLagMilliseconds: Math.max(
      ...results.map((result) => result.maximumLagMilliseconds),
    ),
  };
}

function createCounts(): WorkspaceCounts {
  return {
    sent: 0,
    completed: 0,
    rateLimited: 0,
    otherRefusals: 0,
    interrupted: 0,
  };
}

function countOutcome(
  answer: ChatStreamResult,
  counts: WorkspaceCounts,
  errors: Map<string, number>,
): void {
  if (answer.isComplete) {
    counts.completed++;
    return;
  }
  if (answer.status === 429) counts.rateLimited++;
  else if (answer.error?.not_run === true) counts.otherRefusals++;
  else counts.interrupted++;
  const code = answer.error?.code ?? "incomplete";
  errors.set(code, (errors.get(code) ?? 0) + 1);
}
