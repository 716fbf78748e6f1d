/**
 * Planned stops cut off no request: instances drain under load, upstreams that the list shows
 * as leaving get nothing new and finish what they run.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { TestFleet } from "./test-fleet.ts";

const workspace = "lot-tagging";
const leavingLimitMilliseconds = 3_000;

interface CallCounts {
  complete: number;
  /** The instance no longer listened; the balancer would have gone elsewhere. */
  notConnected: number;
  refused: string[];
  cutOff: string[];
}

function isConnectionRefused(error: unknown): boolean {
  return (error as { code?: string }).code === "ECONNREFUSED";
}

/** Calls the instances in turn, as a balancer does that follows their readiness. */
async function streamContinuously(
  testFleet: TestFleet,
  counts: CallCounts,
  signal: AbortSignal,
): Promise<void> {
  const calls: Promise<void>[] = [];
  for (let turn = 0; !signal.aborted; turn++) {
    const index = turn % testFleet.instances.length;
    calls.push((async () => {
      const { id, metricsUrl, directUrl } = testFleet.instance(index);
      const isReady = await fetch(`${metricsUrl}/readyz`)
        .then(({ status }) => status === 200).catch(() => false);
      if (!isReady) return;
      try {
        const answer = await testFleet.directClient(index, workspace)
          .chatStream(testFleet.chatBody(`turn ${turn}`, { max_tokens: 40 }));
        if (answer.isComplete) counts.complete++;
        else if (answer.status !== 200) {
          counts.refused.push(`${id}: ${answer.error?.code}`);
        } else {counts.cutOff.push(
            `${id} ${directUrl}: ${answer.error?.message}`,
          );}
      } catch (error) {
        if (isConnectionRefused(error)) counts.notConnected++;
        else counts.cutOff.push(`${id}: ${String(error)}`);
      }
    })());
    await sleep(40);
  }
  await Promise.all(calls);
}

test("a rolling restart of all instances under load cuts off no stream", async () => {
  await using testFleet = await TestFleet.start({
    changes: { engines: 3 },
  });
  const counts: CallCounts = {
    complete: 0,
    notConnected: 0,
    refused: [],
    cutOff: [],
  };
  const abort = new AbortController();
  const load = streamContinuously(testFleet, counts, abort.signal);
  for (const { id } of testFleet.instances) {
    assert.equal(await testFleet.fleet.terminate(id), 0, `status of ${id}`);
    await testFleet.fleet.startInstance(id);
  }
  abort.abort();
  await load;
  assert.deepEqual(counts.cutOff, []);
  assert.deepEqual(counts.refused, []);
  assert.equal(counts.notConnected, 0);
  assert.ok(counts.complete > 50, `${counts.complete}`);
});

test("a stream of 20 s survives SIGTERM, also a second one", async () => {
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
  const ended = testFleet.fleet.terminate(first.id);
  await sleep(1_000);
  assert.equal((await fetch(`${first.metricsUrl}/readyz`)).status, 503);
  void testFleet.fleet.terminate(first.id);
  const answer = await stream;
  assert.equal(answer.error, undefined);
  assert.ok(answer.isComplete);
  assert.ok(answer.totalMilliseconds > 19_000, `${answer.totalMilliseconds}`);
  assert.equal(await ended, 0);
});

test("an upstream listed as leaving gets nothing new after 3 s and its calls finish", async () => {
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
  const early = Array.from(
    { length: 12 },
    (_, index) =>
      testFleet.client(index % 3, workspace)
        .chatStream(testFleet.chatBody(`early ${index}`, { max_tokens: 40 })),
  );
  await sleep(500);
  await testFleet.fleet.setListed("engine-1", "leaving");
  const leftAt = Date.now();
  await sleep(leavingLimitMilliseconds);
  for (let index = 0; index < 12; index++) {
    const answer = await client.json(
      "POST",
      "/v1/chat/completions",
      testFleet.chatBody(`late ${index}`, { max_tokens: 1 }),
    );
    assert.equal(answer.status, 200);
  }
  for (const answer of await Promise.all(early)) assert.ok(answer.isComplete);
  await client.waitForBatch(batch.body.id);
  const late = (await testFleet.journalOf("engine-1")).filter(({ time }) =>
    Date.parse(time) > leftAt + leavingLimitMilliseconds
  );
  assert.deepEqual(late, []);
});
