/**
 * Tests of workspace rate limits. Rate and burst bound the requests of all instances together,
 * as counted in the upstreams' journals, and a workspace within its rate is not refused.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { planArrivals, runOpenLoop } from "../measure/open-loop.ts";
import { TestFleet, waitUntil } from "./test-fleet.ts";

const workspace = "buyer-notices";
const section = "trade";
const ratePerSecond = 40;
const burst = 20;
const seed = 41;
const inForceLimitMilliseconds = 6_000;

interface LoadOptions {
  requestsPerSecond: number;
  durationMilliseconds: number;
  /** Instance for the request with the given index. */
  instanceOf: (index: number) => number;
}

interface LoadResult {
  readonly admitted: number;
  readonly refused: number;
  readonly other: number;
  readonly refusalsWithoutRetryAfter: number;
}

type LimitedFleet = TestFleet & { readonly sentAt: Map<number, number> };

let nextRequestId = 0;

async function startLimitedFleet(instances = 5): Promise<LimitedFleet> {
  const testFleet = await TestFleet.start({
    changes: { instances, engines: 2, plainServiceSettings: {} },
    edit: (document) => {
      const limitedWorkspace = document[section]?.workspaces?.find(({ id }) =>
        id === workspace
      );
      assert.ok(limitedWorkspace);
      limitedWorkspace.ratePerSecond = ratePerSecond;
      limitedWorkspace.burst = burst;
    },
  });
  // While an instance joins, a part of the rate is in use nowhere.
  await testFleet.waitUntilComplete();
  return Object.assign(testFleet, { sentAt: new Map<number, number>() });
}

async function applyLoad(
  testFleet: LimitedFleet,
  options: LoadOptions,
): Promise<LoadResult> {
  const result = { admitted: 0, refused: 0, other: 0, withoutHeader: 0 };
  const { requestsPerSecond, durationMilliseconds, instanceOf } = options;
  await runOpenLoop({
    arrivals: planArrivals({
      seed,
      durationMilliseconds,
      peakRatePerSecond: requestsPerSecond,
      rateAt: () => requestsPerSecond,
    }),
    send: async ({ index }) => {
      const client = testFleet.client(instanceOf(index), workspace);
      try {
        const id = nextRequestId++;
        testFleet.sentAt.set(id, Date.now());
        const { status, headers } = await client.json("GET", `/prices/${id}`);
        if (status === 200) result.admitted++;
        else if (status === 429) {
          result.refused++;
          if (!headers["retry-after"]) result.withoutHeader++;
        } else result.other++;
      } catch {
        result.other++;
      }
    },
  });
  const { withoutHeader, ...counts } = result;
  return { ...counts, refusalsWithoutRetryAfter: withoutHeader };
}

/**
 * Finds the largest number of requests above rate x window + burst, over all windows. A request
 * is admitted between its sending and its arrival at the upstream, so a window counts only the
 * requests that were both sent and received in it. Delays on a busy machine therefore cannot make
 * the check fail, and it needs no tolerance for them.
 */
async function findLargestExcess(
  testFleet: LimitedFleet,
  { rate = ratePerSecond, allowedBurst = burst, from = 0, to = Infinity } = {},
): Promise<number> {
  const admitted = (await testFleet.journal("plain")).flatMap((line) => {
    const sentAt = testFleet.sentAt.get(Number(line.path.split("/").at(-1)));
    return sentAt === undefined
      ? []
      : [{ sentAt, arrivedAt: Date.parse(line.time) }];
  });
  let excess = Number.NEGATIVE_INFINITY;
  const counted = admitted.filter(({ sentAt, arrivedAt }) =>
    sentAt >= from && arrivedAt <= to
  );
  for (const start of new Set(counted.map(({ sentAt }) => sentAt))) {
    const arrivals = counted.filter(({ sentAt }) => sentAt >= start)
      .map(({ arrivedAt }) => arrivedAt).sort((left, right) => left - right);
    for (const [index, arrivedAt] of arrivals.entries()) {
      const allowed = rate * (arrivedAt - start) / 1_000 + allowedBurst;
      excess = Math.max(excess, index + 1 - allowed);
    }
  }
  return excess;
}

/**
 * Excess in requests that is accepted because journal times are whole milliseconds: the bucket
 * refills by less than this within the rounding error.
 */
