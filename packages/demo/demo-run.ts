/**
 * Runs the demo: online requests without and with a batch, the kill of an instance during the
 * batch, and a final audit of the results.
 */

import { setTimeout as delay } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { type BatchBody, CallerClient } from "../client/caller-client.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  auditBatch,
  type BatchAudit,
  isConsistent,
  type JournalEntry,
  type ResultLine,
} from "./batch-audit.ts";
import type { PreparedDocument } from "./example-documents.ts";
import type { Fleet } from "./fleet.ts";
import { createLotTaggingItems, toJsonLines } from "./lot-tagging.ts";
import { type OnlineLoadResult, runOnlineLoad } from "./online-load.ts";
import {
  baselineDurationMilliseconds,
  baselineSeed,
  batchPollMilliseconds,
  batchTimeoutMilliseconds,
  killProgressShare,
  onlineRatePerSecond,
  progressIntervalMilliseconds,
  withBatchSeed,
} from "./constants.ts";

export interface DemoOptions {
  fleet: Fleet;
  prepared: PreparedDocument;
  dispatcher: Dispatcher;
  /** Prints a line of progress. */
  show: (line: string) => void;
}

export interface DemoResult {
  readonly audit: BatchAudit;
  readonly isSuccess: boolean;
  readonly baseline: OnlineLoadResult;
  readonly withBatch: OnlineLoadResult;
  readonly batchMilliseconds: number;
}

export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const { fleet, show } = options;
  await showExampleAnswer(options);
  show(`online requests without a batch (${baselineDurationMilliseconds} ms)`);
  const baseline = await runOnlineLoad({
    ...onlineLoadOptions(options),
    durationMilliseconds: baselineDurationMilliseconds,
    seed: baselineSeed,
  });
  const [model = ""] = fleet.plan.deployment.models;
  const items = createLotTaggingItems({ model });
  const batchEnded = new AbortController();
  const startedAt = performance.now();
  const [batch, withBatch] = await Promise.all([
    runBatch(options, toJsonLines(items)).finally(() => batchEnded.abort()),
    runOnlineLoad({
      ...onlineLoadOptions(options),
      durationMilliseconds: batchTimeoutMilliseconds,
      seed: withBatchSeed,
      signal: batchEnded.signal,
    }),
  ]);
  const batchMilliseconds = performance.now() - startedAt;
  const audit = auditBatch(items, {
    ...await readResults(options, batch),
    journal: await readJournals(fleet),
  });
  return {
    audit,
    isSuccess: isConsistent(audit),
    baseline,
    withBatch,
    batchMilliseconds,
  };
}

function onlineLoadOptions({ fleet, prepared, dispatcher }: DemoOptions) {
  const [model = ""] = fleet.plan.deployment.models;
  return {
    targets: () => runningUrls(fleet),
    keys: workspacesWithHighestRates(prepared).map(({ key }) => key),
    model,
    ratePerSecond: onlineRatePerSecond,
    dispatcher,
  };
}

function runningUrls(fleet: Fleet): string[] {
  return fleet.instances.filter(({ pid }) => pid !== undefined)
    .map(({ url }) => url);
}

function workspacesWithHighestRates({ workspaces }: PreparedDocument) {
  return workspaces.toSorted((left, right) =>
    right.ratePerSecond - left.ratePerSecond
  ).slice(0, 3);
}

/**
 * Creates a client of the workspace with the largest batch weight, which owns the batch. The
 * attempt selects the instance, so that retries reach another one.
 */
function createBatchClient(options: DemoOptions, attempt = 0): CallerClient {
  const { fleet, prepared, dispatcher } = options;
  const [workspace] = prepared.workspaces.toSorted((left, right) =>
    (right.batchWeight ?? 1) - (left.batchWeight ?? 1)
  );
  const urls = runningUrls(fleet);
  const baseUrl = urls[attempt % urls.length] ?? "";
  return new CallerClient({ baseUrl, key: workspace?.key ?? "", dispatcher });
}

async function showExampleAnswer(options: DemoOptions): Promise<void> {
  const { fleet, prepared, dispatcher, show } = options;
  const [workspace] = workspacesWithHighestRates(prepared);
  const [model = ""] = fleet.plan.deployment.models;
  const client = new CallerClient({
    baseUrl: fleet.instances[0]?.url ?? "",
    key: workspace?.key ?? "",
    dispatcher,
  });
  const answer = await client.chatStream({
    model,
    messages: [{ role: "user", content: "Which class is lot 2600?" }],
  });
  if (!answer.isComplete) {
    throw new RosemaryrudderError(
      "demo_failed",
      `the chat answer failed: ${JSON.stringify(answer.error)}`,
    );
  }
  show(
    `streamed answer: "${answer.text.slice(0, 60)}…" (first token after ${
      answer.firstTokenMilliseconds.toFixed(1)
    } ms)`,
  );
}

async function runBatch(
  options: DemoOptions,
  content: string,
): Promise<BatchBody> {
  const { fleet, show } = options;
  const uploaded = await createBatchClient(options).uploadFile(content);
  const created = await createBatchClient(options).createBatch(
    uploaded.body.id,
    {
      idempotencyKey: "demo",
    },
  );
  if (uploaded.status !== 200 || created.status !== 200) {
    throw new RosemaryrudderError(
      "demo_failed",
      `the batch was refused: ${JSON.stringify([uploaded.body, created.body])}`,
    );
  }
  const { id } = created.body;
  show(`batch ${id} accepted with ${created.body.request_counts.total} items`);
  const killedInstance = fleet.instances.at(-1)?.id ?? "";
  const deadline = performance.now() + batchTimeoutMilliseconds;
  let shownAt = performance.now();
  for (let attempt = 0; performance.now() < deadline; attempt++) {
    const { body } = await createBatchClient(options, attempt).getBatch(id)
      .catch(() => ({ body: undefined }));
    const counts = body?.request_counts;
    const finished = (counts?.completed ?? 0) + (counts?.failed ?? 0);
    const total = counts?.total ?? 0;
    if (
      total > 0 && finished >= total * killProgressShare &&
      fleet.isRunning(killedInstance)
    ) {
      await fleet.kill(killedInstance);
      show(`killed ${killedInstance} after ${finished} items`);
    }
    if (performance.now() - shownAt >= progressIntervalMilliseconds) {
      show(`batch ${body?.status ?? "unknown"}: ${finished} of ${total}`);
      shownAt = performance.now();
    }
    if (body?.status === "completed") return body;
    await delay(batchPollMilliseconds);
  }
  throw new RosemaryrudderError("demo_failed", "the batch did not end in time");
}

async function readResults(options: DemoOptions, batch: BatchBody) {
  const read = (file: string | null) =>
    file === null
      ? Promise.resolve([])
      : createBatchClient(options).readFileLines<ResultLine>(file);
  return {
    output: await read(batch.output_file_id),
    errors: await read(batch.error_file_id),
  };
}

async function readJournals(fleet: Fleet): Promise<JournalEntry[]> {
  const journals = await Promise.all(
    fleet.upstreams.filter(({ kind }) => kind === "engine").map(
      async ({ url }) => await (await fetch(`${url}/journal`)).text(),
    ),
  );
  return journals.flatMap((text) =>
    text.split("\n").filter((line) => line !== "").map((line) =>
      JSON.parse(line) as JournalEntry
    )
  );
}
