/** Runs one series of fleets and fits the cost of an instance per unit by linear regression. */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { linearRegression, mean, standardDeviation } from "simple-statistics";
import { CallerClient } from "../../client/caller-client.ts";
import { RosemaryrudderError } from "../../common/errors.ts";
import { deployments } from "../../demo/deployments.ts";
import { DirectPublisher } from "../../demo/direct-publisher.ts";
import type { ExampleDocument } from "../../demo/example-documents.ts";
import type { Fleet } from "../../demo/fleet.ts";
import {
  type PublishedFleet,
  startPublishedFleet,
} from "../../demo/published-fleet.ts";
import type { SlopeSeries } from "./series.ts";

export const costFields = [
  "processorPercent",
  "residentMegabytes",
  "peerBytesPerSecond",
  "logBytesPerSecond",
] as const;
export type CostField = (typeof costFields)[number];
export type Cost = Readonly<Record<CostField, number>>;

export interface SlopeSample {
  readonly value: number;
  /** Mean of the instances of the fleet. */
  readonly mean: Cost;
  /** Highest of the instances. */
  readonly highest: Cost;
  /** Standard deviation between the instances, the noise of the sample. */
  readonly deviation: Cost;
}

export interface SlopeResult {
  readonly series: string;
  readonly unit: string;
  readonly samples: readonly SlopeSample[];
  readonly perUnit: Cost;
  readonly base: Cost;
}

interface UsageReading {
  readonly processorSeconds: number;
  readonly residentBytes: number;
  readonly controlBytesSent: number;
  readonly controlBytesReceived: number;
  readonly logBytesSent: number;
  readonly logBytesReceived: number;
}

/** Time between the preparation of a sample and its window. */
const settleMilliseconds = 6_000;

export async function runSeries(
  series: SlopeSeries,
  windowMilliseconds: number,
): Promise<SlopeResult> {
  const samples: SlopeSample[] = [];
  for (const value of series.values) {
    process.stderr.write(`${series.name} ${value}\n`);
    samples.push(await runSample(series, value, windowMilliseconds));
  }
  const fits = mapCost((field) =>
    linearRegression(
      samples.map(({ value, mean }) => [value, mean[field]]),
    )
  );
  return {
    series: series.name,
    unit: series.unit,
    samples,
    perUnit: mapCost((field) => fits[field].m),
    base: mapCost((field) => fits[field].b),
  };
}

function mapCost<Value>(
  compute: (field: CostField) => Value,
): Record<CostField, Value> {
  return Object.fromEntries(
    costFields.map((field) => [field, compute(field)]),
  ) as Record<CostField, Value>;
}

async function runSample(
  series: SlopeSeries,
  value: number,
  windowMilliseconds: number,
): Promise<SlopeSample> {
  const base = deployments["walnut"];
  if (!base) throw new RosemaryrudderError("unknown_deployment", "walnut");
  const published = await startPublishedFleet({
    deployment: { ...base, ...series.changes(value) },
    edit: (document) => series.edit?.(document, value),
  });
  const { fleet } = published;
  const publisher = new DirectPublisher({ published });
  try {
    const context = {
      value,
      windowMilliseconds,
      wait: (milliseconds: number) => sleep(milliseconds),
      publish: (edit: (document: ExampleDocument) => void) => {
        edit(published.prepared.document);
        return publisher.publish("trade");
      },
      submit: (items: number) => submitJob(published, items),
    };
    await series.prepare?.(context);
    await sleep(settleMilliseconds);
    const before = await readUsage(fleet);
    const startedAt = performance.now();
    await Promise.all([series.load?.(context), sleep(windowMilliseconds)]);
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readUsage(fleet);
    const costs = after.map((reading, index) =>
      computeCost(before[index] ?? reading, reading, seconds)
    );
    const combineCosts = (combine: (values: number[]) => number) =>
      mapCost((field) => combine(costs.map((cost) => cost[field])));
    return {
      value,
      mean: combineCosts(mean),
      highest: combineCosts((values) => Math.max(...values)),
      deviation: combineCosts(standardDeviation),
    };
  } finally {
    await publisher.dispose();
    await fleet.dispose();
  }
}

async function readUsage(fleet: Fleet): Promise<UsageReading[]> {
  return await Promise.all(fleet.instances.map(async ({ metricsUrl }) => {
    const response = await fetch(`${metricsUrl}/status`);
    return ((await response.json()) as { usage: UsageReading }).usage;
  }));
}

function computeCost(
  before: UsageReading,
  after: UsageReading,
  seconds: number,
): Cost {
  const rate = (field: keyof UsageReading) =>
    (after[field] - before[field]) / seconds;
  return {
    processorPercent: 100 * rate("processorSeconds"),
    residentMegabytes: after.residentBytes / 2 ** 20,
    peerBytesPerSecond: rate("controlBytesSent") + rate("controlBytesReceived"),
    logBytesPerSecond: rate("logBytesSent") + rate("logBytesReceived"),
  };
}

async function submitJob(
  { fleet, prepared }: PublishedFleet,
  items: number,
): Promise<void> {
  const [workspace] = prepared.workspaces;
  const [model = ""] = fleet.plan.deployment.models;
  const client = new CallerClient({
    baseUrl: fleet.instances[0]?.directUrl ?? "",
    key: workspace?.key ?? "",
  });
  const lines = Array.from({ length: items }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: "POST",
      url: "/v1/chat/completions",
      body: { model, messages: [{ role: "user", content: `lot ${index}` }] },
    })).join("\n");
  const file = await client.uploadFile(lines);
  const batch = await client.createBatch(file.body.id);
  if (batch.status !== 200) {
    throw new RosemaryrudderError(
      "batch_refused",
      JSON.stringify([file.body, batch.body]),
    );
  }
}
