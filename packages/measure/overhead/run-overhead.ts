/**
 * Measures what one instance adds to a request: its latency compared with a direct call to the
 * engine, and its processor time.
 */

import { type Dispatcher, request } from "undici";
import { createClientDispatcher } from "../../client/caller-client.ts";
import { RosemaryrudderError } from "../../common/errors.ts";
import { deployments } from "../../demo/deployments.ts";
import { startPublishedFleet } from "../../demo/published-fleet.ts";
import { LatencyHistogram, type LatencySummary } from "../latency-histogram.ts";

export interface OverheadResult {
  readonly direct: LatencySummary;
  readonly throughInstance: LatencySummary;
  /** Requests that one core of an instance can serve per second, from its processor time. */
  readonly requestsPerSecondPerCore: number;
}

export interface OverheadOptions {
  /** Requests to each target; they are sent one at a time, alternating between the targets. */
  requests: number;
}

interface Target {
  readonly url: string;
  readonly headers: Record<string, string>;
  readonly histogram: LatencyHistogram;
}

const warmUpRequests = 300;
const maximumRatePerSecond = 100_000;

export async function runOverhead(
  { requests }: OverheadOptions,
): Promise<OverheadResult> {
  const base = deployments["single"];
  if (!base) throw new RosemaryrudderError("unknown_deployment", "single");
  const { fleet, prepared } = await startPublishedFleet({
    deployment: {
      ...base,
      faultProxies: 0,
      engineSettings: {
        concurrency: 8,
        minimumPrefillMilliseconds: 0,
        prefillMillisecondsPerThousandCharacters: 0,
        tokenMilliseconds: 1,
        minimumTokens: 1,
        maximumTokens: 1,
      },
    },
    edit: (document) => {
      for (const section of Object.values(document)) {
        for (const workspace of section.workspaces ?? []) {
          workspace.ratePerSecond = maximumRatePerSecond;
          workspace.burst = maximumRatePerSecond;
        }
      }
    },
  });
  const dispatcher = createClientDispatcher({ connections: 4 });
  try {
    const [instance] = fleet.instances;
    const engine = fleet.upstreams.find(({ kind }) => kind === "engine");
    const [workspace] = prepared.workspaces;
    if (!instance || !engine || !workspace) {
      throw new RosemaryrudderError("incomplete_fleet", "no fleet to measure");
    }
    const model = fleet.plan.deployment.models[0] ?? "";
    const direct = createTarget(engine.url, {});
    const throughInstance = createTarget(instance.directUrl, {
      authorization: `Bearer ${workspace.key}`,
    });
    const send = (target: Target, isMeasured: boolean) =>
      sendOne(target, { model, dispatcher, isMeasured });
    for (let index = 0; index < warmUpRequests; index++) {
      await send(direct, false);
      await send(throughInstance, false);
    }
    const before = await readProcessorSeconds(instance.metricsUrl);
    for (let index = 0; index < requests; index++) {
      await send(direct, true);
      await send(throughInstance, true);
    }
    const usedProcessorSeconds =
      await readProcessorSeconds(instance.metricsUrl) - before;
    return {
      direct: direct.histogram.summary(),
      throughInstance: throughInstance.histogram.summary(),
      requestsPerSecondPerCore: requests / usedProcessorSeconds,
    };
  } finally {
    await dispatcher.destroy();
    await fleet.dispose();
  }
}

function createTarget(url: string, headers: Record<string, string>): Target {
  return { url, headers, histogram: new LatencyHistogram() };
}

async function sendOne(
  { url, headers, histogram }: Target,
  { model, dispatcher, isMeasured }: {
    model: string;
    dispatcher: Dispatcher;
    isMeasured: boolean;
  },
): Promise<void> {
  const startedAt = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    method: "POST",
    dispatcher,
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify({
      model,
      messages: [{ role: "user", content: "overhead" }],
      max_tokens: 1,
    }),
  });
  await response.body.dump();
  if (response.statusCode !== 200) {
    throw new RosemaryrudderError(
      "overhead_failed",
      `${url} answered ${response.statusCode}`,
    );
  }
  if (isMeasured) histogram.record(performance.now() - startedAt);
}

/** Reads the used processor time after 1.1 s, because the status is sampled once per second. */
async function readProcessorSeconds(metricsUrl: string): Promise<number> {
  await new Promise((resolve) => setTimeout(resolve, 1_100));
  const response = await fetch(`${metricsUrl}/status`);
  const { usage } = await response.json() as {
    usage: { processorSeconds: number };
  };
  return usage.processorSeconds;
}
