/**
 * Tests faults of instances, of the log and of grants: no item is lost, has two outcomes, or runs
 * again although its call may not be repeated.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerError, UpstreamError } from "../common/errors.ts";
import type { BatchItemCall } from "../routing/upstream-caller.ts";
import { FileStore } from "./files/file-store.ts";
import {
  chatItems,
  FakeFleet,
  type FakeInstance,
  readResults,
  submit,
  waitFor,
  waitUntilEnded,
  workspace,
} from "./testing/fake-fleet.ts";
import { delay, withTimeout } from "./timing.ts";

const okResponse = (call: BatchItemCall) => ({
  status: 200,
  body: { n: call.line },
});

/** Creates an upstream call that responds after a delay and fails as soon as it is aborted. */
function runFor(milliseconds: number, calls: BatchItemCall[] = []) {
  return async (call: BatchItemCall) => {
    calls.push(call);
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(resolve, milliseconds);
      call.signal.addEventListener("abort", () => {
        clearTimeout(timer);
        reject(
          new UpstreamError("aborted", "aborted", { verdict: "unknown" }),
        );
      });
    });
    return okResponse(call);
  };
}

function scaleItems(count: number): unknown[] {
  return Array.from({ length: count }, (_, line) => ({
    custom_id: `item-${line}`,
    method: "POST",
    url: "/scale/tags",
    body: { line },
  }));
}

async function assertOneOutcomeEach(
  instance: FakeInstance,
  job: Parameters<typeof readResults>[1],
  count: number,
) {
  const { output, errors } = await readResults(instance, job);
  const ids = [...output, ...errors].map((line) => line.custom_id);
  assert.equal(new Set(ids).size, ids.length, "an item has two outcomes");
  assert.equal(ids.length, count);
  return { output, errors };
}

function callsByLine(calls: readonly BatchItemCall[]): Map<number, number> {
  const counts = new Map<number, number>();
  for (const { line } of calls) counts.set(line, (counts.get(line) ?? 0) + 1);
  return counts;
}

test("when an owner is killed amid its ranges, every item has exactly one outcome", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(30) });
  context.after(() => fleet.dispose());
  const [a, b, c] = fleet.start("a", "b", "c") as [
    FakeInstance,
    FakeInstance,
    FakeInstance,
  ];
  const job = await submit(a, chatItems(400), { idempotencyKey: "spread" });
  await waitFor(() =>
    b.service.statistics.running > 0 && b.service.statistics.completed > 5
  );
  fleet.kill(b);
  fleet.publishMembers([a, c], [a, c]);
  const ended = await waitUntilEnded(a, job.id);
  assert.deepEqual(ended.counts, { total: 400, completed: 400, failed: 0 });
  await assertOneOutcomeEach(c, job.id, 400);
});

test("an executor whose items all run or wait for capacity is idle", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(1_500) });
  context.after(() => fleet.dispose());
  const [a] = fleet.start("a") as [FakeInstance];
  a.capacity.concurrency = 4;
  const job = await submit(a, chatItems(12));
  await waitFor(() => a.service.statistics.running === 4);
  await delay(200);
  const before = a.capacity.setDemandCalls;
  await delay(500);
  const updates = a.capacity.setDemandCalls - before;
  assert.ok(updates < 50, `the demand was set ${updates} times in 500 ms`);
  await waitUntilEnded(a, job.id);
});

test("a job completes when its home owner is killed right after the acknowledgement", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(2) });
  context.after(() => fleet.dispose());
  const instances = fleet.start("a", "b", "c");
  for (const instance of instances) {
    const others = instances.filter((other) =>
      other !== instance && !other.isDead
    );
    if (others.length < 2) break;
    const job = await submit(instance, chatItems(30));
    fleet.kill(instance);
    fleet.publishMembers(others, others);
    const ended = await waitUntilEnded(others[0]!, job.id);
    assert.equal(ended.counts.completed, 30);
  }
});

test("entries that a paused owner writes after it resumes have no effect", async (context) => {
  const calls: BatchItemCall[] = [];
  const fleet = new FakeFleet({ runItem: runFor(25, calls) });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  const job = await submit(a, chatItems(300), { idempotencyKey: "spread" });
  await waitFor(() => b.service.statistics.completed > 10);
  let resume = () => {};
  b.gate.paused = new Promise((resolve) => resume = resolve);
  fleet.publishMembers([a], [a]);
  await waitUntilEnded(a, job.id);
  const before = await assertOneOutcomeEach(a, job.id, 300);
  b.gate.paused = undefined;
  resume();
  await delay(500);
  assert.deepEqual(await readResults(a, job.id), before);
  assert.equal(b.service.statistics.partitions, 0);
});

