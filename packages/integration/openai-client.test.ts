/**
 * Tests of API compatibility: the unmodified OpenAI client library works when it is given an
 * instance's base address and a workspace key.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import OpenAI, { toFile } from "openai";
import { TestFleet, waitUntil } from "./test-fleet.ts";

test("an OpenAI client chats, streams, runs a batch and cancels another", async () => {
  await using testFleet = await TestFleet.start();
  const client = new OpenAI({
    baseURL: `${testFleet.instance(0).url}/v1`,
    apiKey: testFleet.keyOf("lot-tagging"),
  });
  const models = await client.models.list();
  assert.deepEqual(models.data.map(({ id }) => id), [testFleet.model]);

  const messages = [{ role: "user" as const, content: "Which class?" }];
  const whole = await client.chat.completions.create({
    model: testFleet.model,
    messages,
    max_tokens: 8,
  });
  const text = whole.choices[0]?.message.content ?? "";
  assert.ok(text.length > 0);

  const stream = await client.chat.completions.create({
    model: testFleet.model,
    messages,
    max_tokens: 8,
    stream: true,
  });
  let streamed = "";
  for await (const chunk of stream) {
    streamed += chunk.choices[0]?.delta.content ?? "";
  }
  assert.equal(streamed, text);

  const contents = Array.from({ length: 20 }, (_, line) => `lot ${line}`);
  const file = await client.files.create({
    file: await toFile(
      Buffer.from(testFleet.batchInput(contents)),
      "lots.jsonl",
    ),
    purpose: "batch",
  });
  const batch = await client.batches.create({
    input_file_id: file.id,
    endpoint: "/v1/chat/completions",
    completion_window: "24h",
    metadata: { run: "test" },
  });
  const done = await waitUntil("the batch is done", async () => {
    const current = await client.batches.retrieve(batch.id);
    return current.status === "completed" && current;
  });
  assert.deepEqual(done.request_counts, {
    total: 20,
    completed: 20,
    failed: 0,
  });
  const output = await (await client.files.content(done.output_file_id!))
    .text();
  assert.equal(output.trim().split("\n").length, 20);
  const listed = await client.batches.list({ limit: 10 });
  assert.deepEqual(listed.data.map(({ id }) => id), [batch.id]);

  const many = Array.from({ length: 500 }, (_, line) => `long ${line}`);
  const secondFile = await client.files.create({
    file: await toFile(Buffer.from(testFleet.batchInput(many)), "more.jsonl"),
    purpose: "batch",
  });
  const second = await client.batches.create({
    input_file_id: secondFile.id,
    endpoint: "/v1/chat/completions",
    completion_window: "24h",
  });
  await client.batches.cancel(second.id);
  await waitUntil("the batch is cancelled", async () => {
    const current = await client.batches.retrieve(second.id);
    return current.status === "cancelled";
  });
});

test("an OpenAI client receives error codes", async () => {
  await using testFleet = await TestFleet.start({ base: "single" });
  const create = (key: string, model: string) =>
    new OpenAI({
      baseURL: `${testFleet.instance(0).url}/v1`,
      apiKey: key,
      maxRetries: 0,
    }).chat.completions.create({
      model,
      messages: [{ role: "user", content: "a" }],
    });
  const key = testFleet.keyOf("lot-tagging");
  await assert.rejects(create("wrong", testFleet.model), {
    status: 401,
    code: "unknown_key",
  });
  await assert.rejects(create(key, "no-such-model"), { code: "unknown_model" });
});
