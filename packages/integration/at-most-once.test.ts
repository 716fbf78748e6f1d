/**
 * Tests of at-most-once execution. While connections are cut and instances are killed, a
 * non-repeatable call runs at most once, online and in a batch, and a call that is reported as
 * not run was never executed.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { ErrorBody } from "../client/caller-client.ts";
import type { JournalLine } from "../stand-ins/shared/test-support.ts";
import { TestFleet, waitUntil } from "./test-fleet.ts";

const workspace = "scale-house";
const path = "/weight-tickets/tickets";

interface Outcome {
  readonly ticket: string;
  readonly status: number;
  readonly notRun: boolean | "unknown" | undefined;
}

/** Sends one ticket; a connection that ends without an answer is an unknown outcome. */
async function sendTicket(
  testFleet: TestFleet,
  instance: number,
  ticket: string,
): Promise<Outcome> {
  try {
    const client = testFleet.client(instance, workspace);
    const { status, body } = await client.json<Partial<ErrorBody>>(
      "POST",
      path,
      { ticket },
    );
    return { ticket, status, notRun: body?.error?.not_run };
  } catch {
    return { ticket, status: 0, notRun: undefined };
  }
}

function executionsOf(journal: readonly JournalLine[], ticket: string): number {
  return journal.filter(({ body }) => body.includes(`"${ticket}"`)).length;
}

function assertAtMostOnce(
  journal: readonly JournalLine[],
  outcomes: readonly Outcome[],
): void {
  for (const { ticket, status, notRun } of outcomes) {
    const executions = executionsOf(journal, ticket);
    assert.ok(executions <= 1, `${ticket} ran ${executions} times`);
    if (notRun === true) assert.equal(executions, 0, `${ticket} had run`);
    if (status === 200) assert.equal(executions, 1, `${ticket} had not run`);
  }
}

test("a non-repeatable call is not repeated after any connection fault", async () => {
  await using testFleet = await TestFleet.start();
  const outcomes: Outcome[] = [];
  const faults = [
    { closeBeforeRequest: 3 },
    { closeDuringRequest: 3 },
    { closeAfterRequest: 3 },
  ];
  for (const [round, fault] of faults.entries()) {
    await testFleet.fleet.setFaults("plain-1", fault);
    for (let index = 0; index < 4; index++) {
      outcomes.push(
        await sendTicket(testFleet, index % 3, `fault-${round}-${index}`),
      );
    }
    await testFleet.fleet.setFaults("plain-1", {
      closeBeforeRequest: 0,
      closeDuringRequest: 0,
      closeAfterRequest: 0,
    });
  }
  await testFleet.fleet.faults.cut("*", "plain-1");
  for (let index = 0; index < 3; index++) {
    outcomes.push(await sendTicket(testFleet, index, `cut-${index}`));
  }
  await testFleet.fleet.faults.dropAnswers("*", "plain-1");
  for (let index = 0; index < 3; index++) {
    outcomes.push(await sendTicket(testFleet, index, `dropped-${index}`));
  }
  await testFleet.fleet.faults.healAll();
  outcomes.push(await sendTicket(testFleet, 0, "healed"));
  assert.equal(outcomes.at(-1)?.status, 200);
  assertAtMostOnce(await testFleet.journal("plain"), outcomes);
});

test("killing an instance with non-repeatable calls in flight repeats none of them", async () => {
  await using testFleet = await TestFleet.start({
    changes: { plainServiceSettings: { delayMilliseconds: 500 } },
  });
  const calls = Array.from(
    { length: 6 },
    (_, index) => sendTicket(testFleet, 0, `killed-${index}`),
  );
  await waitUntil("the calls have arrived", async () => {
    return (await testFleet.journal("plain")).length >= 6;
  });
  await testFleet.fleet.kill(testFleet.instance(0).id);
  assertAtMostOnce(await testFleet.journal("plain"), await Promise.all(calls));
});

test("non-repeatable batch items run at most once when their owners are killed", async () => {
  const count = 120;
  await using testFleet = await TestFleet.start({
    changes: { instances: 5, plainServiceSettings: { delayMilliseconds: 150 } },
    edit: (document) => {
      for (const upstream of document.platform.upstreams) {
        if (upstream["kind"] === "plain") upstream["concurrency"] = 4;
      }
    },
  });
  const lines = Array.from({ length: count }, (_, index) =>
    JSON.stringify({
      custom_id: `ticket-${index}`,
      method: "POST",
      url: path,
      body: { ticket: `batch-${index}` },
    })).join("\n");
  const client = testFleet.client(4, workspace);
  const file = await client.uploadFile(lines);
  const batch = await client.createBatch(file.body.id, { endpoint: path });
  assert.equal(batch.status, 200, JSON.stringify(batch.body));
  for (const index of [0, 1]) {
    await waitUntil("items have run", async () => {
      const journal = await testFleet.journal("plain");
      return journal.length >= 15 * (index + 1);
    });
    await testFleet.fleet.kill(testFleet.instance(index).id);
  }
  const done = await client.waitForBatch(batch.body.id);
  const journal = await testFleet.journal("plain");
  for (let index = 0; index < count; index++) {
    const executions = executionsOf(journal, `batch-${index}`);
    assert.ok(executions <= 1, `batch-${index} ran ${executions} times`);
  }
  const outputs = await client.readFileLines(done.output_file_id!);
  const errors = await client.readFileLines<
    { custom_id: string; not_run: unknown }
  >(
    done.error_file_id!,
  );
  assert.equal(outputs.length + errors.length, count);
  for (const { custom_id, not_run } of errors) {
    if (not_run !== true) continue;
    const ticket = custom_id.replace("ticket", "batch");
    assert.equal(executionsOf(journal, ticket), 0, `${ticket} had run`);
  }
});