test("lost responses to appends do not duplicate outcomes", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(5) });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  fleet.log.losesEveryThirdAnswer = true;
  const job = await submit(a, chatItems(250));
  const ended = await waitUntilEnded(a, job.id);
  assert.deepEqual(ended.counts, { total: 250, completed: 250, failed: 0 });
  await assertOneOutcomeEach(b, job.id, 250);
});

test("an idempotency key finds its job on every instance and refuses another request", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(1) });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  const options = { idempotencyKey: "key-1" };
  const [one, two] = await Promise.all([
    submit(a, chatItems(20), options),
    submit(b, chatItems(20), options),
  ]);
  assert.equal(one.id, two.id);
  assert.equal(one.inputFile, two.inputFile);
  await assert.rejects(
    submit(b, chatItems(20), { ...options, fingerprint: "other" }),
    (error: CallerError) => error.code === "idempotency_key_reused",
  );
  assert.equal((await b.service.listJobs(workspace, { limit: 9 })).length, 1);
});

test("calls that may not be repeated run at most once when their owner is killed", async (context) => {
  const calls: BatchItemCall[] = [];
  const fleet = new FakeFleet({ runItem: runFor(60, calls) });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  const job = await submit(a, scaleItems(300), { idempotencyKey: "spread" });
  await waitFor(() =>
    b.service.statistics.running > 3 && b.service.statistics.completed > 20
  );
  fleet.kill(b);
  fleet.publishMembers([a], [a]);
  const ended = await waitUntilEnded(a, job.id);
  const { errors } = await assertOneOutcomeEach(a, job.id, 300);
  assert.ok([...callsByLine(calls).values()].every((count) => count === 1));
  assert.ok(errors.length > 0);
  for (const line of errors) {
    assert.equal(line.error?.code, "may_have_run");
    assert.equal(line.not_run, "unknown");
  }
  assert.equal(ended.counts.failed, errors.length);
});

test("a release waits for calls that may not be repeated and returns all other items", async (context) => {
  const calls: BatchItemCall[] = [];
  const fleet = new FakeFleet({ runItem: runFor(80, calls) });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  const scale = await submit(a, scaleItems(150), { idempotencyKey: "spread" });
  const chat = await submit(a, chatItems(150));
  await waitFor(() => b.service.statistics.completed > 10);
  await b.service.release();
  assert.equal(b.service.statistics.running, 0);
  fleet.publishMembers([a], [a]);
  for (const { id } of [scale, chat]) {
    const ended = await waitUntilEnded(a, id);
    assert.deepEqual(ended.counts, { total: 150, completed: 150, failed: 0 });
  }
  const scaleCalls = calls.filter((call) => call.job === scale.id);
  assert.equal(scaleCalls.length, 150);
  const suspects = fleet.log.streams().flatMap((name) =>
    fleet.log.entries(name).filter(({ kind }) => kind === "item-attempted")
  );
  assert.equal(suspects.length, 0, "a returned item was counted as lost");
});

test("jobs are accepted and cancelled while their home owner waits for a long call", async (context) => {
  const calls: BatchItemCall[] = [];
  const fleet = new FakeFleet({ runItem: runFor(2_500, calls), partitions: 1 });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  const [home, other] = await waitFor(() =>
    a.service.statistics.partitions > 0
      ? [a, b]
      : b.service.statistics.partitions > 0 && [b, a]
  );
  const long = await submit(home!, scaleItems(3));
  await waitFor(() => calls.length === 3);
  fleet.publishMembers([other!], [a, b], [home!]);
  const released = home!.service.release();
  const startedAt = Date.now();
  const job = await submit(other!, chatItems(50));
  await other!.service.cancelJob(workspace, job.id);
  assert.equal((await waitUntilEnded(other!, job.id)).status, "cancelled");
  assert.ok(Date.now() - startedAt < 1_500);
  assert.equal(home!.service.statistics.running, 3);
  await released;
  const ended = await waitUntilEnded(other!, long.id);
  assert.equal(ended.counts.completed, 3);
  assert.equal(calls.length, 3);
});

test("a cancelled job ends within 2 s and its remaining items get code cancelled", async (context) => {
  const calls: BatchItemCall[] = [];
  const fleet = new FakeFleet({ runItem: runFor(30, calls) });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  const job = await submit(a, chatItems(900));
  await waitFor(() => a.service.statistics.completed > 20);
  const startedAt = Date.now();
  const cancelled = await b.service.cancelJob(workspace, job.id);
  assert.match(cancelled?.status ?? "", /^cancell(ing|ed)$/);
  const ended = await waitUntilEnded(a, job.id);
  assert.ok(Date.now() - startedAt < 2_000);
  assert.equal(ended.status, "cancelled");
  const callsAtEnd = calls.length;
  const { output, errors } = await assertOneOutcomeEach(b, job.id, 900);
  assert.equal(output.length, ended.counts.completed);
  assert.ok(errors.every((line) => line.error?.code === "cancelled"));
  assert.ok(errors.some((line) => line.not_run === true));
  const started = new Set(calls.map(({ line }) => `item-${line}`));
  for (const line of errors) {
    if (line.not_run === true) assert.ok(!started.has(line.custom_id));
  }
  await delay(300);
  assert.equal(calls.length, callsAtEnd, "an item started after the cancel");
});

