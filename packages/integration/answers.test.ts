/**
 * Tests of answers and cancellation. Each caller gets the complete answer to its own request or
 * an error with a code while upstreams truncate, swap and delay answers. A cancelled job sends no
 * calls later than 2 s after its cancellation.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { EngineFaults } from "../stand-ins/engine/settings.ts";
import { TestFleet, waitUntil } from "./test-fleet.ts";

const workspace = "lot-tagging";
const cancelLimitMilliseconds = 2_000;

interface ChatAnswer {
  readonly choices?: readonly {
    readonly message: { readonly content: string };
  }[];
  readonly error?: { readonly code: string };
}

test("late, swapped and truncated answers never reach the wrong caller or look complete", async () => {
  await using testFleet = await TestFleet.start();
  const expectedTexts = new Map<string, string>();
  const contents = Array.from(
    { length: 24 },
    (_, index) => `question ${index}`,
  );
  const ask = async (instance: number, content: string) => {
    const { status, body } = await testFleet.client(instance, workspace)
      .json<ChatAnswer>(
        "POST",
        "/v1/chat/completions",
        testFleet.chatBody(content, { max_tokens: 8 }),
      );
    return { status, text: body.choices?.[0]?.message.content, body };
  };
  for (const content of contents) {
    const { status, text } = await ask(0, content);
    assert.equal(status, 200);
    assert.ok(text);
    expectedTexts.set(content, text);
  }
  assert.equal(new Set(expectedTexts.values()).size, contents.length);
  const faults = [
    { truncateAnswers: 8 },
    { swapAnswers: 8 },
    { lateMilliseconds: 300 },
    { endWithoutDone: 8 },
  ];
  const setFaults = async (fault: Partial<EngineFaults>) => {
    for (const engine of ["engine-1", "engine-2"]) {
      await testFleet.fleet.setFaults(engine, fault);
    }
  };
  for (const fault of faults) {
    await setFaults(fault);
    await Promise.all(contents.map(async (content, index) => {
      const { status, text, body } = await ask(index % 3, content);
      if (status === 200) assert.equal(text, expectedTexts.get(content));
      else assert.ok(body.error?.code, "an error without a code");
    }));
    // Faults apply to a number of answers, which the calls without streaming have used up.
    await setFaults(fault);
    await Promise.all(contents.map(async (content, index) => {
      const answer = await testFleet.client(index % 3, workspace)
        .chatStream(testFleet.chatBody(content, { max_tokens: 8 }));
      const expected = expectedTexts.get(content) ?? "";
      if (answer.isComplete) assert.equal(answer.text, expected);
      else {
        assert.ok(answer.error, "a stream ended early without an error");
        assert.ok(expected.startsWith(answer.text), "text of another answer");
      }
    }));
    await setFaults({
      truncateAnswers: 0,
      swapAnswers: 0,
      lateMilliseconds: 0,
      endWithoutDone: 0,
    });
  }
});

test("a cancelled job stops within 2 s and stays cancelled when its owner is killed", async () => {
  await using testFleet = await TestFleet.start({
    changes: {
      instances: 4,
      engineSettings: {
        concurrency: 2,
        minimumTokens: 20,
        tokenMilliseconds: 10,
      },
    },
  });
  const client = testFleet.client(3, workspace);
  const contents = Array.from({ length: 400 }, (_, index) => `lot ${index}`);
  const file = await client.uploadFile(testFleet.batchInput(contents));
  assert.equal(file.status, 200, JSON.stringify(file.body));
  const batch = await client.createBatch(file.body.id);
  assert.equal(batch.status, 200, JSON.stringify(batch.body));
  await waitUntil("items run", async () => {
    const { body } = await client.getBatch(batch.body.id);
    return body.request_counts.completed > 10;
  });
  const cancel = await client.json(
    "POST",
    `/v1/batches/${batch.body.id}/cancel`,
  );
  assert.equal(cancel.status, 200);
  const cancelledAt = Date.now();
  await client.waitForBatch(batch.body.id, {
    states: ["cancelled"],
    timeoutMilliseconds: cancelLimitMilliseconds,
  });
  const stopDeadline = cancelledAt + cancelLimitMilliseconds;
  const findLateCalls = async () =>
    (await testFleet.journal("engine")).filter(({ time }) =>
      Date.parse(time) > stopDeadline
    );
  const { body: jobAfterCancellation } = await client.getBatch(batch.body.id);
  await testFleet.fleet.kill(testFleet.instance(0).id);
  await testFleet.fleet.kill(testFleet.instance(1).id);
  await waitUntil("the killed instances are evicted", async () => {
    const { members } = await testFleet.status(testFleet.instance(3));
    return members.length === 2;
  });
  const jobAfterEviction = await waitUntil("the job is found", async () => {
    const answer = await client.getBatch(batch.body.id);
    return answer.status === 200 && answer.body;
  });
  assert.equal(jobAfterEviction.status, "cancelled");
  assert.deepEqual(
    jobAfterEviction.request_counts,
    jobAfterCancellation.request_counts,
  );
  assert.deepEqual(await findLateCalls(), []);
});
