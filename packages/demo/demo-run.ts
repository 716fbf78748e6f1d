/**
 * The demo: online requests without and with a batch, an instance that is killed in the middle
 * of the batch, and an audit of the results at the end.
 */

import { setTimeout as delay } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { type BatchBody, CallerClient } from "../client/caller-client.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  auditBatch,
  type BatchAudit,
  isSound,
  type JournalRecord,
  type ResultLine,
} from "./batch-audit.ts";
import type { PreparedDocument } from "./example-documents.ts";
import type { Fleet } from "./fleet.ts";
import { createLotTaggingItems, toJsonLines } from "./lot-tagging.ts";
import { type OnlineLoadResult, runOnlineLoad } from "./online-load.ts";
import {
  baselineMilliseconds,
  baselineSeed,
  batchPollMilliseconds,
  batchTimeoutMilliseconds,
  killShare,
  onlineRatePerSecond,
  progressMilliseconds,
  withBatchSeed,
} from "./constants.ts";

export interface DemoOptions {
  fleet: Fleet;
  prepared: PreparedDocument;
  dispatcher: Dispatcher;
  /** Shows a line of progress. */
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
  await showOneAnswer(options);
  show(`online requests without a batch (${baselineMilliseconds} ms)`);
  const baseline = await runOnlineLoad({
    ...onlineLoad(options),
    durationMilliseconds: baselineMilliseconds,
    seed: baselineSeed,
  });
  const [model = ""] = fleet.plan.deployment.models;
  const items = createLotTaggingItems({ model });
  const batchEnded = new AbortController();
  const startedAt = performance.now();
  const [batch, withBatch] = await Promise.all([
    runBatch(options, toJsonLines(items)).finally(() => batchEnded.abort()),
    runOnlineLoad({
      ...onlineLoad(options),
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
    isSuccess: isSound(audit),
    baseline,
    withBatch,
    batchMilliseconds,
  };
}

function onlineLoad({ fleet, prepared, dispatcher }: DemoOptions) {
  const [model = ""] = fleet.plan.deployment.models;
  return {
    targets: () => runningUrls(fleet),
    keys: largestWorkspaces(prepared).map(({ key }) => key),
    model,
    ratePerSecond: onlineRatePerSecond,
    dispatcher,
  };
}

function runningUrls(fleet: Fleet): string[] {
  return fleet.instances.filter(({ pid }) => pid !== undefined)
    .map(({ url }) => url);
}

function largestWorkspaces({ workspaces }: PreparedDocument) {
  return workspaces.toSorted((left, right) =>
    right.ratePerSecond - left.ratePerSecond
  ).slice(0, 3);
}

/** The workspace with the largest batch weight submits the batch. */
function batchClient(options: DemoOptions, turn = 0): CallerClient {
  const { fleet, prepared, dispatcher } = options;
  const [workspace] = prepared.workspaces.toSorted((left, right) =>
    (right.batchWeight ?? 1) - (left.batchWeight ?? 1)
  );
  const urls = runningUrls(fleet);
  const baseUrl = urls[turn % urls.length] ?? "";
  return new CallerClient({ baseUrl, key: workspace?.key ?? "", dispatcher });
}

async function showOneAnswer(options: DemoOptions): Promise<void> {
  const { fleet, prepared, dispatcher, show } = options;
  const [workspace] = largestWorkspaces(prepared);
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
  const uploaded = await batchClient(options).uploadFile(content);
  const created = await batchClient(options).createBatch(uploaded.body.id, {
    idempotencyKey: "demo",
  });
  if (uploaded.status !== 200 || created.status !== 200) {
    throw new RosemaryrudderError(
      "demo_failed",
      `the batch was refused: ${JSON.stringify([uploaded.body, created.body])}`,
    );
  }
  const { id } = created.body;
  show(`batch ${id} accepted with ${created.body.request_counts.total} items`);
  const victim = fleet.instances.at(-1)?.id ?? "";
  const deadline = performance.now() + batchTimeoutMilliseconds;
  let shownAt = performance.now();
  for (let turn = 0; performance.now() < deadline; turn++) {
    const { body } = await batchClient(options, turn).getBatch(id)
      .catch(() => ({ body: undefined }));
    const counts = body?.request_counts;
    const finished = (counts?.completed ?? 0) + (counts?.failed ?? 0);
    const total = counts?.total ?? 0;
    if (total > 0 && finished >= total * killShare && fleet.isRunning(victim)) {
      await fleet.kill(victim);
      show(`killed ${victim} after ${finished} items`);
    }
    if (performance.now() - shownAt >= progressMilliseconds) {
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
      : batchClient(options).readFileLines<ResultLine>(file);
  return {
    output: await read(batch.output_file_id),
    errors: await read(batch.error_file_id),
  };
}

async function readJournals(fleet: Fleet): Promise<JournalRecord[]> {
  const journals = await Promise.all(
    fleet.upstreams.filter(({ kind }) => kind === "engine").map(
      async ({ url }) => await (await fetch(`${url}/journal`)).text(),
    ),
  );
  return journals.flatMap((text) =>
    text.split("\n").filter((line) => line !== "").map((line) =>
      JSON.parse(line) as JournalRecord
    )
  );
}