test("a job that operators list as cancelled is cancelled", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(30) });
  context.after(() => fleet.dispose());
  const [a] = fleet.start("a") as [FakeInstance];
  const job = await submit(a, chatItems(500));
  a.control.cancelJobs([job.id], "south");
  await delay(300);
  const before = await a.service.getJob(workspace, job.id);
  assert.equal(before?.status, "in_progress", "another section cancelled it");
  a.control.cancelJobs([job.id]);
  assert.equal((await waitUntilEnded(a, job.id)).status, "cancelled");
});

test("while the log is down at most 256 items are unrecorded, and the job resumes after it", async (context) => {
  const calls: BatchItemCall[] = [];
  const fleet = new FakeFleet({ runItem: runFor(3, calls) });
  context.after(() => fleet.dispose());
  const [a] = fleet.start("a") as [FakeInstance];
  const job = await submit(a, chatItems(1_500));
  await waitFor(() => a.service.statistics.completed > 50);
  fleet.log.isDown = true;
  await waitFor(() => a.service.statistics.unrecorded === 256);
  await delay(300);
  const callsInOutage = calls.length;
  await delay(300);
  assert.equal(calls.length, callsInOutage);
  await assert.rejects(
    a.service.createJob({
      workspace,
      inputFile: job.inputFile,
      endpoint: "/v1/chat/completions",
      deadline: 1,
      fingerprint: "",
    }),
    (error: CallerError) => error.status === 503,
  );
  fleet.log.isDown = false;
  const ended = await waitUntilEnded(a, job.id);
  assert.equal(ended.counts.completed, 1_500);
  assert.equal(calls.length, 1_500);
});

test("revoked grants return items without an attempt", async (context) => {
  const fleet = new FakeFleet({ runItem: runFor(40) });
  context.after(() => fleet.dispose());
  const [a] = fleet.start("a") as [FakeInstance];
  const job = await submit(a, chatItems(120));
  const timer = setInterval(() => a.capacity.revokeAll(), 70);
  const ended = await waitUntilEnded(a, job.id);
  clearInterval(timer);
  assert.equal(ended.counts.completed, 120);
  const attempts = fleet.log.streams().flatMap((name) =>
    fleet.log.entries(name).filter(({ kind }) => kind === "item-attempted")
  );
  assert.equal(attempts.length, 0);
});

test("an item is not sent after its grant was revoked or the instance is not fresh", async (context) => {
  const written: number[] = [];
  const endings: ((instance: FakeInstance) => void)[] = [
    ({ capacity }) => capacity.revokeAll(),
    ({ control }) => control.isFresh = () => false,
  ];
  for (const [index, end] of endings.entries()) {
    let isFirst = true;
    const fleet = new FakeFleet({
      runItem: async (call) => {
        await delay(1);
        // Simulates a process pause between connecting and sending.
        if (isFirst) {
          isFirst = false;
          end(instance);
          assert.throws(() => call.checkBeforeSend?.(), `ending ${index}`);
          setTimeout(() => instance.control.isFresh = () => true, 50);
        }
        call.checkBeforeSend?.();
        written.push(call.line);
        return okResponse(call);
      },
    });
    context.after(() => fleet.dispose());
    const [instance] = fleet.start("a") as [FakeInstance];
    const job = await submit(instance, scaleItems(20));
    const ended = await waitUntilEnded(instance, job.id);
    assert.deepEqual(ended.counts, { total: 20, completed: 20, failed: 0 });
    assert.equal(written.length, 20 * (index + 1), "an item ran twice");
    assert.equal(
      fleet.log.streams().flatMap((name) =>
        fleet.log.entries(name).filter(({ kind }) => kind === "item-attempted")
      ).length,
      0,
    );
  }
});

test("an item whose job is cancelled while its call connects is not sent", async (context) => {
  const failures: unknown[] = [];
  const fleet = new FakeFleet({
    runItem: async (call) => {
      await new Promise((resolve) =>
        call.signal.addEventListener("abort", resolve)
      );
      try {
        call.checkBeforeSend?.();
      } catch (error) {
        failures.push((error as { code?: string }).code);
        throw error;
      }
      return okResponse(call);
    },
  });
  context.after(() => fleet.dispose());
  const [a] = fleet.start("a") as [FakeInstance];
  const job = await submit(a, chatItems(5));
  await waitFor(() => a.service.statistics.running === 5);
  await a.service.cancelJob(workspace, job.id);
  const ended = await waitUntilEnded(a, job.id);
  assert.equal(ended.counts.completed, 0);
  await waitFor(() => failures.length === 5);
  assert.deepEqual(new Set(failures), new Set(["item_not_started"]));
});

