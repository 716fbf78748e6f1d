/**
 * Tests of batch durability. Every accepted item gets exactly one readable outcome while
 * instances are killed, paused and replaced, and while the log is down or loses answers.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { TestFleet, waitUntil } from "./test-fleet.ts";

const workspace = "lot-tagging";
const itemCount = 240;
/** Lines of the batch input that the engines reject, which yields an error outcome. */
const impossibleLines = [17, 103, 200];

function itemContents(count = itemCount): string[] {
  return Array.from(
    { length: count },
    (_, index) =>
      `${impossibleLines.includes(index) ? "IMPOSSIBLE " : ""}lot ${index}`,
  );
}

interface ResultLine {
  readonly custom_id: string;
}

/** Asserts at every running instance that each item has one outcome, an error if impossible. */
async function assertOneOutcomePerItem(
  testFleet: TestFleet,
  batchId: string,
  count = itemCount,
): Promise<void> {
  const readers = testFleet.instances
    .map((instance, index) => ({ instance, index }))
    .filter(({ instance }) => testFleet.fleet.isRunning(instance.id));
  for (const { index } of readers) {
    const client = testFleet.client(index, workspace);
    const { body } = await client.getBatch(batchId);
    const outputs = await client.readFileLines<ResultLine>(
      body.output_file_id!,
    );
    const errors = await client.readFileLines<ResultLine>(body.error_file_id!);
    const ids = [...outputs, ...errors].map((line) => line.custom_id);
    assert.equal(ids.length, count, "lost or duplicate outcomes");
    assert.equal(new Set(ids).size, count, "duplicate outcomes");
    assert.deepEqual(
      errors.map((line) => line.custom_id).sort(),
      impossibleLines.filter((line) => line < count)
        .map((line) => `item-${line}`).sort(),
    );
  }
}

async function submitBatch(
  testFleet: TestFleet,
  instance = 0,
  count = itemCount,
) {
  const client = testFleet.client(instance, workspace);
  const file = await client.uploadFile(
    testFleet.batchInput(itemContents(count)),
  );
  assert.equal(file.status, 200, JSON.stringify(file.body));
  const batch = await client.createBatch(file.body.id, {
    idempotencyKey: "run-1",
  });
  assert.equal(batch.status, 200, JSON.stringify(batch.body));
  return { file: file.body.id, batch: batch.body.id };
}

async function waitForProgress(
  testFleet: TestFleet,
  instance: number,
  batchId: string,
  completed: number,
): Promise<void> {
  const client = testFleet.client(instance, workspace);
  await waitUntil(`${completed} items are done`, async () => {
    const { body } = await client.getBatch(batchId);
    return body.request_counts.completed >= completed;
  });
}

test("a batch survives the loss of the instance that acknowledged it", async () => {
  await using testFleet = await TestFleet.start({
    changes: { instances: 4 },
  });
  const { file, batch } = await submitBatch(testFleet);
  await testFleet.fleet.kill(testFleet.instance(0).id);
  const other = testFleet.client(1, workspace);
  const resent = await waitUntil("the batch is found again", async () => {
    const answer = await other.createBatch(file, { idempotencyKey: "run-1" });
    return answer.status === 200 && answer;
  });
  assert.equal(resent.body.id, batch);
  const done = await other.waitForBatch(batch);
  assert.equal(done.status, "completed");
  await assertOneOutcomePerItem(testFleet, batch);
});

test("a batch survives the replacement of every instance during the job", async () => {
  await using testFleet = await TestFleet.start({
    changes: { instances: 6, engineSettings: { concurrency: 2 } },
    startedInstances: 3,
  });
  const { batch } = await submitBatch(testFleet);
  for (let index = 0; index < 3; index++) {
    await waitForProgress(testFleet, index + 2, batch, 30 * (index + 1));
    await testFleet.fleet.startInstance(testFleet.instance(index + 3).id);
    await testFleet.fleet.kill(testFleet.instance(index).id);
  }
  const done = await testFleet.client(4, workspace).waitForBatch(batch);
  assert.equal(done.status, "completed");
  await assertOneOutcomePerItem(testFleet, batch);
});

test("writes of an owner that was paused past its eviction have no effect", async () => {
  await using testFleet = await TestFleet.start({
    changes: { instances: 4, engineSettings: { concurrency: 2 } },
  });
  const { batch } = await submitBatch(testFleet);
  await waitForProgress(testFleet, 1, batch, 20);
  const paused = testFleet.instance(0);
  testFleet.fleet.pause(paused.id);
  const observer = testFleet.instance(1);
  await waitUntil("the paused instance is evicted", async () => {
    const { members } = await testFleet.status(observer);
    return !members.some(({ instance }) => instance === paused.id);
  });
  await waitForProgress(testFleet, 1, batch, 120);
  testFleet.fleet.resume(paused.id);
  const done = await testFleet.client(1, workspace).waitForBatch(batch);
  assert.equal(done.status, "completed");
  await waitUntil("the paused instance joins again", async () => {
    const { phase, members } = await testFleet.status(paused);
    return phase === "serving" &&
      members.some(({ instance }) => instance === paused.id);
  });
  await assertOneOutcomePerItem(testFleet, batch);
});

test("every item completes once despite a log outage and lost log answers", async () => {
  await using testFleet = await TestFleet.start({
    changes: { instances: 3, engineSettings: { concurrency: 2 } },
  });
  const { file, batch } = await submitBatch(testFleet);
  await waitForProgress(testFleet, 1, batch, 20);
  await testFleet.fleet.setFaults("log", { dropAppendAnswers: 20 });
  await waitForProgress(testFleet, 1, batch, 60);
  await testFleet.fleet.setFaults("log", { outage: true });
  await sleep(10_000);
  const refused = await testFleet.client(2, workspace).createBatch(file, {
    idempotencyKey: "run-2",
  });
  assert.equal(refused.status, 503);
  await testFleet.fleet.setFaults("log", { outage: false });
  const done = await testFleet.client(2, workspace).waitForBatch(batch);
  assert.equal(done.status, "completed");
  await assertOneOutcomePerItem(testFleet, batch);
});

test("a batch survives the loss of two instances at once", async () => {
  await using testFleet = await TestFleet.start({
    changes: { instances: 5, engineSettings: { concurrency: 2 } },
  });
  const { batch } = await submitBatch(testFleet);
  await waitForProgress(testFleet, 4, batch, 40);
  await Promise.all(
    [0, 1].map((index) => testFleet.fleet.kill(testFleet.instance(index).id)),
  );
  const done = await testFleet.client(4, workspace).waitForBatch(batch);
  assert.equal(done.status, "completed");
  await assertOneOutcomePerItem(testFleet, batch);
});
