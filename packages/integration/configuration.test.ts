/**
 * Tests of configuration publishes. One of two concurrent publishes wins, a repeated publish takes
 * effect once, and an accepted section is in force on every instance within 6 s and never
 * reverts, even on an instance that starts after the records have expired.
 */

import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { controlStream } from "../control/constants.ts";
import { TestFleet, waitUntil } from "./test-fleet.ts";

const inForceLimitMilliseconds = 6_000;
const section = "trade";

interface ToolResult {
  readonly status: number;
  readonly output: string;
}

function runOperatorTool(
  command: readonly string[],
  file: string,
): Promise<ToolResult> {
  const [program = "", ...args] = command;
  return new Promise((resolve) => {
    execFile(program, [...args, file], (error, stdout, stderr) => {
      resolve({ status: Number(error?.code ?? 0), output: stdout + stderr });
    });
  });
}

/**
 * Resolves to the time just before the log was first seen to have a new control record, in
 * monotonic milliseconds.
 */
async function watchControlAppend(testFleet: TestFleet): Promise<number> {
  const readEnd = async () => {
    const response = await fetch(`${testFleet.fleet.log.url}/statistics`);
    const { streams } = await response.json() as {
      streams: Record<string, { end: number }>;
    };
    return streams[controlStream]?.end ?? 0;
  };
  const endAtStart = await readEnd();
  let lastSeenAt = performance.now();
  await waitUntil("the publish is in the log", async () => {
    const askedAt = performance.now();
    if (await readEnd() > endAtStart) return true;
    lastSeenAt = askedAt;
    return false;
  });
  return lastSeenAt;
}

/** Writes an operator's copy of the document into the fleet's folder. */
function writeDocument(
  testFleet: TestFleet,
  name: string,
  text: string,
): string {
  const file = join(testFleet.fleet.directory, name);
  writeFileSync(file, text);
  return file;
}

test("of two operators who race one wins, and the other's file stays untouched", async () => {
  await using testFleet = await TestFleet.start();
  const command = testFleet.publishCommand();
  const text = testFleet.currentDocument();
  const files = [11, 22].map((rate) =>
    writeDocument(
      testFleet,
      `operator-${rate}.yaml`,
      text.replace("id: accounts", `id: accounts # ${rate}`)
        .replace(/ratePerSecond: 5$/m, `ratePerSecond: ${rate}`),
    )
  );
  const before = files.map((file) => readFileSync(file, "utf8"));
  assert.notEqual(before[0], before[1]);
  const firstAppend = watchControlAppend(testFleet);
  const results = await Promise.all(
    files.map((file) => runOperatorTool(command, file)),
  );
  const winners = results.filter(({ status }) => status === 0);
  assert.equal(winners.length, 1, JSON.stringify(results));
  const loser = results.findIndex(({ status }) => status !== 0);
  assert.match(results[loser]?.output ?? "", /conflict/i);
  assert.equal(readFileSync(files[loser] ?? "", "utf8"), before[loser]);
  for (const instance of testFleet.instances) {
    await waitUntil(`${instance.id} applies the accepted publish`, async () => {
      const { sections } = await testFleet.status(instance);
      return sections[section] === 2 || sections["hulling"] === 2;
    });
  }
  // The limit counts from the acceptance, not from the start of the operators' processes.
  assert.ok(performance.now() - await firstAppend < inForceLimitMilliseconds);
});

test("two publishes that reach the log at once have one winner at every instance", async () => {
  await using testFleet = await TestFleet.start();
  const target = testFleet.prepared.document[section]?.workspaces?.[0];
  assert.ok(target);
  const publishers = [1, 2].map(() => testFleet.createPublisher(1));
  try {
    const rates = [31, 32];
    await Promise.all(publishers.map((publisher, index) => {
      target.ratePerSecond = rates[index] ?? 0;
      return publisher.publish(section);
    }));
    for (const instance of testFleet.instances) {
      await waitUntil(`${instance.id} has read both publishes`, async () => {
        const { sections, appliedOffset } = await testFleet.status(instance);
        const { appliedOffset: firstInstanceOffset } = await testFleet.status(
          testFleet.instance(0),
        );
        return (sections[section] ?? 0) >= 2 &&
          appliedOffset === firstInstanceOffset;
      });
      await sleep(500);
      const { sections } = await testFleet.status(instance);
      assert.equal(sections[section], 2, "both publishes were accepted");
    }
  } finally {
    for (const publisher of publishers) await publisher.dispose();
  }
});

test("a publish whose answer is lost takes effect once when it is repeated", async () => {
  await using testFleet = await TestFleet.start();
  const text = testFleet.currentDocument()
    .replace(/ratePerSecond: 5$/m, "ratePerSecond: 6");
  const file = writeDocument(testFleet, "operator.yaml", text);
  await testFleet.fleet.setFaults("log", { dropAppendAnswers: 1 });
  const first = await runOperatorTool(testFleet.publishCommand(), file);
  assert.equal(first.status, 0, first.output);
  writeFileSync(file, text);
  const second = await runOperatorTool(testFleet.publishCommand(), file);
  assert.equal(second.status, 0, second.output);
  const { sections } = await testFleet.status(testFleet.instance(0));
  assert.equal(Object.values(sections).filter((one) => one === 2).length, 1);
  assert.ok(Object.values(sections).every((version) => version <= 2));
});

test("an invalid section is refused with its path and line, and no section changes", async () => {
  await using testFleet = await TestFleet.start();
  const text = testFleet.currentDocument()
    .replace(/ratePerSecond: 5$/m, "ratePerSecond: -5");
  const file = writeDocument(testFleet, "operator.yaml", text);
  const line =
    text.split("\n").findIndex((one) => /ratePerSecond: -5$/.test(one)) + 1;
  const before = await testFleet.status(testFleet.instance(0));
  const result = await runOperatorTool(testFleet.publishCommand(), file);
  assert.notEqual(result.status, 0);
  assert.match(result.output, /ratePerSecond/);
  assert.match(result.output, new RegExp(`\\b${line}\\b`));
  assert.equal(readFileSync(file, "utf8"), text);
  const after = await testFleet.status(testFleet.instance(0));
  assert.deepEqual(after.sections, before.sections);
});

test("an instance that starts after the records have expired has the same configuration", async () => {
  const retentionSeconds = 12;
  await using testFleet = await TestFleet.start({
    changes: { logSettings: { retentionSeconds, appendsPerSecond: 400 } },
    startedInstances: 2,
  });
  const expected = (await testFleet.status(testFleet.instance(0))).sections;
  await sleep(2 * retentionSeconds * 1_000);
  await testFleet.fleet.startInstance(testFleet.instance(2).id);
  const { sections } = await testFleet.status(testFleet.instance(2));
  assert.deepEqual(sections, expected);
  const answer = await testFleet.client(2, "lot-tagging").json(
    "POST",
    "/v1/chat/completions",
    testFleet.chatBody("after expiry", { max_tokens: 2 }),
  );
  assert.equal(answer.status, 200);
});