const clockToleranceRequests = ratePerSecond * 0.002;

async function assertWithinLimit(testFleet: LimitedFleet): Promise<void> {
  const excess = await findLargestExcess(testFleet);
  assert.ok(
    excess <= clockToleranceRequests,
    `${excess} requests over the limit`,
  );
}

test("all instances under five times the rate admit no more than rate and burst", async () => {
  await using testFleet = await startLimitedFleet();
  const result = await applyLoad(testFleet, {
    requestsPerSecond: 5 * ratePerSecond,
    durationMilliseconds: 6_000,
    instanceOf: (index) => index % 5,
  });
  await assertWithinLimit(testFleet);
  assert.equal(result.refusalsWithoutRetryAfter, 0);
  // A limiter that refuses everything would also stay within the limit.
  if (result.admitted < 0.9 * ratePerSecond * 6) {
    assert.fail(`${result.admitted} admitted\n${await testFleet.describe()}`);
  }
});

test("a single loaded instance can use the whole rate", async () => {
  await using testFleet = await startLimitedFleet();
  const result = await applyLoad(testFleet, {
    requestsPerSecond: 0.8 * ratePerSecond,
    durationMilliseconds: 8_000,
    instanceOf: () => 0,
  });
  await assertWithinLimit(testFleet);
  if (result.refused !== 0) {
    assert.fail(`${JSON.stringify(result)}\n${await testFleet.describe()}`);
  }
  assert.equal(result.other, 0);
});

test("a skewed load within the rate is not refused while an instance is killed", async () => {
  await using testFleet = await startLimitedFleet();
  const load = applyLoad(testFleet, {
    requestsPerSecond: 0.6 * ratePerSecond,
    durationMilliseconds: 12_000,
    instanceOf: (index) => index % 4 === 0 ? 1 : 0,
  });
  await sleep(3_000);
  await testFleet.fleet.kill(testFleet.instance(4).id);
  const result = await load;
  await assertWithinLimit(testFleet);
  const refusedShare = result.refused / (result.admitted + result.refused);
  assert.ok(refusedShare < 0.001, `${JSON.stringify(result)}`);
});

test("the limit holds while an instance is paused and evicted and the log is down", async () => {
  await using testFleet = await startLimitedFleet();
  const load = applyLoad(testFleet, {
    requestsPerSecond: 5 * ratePerSecond,
    durationMilliseconds: 16_000,
    instanceOf: (index) => index % 5,
  });
  await sleep(2_000);
  const paused = testFleet.instance(4);
  testFleet.fleet.pause(paused.id);
  await waitUntil("the paused instance is evicted", async () => {
    const { members } = await testFleet.status(testFleet.instance(0));
    return !members.some(({ instance }) => instance === paused.id);
  });
  await testFleet.fleet.setFaults("log", { outage: true });
  testFleet.fleet.resume(paused.id);
  await sleep(4_000);
  await testFleet.fleet.setFaults("log", { outage: false });
  await load;
  await assertWithinLimit(testFleet);
});

test("a limit is not exceeded while it is lowered and raised again", async () => {
  await using testFleet = await startLimitedFleet();
  const limitedWorkspace = testFleet.prepared.document[section]?.workspaces
    ?.find(
      ({ id }) => id === workspace,
    );
  assert.ok(limitedWorkspace);
  const load = applyLoad(testFleet, {
    requestsPerSecond: 5 * ratePerSecond,
    durationMilliseconds: 14_000,
    instanceOf: (index) => index % 5,
  });
  await sleep(2_000);
  limitedWorkspace.ratePerSecond = 10;
  limitedWorkspace.burst = 5;
  await testFleet.publishSection(section);
  await sleep(inForceLimitMilliseconds);
  const from = Date.now();
  await sleep(2_000);
  const excessAfterLowering = await findLargestExcess(testFleet, {
    rate: 10,
    allowedBurst: 5,
    from,
    to: Date.now(),
  });
  assert.ok(
    excessAfterLowering <= clockToleranceRequests,
    `${excessAfterLowering} over the limit`,
  );
  limitedWorkspace.ratePerSecond = ratePerSecond;
  limitedWorkspace.burst = burst;
  await testFleet.publishSection(section);
  await load;
  await assertWithinLimit(testFleet);
});
