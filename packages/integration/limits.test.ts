/**
 * The rate and burst of a workspace hold over all instances together, counted at the upstream's
 * journal, and a workspace within its rate is not refused.
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

let nextRequest = 0;

async function startFleet(instances = 5): Promise<LimitedFleet> {
  const testFleet = await TestFleet.start({
    changes: { instances, engines: 2, plainServiceSettings: {} },
    edit: (document) => {
      const found = document[section]?.workspaces?.find(({ id }) =>
        id === workspace
      );
      assert.ok(found);
      found.ratePerSecond = ratePerSecond;
      found.burst = burst;
    },
  });
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
        const id = nextRequest++;
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
 * Largest excess over rate x window + burst. A request was admitted between its sending and its
 * arrival at the upstream, so only those count for a window that were sent and arrived in it;
 * delays of a busy machine cannot make the check fail, and it needs no tolerance.
 */
async function largestExcess(
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

/** Times of the journal are whole milliseconds, in which the rate mints less than this. */
const clockResolutionRequests = ratePerSecond * 0.002;

async function assertWithinLimit(testFleet: LimitedFleet): Promise<void> {
  const excess = await largestExcess(testFleet);
  assert.ok(
    excess <= clockResolutionRequests,
    `${excess} requests over the limit`,
  );
}

test("all instances hit at five times the rate admit no more than rate and burst", async () => {
  await using testFleet = await startFleet();
  const result = await applyLoad(testFleet, {
    requestsPerSecond: 5 * ratePerSecond,
    durationMilliseconds: 6_000,
    instanceOf: (index) => index % 5,
  });
  await assertWithinLimit(testFleet);
  assert.equal(result.refusalsWithoutRetryAfter, 0);
  // A limiter that refuses everything would hold the bound too.
  assert.ok(result.admitted >= 0.9 * ratePerSecond * 6, `${result.admitted}`);
});

test("one instance hit alone uses the tokens of all", async () => {
  await using testFleet = await startFleet();
  const result = await applyLoad(testFleet, {
    requestsPerSecond: 0.8 * ratePerSecond,
    durationMilliseconds: 8_000,
    instanceOf: () => 0,
  });
  await assertWithinLimit(testFleet);
  assert.equal(result.refused, 0, `${JSON.stringify(result)}`);
  assert.equal(result.other, 0);
});

test("a skewed load within the rate is not refused while an instance is killed", async () => {
  await using testFleet = await startFleet();
  const load = applyLoad(testFleet, {
    requestsPerSecond: 0.6 * ratePerSecond,
    durationMilliseconds: 12_000,
    instanceOf: (index) => index % 4 === 0 ? 1 : 0,
  });
  await sleep(3_000);
  await testFleet.fleet.kill(testFleet.instance(4).id);
  const result = await load;
  await assertWithinLimit(testFleet);
  const share = result.refused / (result.admitted + result.refused);
  assert.ok(share < 0.001, `${JSON.stringify(result)}`);
});

test("the limit holds while an instance is paused and evicted, and the log is down", async () => {
  await using testFleet = await startFleet();
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

test("a lowered and raised limit is never exceeded on the way", async () => {
  await using testFleet = await startFleet();
  const target = testFleet.prepared.document[section]?.workspaces?.find(
    ({ id }) => id === workspace,
  );
  assert.ok(target);
  const load = applyLoad(testFleet, {
    requestsPerSecond: 5 * ratePerSecond,
    durationMilliseconds: 14_000,
    instanceOf: (index) => index % 5,
  });
  await sleep(2_000);
  target.ratePerSecond = 10;
  target.burst = 5;
  await testFleet.publishSection(section);
  await sleep(inForceLimitMilliseconds);
  const from = Date.now();
  await sleep(2_000);
  const lowered = await largestExcess(testFleet, {
    rate: 10,
    allowedBurst: 5,
    from,
    to: Date.now(),
  });
  assert.ok(lowered <= clockResolutionRequests, `${lowered} over the limit`);
  target.ratePerSecond = ratePerSecond;
  target.burst = burst;
  await testFleet.publishSection(section);
  await load;
  await assertWithinLimit(testFleet);
});
