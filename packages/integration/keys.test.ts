/**
 * Tests of workspace keys. A key grants access to its own workspace only, and every instance
 * refuses it within 3 s of its withdrawal, even an instance that cannot reach the log. Keys
 * appear in no upstream request, log line or metric.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerClient } from "../client/caller-client.ts";
import { TestFleet } from "./test-fleet.ts";

const withdrawalLimitMilliseconds = 3_000;
const section = "hulling";
const workspace = "lot-tagging";

interface Observation {
  readonly startedAt: number;
  readonly instance: number;
  readonly status: number;
}

/** Calls one instance over reused connections until the signal aborts. */
async function callContinuously(
  client: CallerClient,
  instance: number,
  body: Record<string, unknown>,
  signal: AbortSignal,
): Promise<Observation[]> {
  const observations: Observation[] = [];
  while (!signal.aborted) {
    const startedAt = performance.now();
    try {
      const { status } = await client.json(
        "POST",
        "/v1/chat/completions",
        body,
      );
      observations.push({ startedAt, instance, status });
    } catch {
      observations.push({ startedAt, instance, status: 0 });
    }
    await sleep(100);
  }
  return observations;
}

async function withdrawDuringTraffic(testFleet: TestFleet): Promise<{
  withdrawnAt: number;
  observations: Observation[];
}> {
  const abort = new AbortController();
  const body = testFleet.chatBody("lot 1", { max_tokens: 2 });
  const observers = testFleet.runningInstances.map((_, index) =>
    callContinuously(
      testFleet.client(index, workspace),
      index,
      body,
      abort.signal,
    )
  );
  await sleep(1_000);
  const target = testFleet.prepared.document[section]?.workspaces?.find(
    ({ id }) => id === workspace,
  );
  assert.ok(target);
  target.keys = [];
  await testFleet.publishSection(section);
  const withdrawnAt = performance.now();
  await sleep(withdrawalLimitMilliseconds + 2_000);
  abort.abort();
  return { withdrawnAt, observations: (await Promise.all(observers)).flat() };
}

function assertKeyStopped(
  withdrawnAt: number,
  observations: Observation[],
): void {
  const lateSuccesses = observations.filter((
    { startedAt, status },
  ) => status === 200 && startedAt > withdrawnAt + withdrawalLimitMilliseconds);
  assert.deepEqual(lateSuccesses, [], "a withdrawn key still worked");
  for (
    const instance of new Set(
      observations.map((observation) => observation.instance),
    )
  ) {
    const workedBefore = observations.some((observation) =>
      observation.instance === instance && observation.status === 200 &&
      observation.startedAt < withdrawnAt
    );
    assert.ok(workedBefore, `the key never worked at instance ${instance}`);
  }
}

test("a withdrawn key is refused at every instance, also on open connections", async () => {
  await using testFleet = await TestFleet.start();
  const { withdrawnAt, observations } = await withdrawDuringTraffic(testFleet);
  assertKeyStopped(withdrawnAt, observations);
});

test("a withdrawn key is refused at an instance that cannot reach the log", async () => {
  await using testFleet = await TestFleet.start();
  await testFleet.fleet.faults.cut("instance-1", "log");
  const { withdrawnAt, observations } = await withdrawDuringTraffic(testFleet);
  assertKeyStopped(withdrawnAt, observations);
});

test("an instance that reaches neither log nor peers refuses requests as not run", async () => {
  await using testFleet = await TestFleet.start();
  const client = testFleet.client(0, workspace);
  const body = testFleet.chatBody("isolated", { max_tokens: 2 });
  await testFleet.fleet.faults.cut("instance-1", "log");
  await testFleet.fleet.faults.cut("instance-1", "instance-*");
  await testFleet.fleet.faults.cut("instance-*", "instance-1");
  await sleep(withdrawalLimitMilliseconds);
  const callsBefore = (await testFleet.journal("engine")).length;
  const answer = await client.json("POST", "/v1/chat/completions", body);
  assert.equal(answer.status, 503);
  assert.equal(answer.body.error.not_run, true);
  assert.ok(answer.headers["retry-after"]);
  assert.equal((await testFleet.journal("engine")).length, callsBefore);
  const other = await testFleet.client(1, workspace)
    .json("POST", "/v1/chat/completions", body);
  assert.equal(other.status, 200);
});

test("a workspace cannot access another's files and batches, and no key leaves the instances", async () => {
  await using testFleet = await TestFleet.start();
  const ownerClient = testFleet.client(0, workspace);
  const otherClient = testFleet.client(1, "buyer-notices");
  const file = await ownerClient.uploadFile(
    testFleet.batchInput(["lot 1", "lot 2"]),
  );
  const batch = await ownerClient.createBatch(file.body.id);
  const done = await ownerClient.waitForBatch(batch.body.id);
  const paths = [
    `/v1/files/${file.body.id}`,
    `/v1/files/${file.body.id}/content`,
    `/v1/files/${done.output_file_id}/content`,
    `/v1/batches/${batch.body.id}`,
  ];
  for (const path of paths) {
    assert.equal((await otherClient.json("GET", path)).status, 404, path);
  }
  const cancel = await otherClient.json(
    "POST",
    `/v1/batches/${done.id}/cancel`,
  );
  assert.equal(cancel.status, 404);
  const listed = await otherClient.json<{ data: unknown[] }>(
    "GET",
    "/v1/batches",
  );
  assert.deepEqual(listed.body.data, []);

  const keys = testFleet.prepared.workspaces.map(({ key }) => key);
  await ownerClient.json("GET", `/prices?key=${keys[0]}`);
  await ownerClient.json("POST", "/prices", { key: "text" });
  await ownerClient.json("POST", "/v1/chat/completions", "{not json");
  const journals = [
    ...await testFleet.journal("engine"),
    ...await testFleet.journal("plain"),
  ].map((line) => JSON.stringify(line)).join("\n");
  const logs = testFleet.instances.map(({ id }) => testFleet.fleet.readLog(id))
    .join("\n");
  const metrics = await Promise.all(
    testFleet.instances.map(async ({ metricsUrl }) =>
      await (await fetch(`${metricsUrl}/metrics`)).text()
    ),
  );
  for (const key of keys) {
    assert.ok(!journals.includes(key), "a key reached an upstream");
    assert.ok(!logs.includes(key), "a key is in a log line");
    assert.ok(!metrics.join("\n").includes(key), "a key is in a metric");
  }
});