test("an item that kills its instance fails after three attempts and the rest completes", async (context) => {
  const poison = 17;
  const spare = ["b", "c", "d", "e", "f", "g"];
  const fleet: FakeFleet = new FakeFleet({ runItem: runFor(5) });
  context.after(() => fleet.dispose());
  const add = (name: string): FakeInstance => {
    const instance: FakeInstance = fleet.startInstance(name, async (call) => {
      if (call.line !== poison) return await runFor(5)(call);
      await delay(50);
      if (!instance.isDead) {
        fleet.kill(instance);
        const next = add(spare.shift()!);
        fleet.publishMembers([next], [next]);
      }
      return await new Promise(() => {});
    });
    return instance;
  };
  const first = add("a");
  fleet.publishMembers([first], [first]);
  const job = await submit(first, chatItems(100));
  const ended = await waitFor(async () => {
    const alive = [...fleet.instances.values()].find((one) => !one.isDead)!;
    const found = await withTimeout(
      alive.service.getJob(workspace, job.id).catch(() => undefined),
      500,
    );
    return found?.endedAt !== undefined && { alive, found };
  }, 60_000);
  assert.equal(ended.found.counts.completed, 99);
  const { errors } = await assertOneOutcomeEach(ended.alive, job.id, 100);
  assert.equal(errors[0]?.custom_id, `item-${poison}`);
  assert.equal(errors[0]?.error?.code, "instance_lost");
  assert.ok(
    spare.length >= 2,
    "the item killed more instances than its attempts allow",
  );
});

test("an invalid item fails without the others, and transient failures are retried", async (context) => {
  const counts = new Map<number, number>();
  const fleet = new FakeFleet({
    runItem: (call) => {
      const count = (counts.get(call.line) ?? 0) + 1;
      counts.set(call.line, count);
      if (call.line === 2) return Promise.resolve({ status: 422, body: {} });
      if (call.line === 3 && count < 3) {
        return Promise.resolve({ status: 500, body: {} });
      }
      if (call.line === 4) {
        const verdict = count < 2 ? "not_run" : "unknown";
        throw new UpstreamError("broken", "the call broke", { verdict });
      }
      return Promise.resolve(okResponse(call));
    },
  });
  context.after(() => fleet.dispose());
  const [a] = fleet.start("a") as [FakeInstance];
  const items = chatItems(5) as { url: string; body: { model: string } }[];
  items[0]!.url = "/nowhere";
  items[1]!.body.model = "unknown";
  const job = await submit(a, items);
  await waitUntilEnded(a, job.id);
  const { output, errors } = await assertOneOutcomeEach(a, job.id, 5);
  assert.deepEqual(output.map((line) => line.custom_id), ["item-3"]);
  const found = Object.fromEntries(
    errors.map((line) => [line.custom_id, [line.error?.code, line.not_run]]),
  );
  assert.deepEqual(found, {
    "item-0": ["url_not_found", true],
    "item-1": ["model_not_found", true],
    "item-2": ["upstream_status_422", false],
    "item-4": ["broken", "unknown"],
  });
  assert.deepEqual([...counts], [[2, 1], [3, 3], [4, 4]]);
});

test("input and results outlive the retention while their job is open", async (context) => {
  const retention = 3_000;
  const fleet = new FakeFleet({
    runItem: runFor(300),
    retentionSeconds: retention / 1_000,
    partitions: 2,
  });
  context.after(() => fleet.dispose());
  const [a, b] = fleet.start("a", "b") as [FakeInstance, FakeInstance];
  for (const { capacity } of [a, b]) capacity.concurrency = 4;
  const trimmer = setInterval(() => fleet.log.trimOlderThan(retention), 100);
  const job = await submit(a, chatItems(250), { idempotencyKey: "spread" });
  await waitFor(() => b.service.statistics.completed > 30);
  await delay(4_000);
  fleet.kill(b);
  fleet.publishMembers([a], [a]);
  a.capacity.concurrency = 60;
  const ended = await waitUntilEnded(a, job.id);
  assert.deepEqual(ended.counts, { total: 250, completed: 250, failed: 0 });
  await assertOneOutcomeEach(a, job.id, 250);
  const files = new FileStore(fleet.log.client({ paused: undefined }));
  assert.equal((await files.find(job.inputFile))?.lines, 250);
  assert.ok(
    fleet.log.records(job.inputFile)[0]!.offset > 0,
    "the first records of the file were never dropped",
  );
  await waitFor(async () => {
    const file = await a.service.getFile(workspace, job.outputFile);
    return file === undefined;
  });
  clearInterval(trimmer);
});
