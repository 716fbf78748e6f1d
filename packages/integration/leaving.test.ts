/**
 * Tests of planned stops, which must interrupt no request. Instances drain under load. An
 * upstream that the instance list shows as leaving gets no new calls and completes running ones.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { TestFleet } from "./test-fleet.ts";

const workspace = "lot-tagging";
/** Time within which all instances stop sending new calls to a leaving upstream. */
const leavingNoticeLimitMilliseconds = 3_000;

interface CallCounts {
  complete: number;
  /** Calls to an instance that no longer listened; a load balancer would try another one. */
  connectionRefused: number;
  refused: string[];
  interrupted: string[];
}

function isConnectionRefused(error: unknown): boolean {
  return (error as { code?: string }).code === "ECONNREFUSED";
}

/** Calls the ready instances in round-robin order, as a load balancer with readiness probes does. */
async function streamContinuously(
  testFleet: TestFleet,
  counts: CallCounts,
  signal: AbortSignal,
): Promise<void> {
  const calls: Promise<void>[] = [];
  for (let turn = 0; !signal.aborted; turn++) {
    const instanceIndex = turn % testFleet.instances.length;
    calls.push((async () => {
      const { id, metricsUrl, directUrl } = testFleet.instance(instanceIndex);
      const isReady = await fetch(`${metricsUrl}/readyz`)
        .then(({ status }) => status === 200).catch(() => false);
      if (!isReady) return;
      try {
        const answer = await testFleet.directClient(instanceIndex, workspace)
          .chatStream(testFleet.chatBody(`turn ${turn}`, { max_tokens: 40 }));
        if (answer.isComplete) counts.complete++;
        else if (answer.status !== 200) {
          counts.refused.push(`${id}: ${answer.error?.code}`);
        } else {counts.interrupted.push(
            `${id} ${directUrl}: ${answer.error?.message}`,
          );}
      } catch (error) {
        if (isConnectionRefused(error)) counts.connectionRefused++;
        else counts.interrupted.push(`${id}: ${String(error)}`);
      }
    })());
    await sleep(40);
  }
  await Promise.all(calls);
}

test("a rolling restart of all instances under load interrupts no stream", async () => {
  await using testFleet = await TestFleet.start({
    changes: { engines: 3 },
  });
  const counts: CallCounts = {
    complete: 0,
    connectionRefused: 0,
    refused: [],
    interrupted: [],
  };
  const abort = new AbortController();
  const load = streamContinuously(testFleet, counts, abort.signal);
  for (const { id } of testFleet.instances) {
    assert.equal(await testFleet.fleet.terminate(id), 0, `status of ${id}`);
    await testFleet.fleet.startInstance(id);
  }
  abort.abort();
  await load;
  assert.deepEqual(counts.interrupted, []);
  assert.deepEqual(counts.refused, []);
  assert.equal(counts.connectionRefused, 0);
  assert.ok(counts.complete > 50, `${counts.complete}`);
});

test("a stream of 20 s survives SIGTERM, even when it is sent twice", async () => {
  await using testFleet = await TestFleet.start({
    changes: {
      engineSettings: {
        minimumTokens: 200,
        maximumTokens: 200,
        tokenMilliseconds: 100,
        concurrency: 8,
      },
    },
  });
  const first = testFleet.instance(0);
  const stream = testFleet.client(0, workspace)
    .chatStream(testFleet.chatBody("long", { max_tokens: 200 }));
  await sleep(1_000);
  const exitStatus = testFleet.fleet.terminate(first.id);
  await sleep(1_000);
  assert.equal((await fetch(`${first.metricsUrl}/readyz`)).status, 503);
  void testFleet.fleet.terminate(first.id);
  const answer = await stream;
  assert.equal(answer.error, undefined);
  assert.ok(answer.isComplete);
  assert.ok(answer.totalMilliseconds > 19_000, `${answer.totalMilliseconds}`);
  assert.equal(await exitStatus, 0);
});

test("an upstream listed as leaving gets no new calls after 3 s and completes running ones", async () => {
  await using testFleet = await TestFleet.start({
    changes: {
      engineSettings: {
        minimumTokens: 40,
        maximumTokens: 40,
        tokenMilliseconds: 100,
        concurrency: 32,
      },
    },
  });
  const client = testFleet.client(0, workspace);
  const file = await client.uploadFile(
    testFleet.batchInput(
      Array.from({ length: 60 }, (_, line) => `lot ${line}`),
    ),
  );
  const batch = await client.createBatch(file.body.id);
  const earlyStreams = Array.from(
    { length: 12 },
    (_, index) =>
      testFleet.client(index % 3, workspace)
        .chatStream(testFleet.chatBody(`early ${index}`, { max_tokens: 40 })),
  );
  await sleep(500);
  await testFleet.fleet.setListedState("engine-1", "leaving");
  const listedAsLeavingAt = Date.now();
  await sleep(leavingNoticeLimitMilliseconds);
  for (let index = 0; index < 12; index++) {
    const answer = await client.json(
      "POST",
      "/v1/chat/completions",
      testFleet.chatBody(`late ${index}`, { max_tokens: 1 }),
    );
    assert.equal(answer.status, 200);
  }
  for (const answer of await Promise.all(earlyStreams)) {
    assert.ok(answer.isComplete);
  }
  await client.waitForBatch(batch.body.id);
  const lateCalls = (await testFleet.journalOf("engine-1")).filter(({ time }) =>
    Date.parse(time) > listedAsLeavingAt + leavingNoticeLimitMilliseconds
  );
  assert.deepEqual(lateCalls, []);
});
