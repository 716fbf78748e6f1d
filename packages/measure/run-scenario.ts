/** Runs one scenario on a new fleet and computes its results. */

import { setTimeout as sleep } from "node:timers/promises";
import { type Agent, request } from "undici";
import { createClientDispatcher } from "../client/caller-client.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import { type Deployment, deployments } from "../demo/deployments.ts";
import type { Fleet } from "../demo/fleet.ts";
import {
  type PublishedFleet,
  startPublishedFleet,
} from "../demo/published-fleet.ts";
import { BatchRun } from "./batch-run.ts";
import { warmUpMilliseconds } from "./constants.ts";
import { readEngineUsage } from "./engine-usage.ts";
import {
  type BatchWindow,
  busySlotSecondsBetween,
  computeMeasures,
  type Measures,
  type RunWindow,
} from "./measures.ts";
import { runOnline } from "./online-run.ts";
import type { Scenario } from "./scenarios/scenario.ts";

export type Policy = "naive" | "current";

export interface ScenarioOptions {
  deployment: string;
  policy: Policy;
  scenario: Scenario;
  seed: number;
  durationMilliseconds: number;
}

export interface ScenarioResult {
  readonly deployment: string;
  readonly policy: Policy;
  readonly scenario: string;
  readonly measures: Measures;
}

const calibrationItems = 24;
const urgentItems = 100;
const urgentWindowSeconds = 30;
/**
 * Items per second that no deployment reaches. Jobs are sized by it so that their backlog outlasts
 * every run.
 */
const maximumItemsPerSecond = 120;

export async function runScenario(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const { deployment, policy, scenario } = options;
  const base = deployments[deployment];
  if (!base) {
    throw new RosemaryrudderError("unknown_deployment", deployment);
  }
  const deploymentWithPolicy: Deployment = {
    ...base,
    instanceSettings: { ...base.instanceSettings, policy },
  };
  const published = await startPublishedFleet({
    deployment: deploymentWithPolicy,
    ...(scenario.edit ? { edit: scenario.edit } : {}),
  });
  const dispatcher = createClientDispatcher({ connections: 1_024 });
  try {
    const itemSlotSeconds = await measureItemSlotSeconds(published.fleet);
    const run = new ScenarioRun(options, published, dispatcher);
    await sleep(warmUpMilliseconds);
    const alone = await run.runAlone();
    const withBatch = await run.runWithBatch();
    const [firstWorkspace] = published.prepared.workspaces;
    const measures = computeMeasures({
      alone,
      withBatch,
      itemSlotSeconds,
      withinRate: (workspace) =>
        scenario.firstWorkspaceFactor === undefined ||
        workspace !== firstWorkspace?.id,
    });
    return { deployment, policy, scenario: scenario.name, measures };
  } finally {
    await dispatcher.destroy();
    await published.fleet.dispose();
  }
}

/** Measures the mean slot time of one batch item, in seconds, on an otherwise idle engine. */
async function measureItemSlotSeconds(fleet: Fleet): Promise<number> {
  const engine = fleet.upstreams.find(({ kind }) => kind === "engine");
  const [model] = fleet.plan.deployment.models;
  if (!engine) throw new RosemaryrudderError("no_engine", "no engine");
  const before = await readEngineUsage(fleet);
  for (let index = 0; index < calibrationItems; index++) {
    const response = await request(`${engine.url}/v1/chat/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        model,
        messages: [{ role: "user", content: `calibration lot ${index}` }],
        max_tokens: 10,
      }),
    });
    await response.body.dump();
  }
  const after = await readEngineUsage(fleet);
  return busySlotSecondsBetween(before, after) / calibrationItems;
}

class ScenarioRun {
  readonly #options: ScenarioOptions;
  readonly #published: PublishedFleet;
  readonly #dispatcher: Agent;

  constructor(
    options: ScenarioOptions,
    published: PublishedFleet,
    dispatcher: Agent,
  ) {
    this.#options = options;
    this.#published = published;
    this.#dispatcher = dispatcher;
  }

  runAlone(): Promise<RunWindow> {
    return this.#measureWindow();
  }

  async runWithBatch(): Promise<BatchWindow> {
    const { durationMilliseconds } = this.#options;
    const seconds = durationMilliseconds / 1_000;
    const batch = new BatchRun({
      ...this.#loadOptions(),
      workspaces: this.#published.prepared.workspaces,
      itemsPerJob: Math.ceil(maximumItemsPerSecond * (seconds + 10)),
      urgentItems,
      urgentWindowSeconds,
    });
    const startedAt = performance.now();
    const jobs = await batch.submit();
    await sleep(warmUpMilliseconds);
    const before = await batch.progress(jobs);
    const urgent = jobs.find(({ isUrgent }) => isUrgent);
    const urgentCompletion = urgent === undefined
      ? Promise.resolve(undefined)
      : this.#waitForUrgent(batch, urgent, startedAt);
    const window = await this.#measureWindow();
    const after = await batch.progress(jobs);
    const urgentSeconds = await urgentCompletion;
    await batch.cancel(jobs);
    return { ...window, before, after, urgentSeconds };
  }

  async #measureWindow(): Promise<RunWindow> {
    const { fleet, prepared } = this.#published;
    const { scenario, seed, durationMilliseconds } = this.#options;
    const abort = new AbortController();
    const wait = (milliseconds: number) =>
      sleep(milliseconds, undefined, { signal: abort.signal }).catch(() => {});
    const fault = scenario.fault?.({
      fleet,
      durationMilliseconds,
      signal: abort.signal,
      wait,
    });
    const usageBefore = await readEngineUsage(fleet);
    const startedAt = performance.now();
    const online = await runOnline({
      ...this.#loadOptions(),
      scenario,
      seed,
      durationMilliseconds,
      workspaces: prepared.workspaces,
    });
    const seconds = (performance.now() - startedAt) / 1_000;
    const usageAfter = await readEngineUsage(fleet);
    abort.abort();
    await fault;
    return {
      online,
      seconds,
      busySlotSeconds: busySlotSecondsBetween(usageBefore, usageAfter),
      slots: usageAfter.slots,
    };
  }

  async #waitForUrgent(
    batch: BatchRun,
    urgent: Awaited<ReturnType<BatchRun["submit"]>>[number],
    startedAt: number,
  ): Promise<number | undefined> {
    const limit = startedAt + urgentWindowSeconds * 1_000;
    while (performance.now() < limit) {
      const [progress] = await batch.progress([urgent]);
      if (progress && progress.finished >= progress.total) {
        return (performance.now() - startedAt) / 1_000;
      }
      await sleep(250);
    }
    return undefined;
  }

  #loadOptions() {
    const { fleet } = this.#published;
    const [model = ""] = fleet.plan.deployment.models;
    return {
      model,
      dispatcher: this.#dispatcher,
      targets: () =>
        fleet.instances.filter(({ pid }) => pid !== undefined)
          .map(({ url }) => url),
    };
  }
}
