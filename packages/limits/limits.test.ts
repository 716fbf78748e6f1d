/** Tests that the fleet admits what a single bucket would admit, under faults of its members. */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  compliantPatterns,
  runCompliantDemand,
} from "./testing/compliant-demand.ts";
import { createBucket, endTransfer, refill, startTransfer } from "./bucket.ts";
import { HolderIndex } from "./holder-index.ts";
import { LimiterFleet, workspace } from "./testing/limiter-fleet.ts";
import { runSchedule, scheduleArbitrary } from "./testing/random-schedule.ts";

test("a new workspace has its whole burst at once and its rate afterwards", async () => {
  const fleet = new LimiterFleet({ seed: 1, members: 5 });
  await fleet.time.runUntil(3_000);
  fleet.setLimit(20, 10);
  await fleet.time.runUntil(3_100);
  for (let index = 0; index < 40; index++) void fleet.takeAnywhere();
  await fleet.time.runUntil(3_400);
  assert.ok(fleet.admissions.length >= 10, String(fleet.admissions.length));
  for (let turn = 0; turn < 400; turn++) {
    void fleet.takeAnywhere();
    await fleet.time.runUntil(3_400 + turn * 25);
  }
  // 10 at once and 20 a second for 10.3 s; at most 5% may be lost to transfers.
  assert.ok(fleet.admissions.length >= 0.95 * 216);
  assert.ok(fleet.overdraft() < 1e-6);
});

test("under random faults the fleet admits no more than one bucket would", async () => {
  await fc.assert(
    fc.asyncProperty(scheduleArbitrary, async (schedule) => {
      const overdraft = (await runSchedule(schedule)).overdraft();
      assert.ok(overdraft < 1e-6, `${overdraft} tokens too many`);
    }),
    { seed: 1, numRuns: 400 },
  );
});

test("demand that one bucket would admit is admitted, at low bursts and at high ones", async () => {
  for (const pattern of compliantPatterns) {
    const { offered, refused } = await runCompliantDemand(pattern);
    assert.ok(offered > 150, `${pattern.name}: ${offered} requests`);
    assert.ok(
      refused <= pattern.acceptedRefusalShare * offered,
      `${pattern.name}: ${refused} of ${offered} refused`,
    );
  }
});

test("under overload the rate is used up with fewer than five messages per request", async () => {
  const fleet = new LimiterFleet({ seed: 1, members: 10 });
  await fleet.time.runUntil(3_000);
  fleet.setLimit(50, 20);
  await fleet.time.runUntil(3_100);
  const messagesBefore = fleet.network.messageCount;
  for (let turn = 1; turn <= 5_000; turn++) {
    void fleet.takeAnywhere();
    await fleet.time.runUntil(3_100 + 2 * turn);
  }
  // 20 at once and 50 a second for 10 s.
  const admitted = fleet.admissions.length;
  assert.ok(admitted >= 0.95 * 520, `${admitted} admitted`);
  assert.ok(fleet.overdraft() < 1e-6);
  const messages = (fleet.network.messageCount - messagesBefore) / 5_000;
  assert.ok(messages < 5, `${messages} messages a request`);
});

test("a planned leave refuses no request within the rate", async () => {
  const { refused, offered } = await runCompliantDemand({
    ...compliantPatterns[0]!,
    offeredShareOfRate: 0.8,
    eachSecond: (fleet, second) => {
      if (second === 5) fleet.leave(fleet.name(3));
    },
  });
  assert.ok(offered > 700);
  assert.equal(refused, 0);
});

/** Three members and two holders with a burst of one each; the buckets are full. */
async function createSmallFleet() {
  const fleet = new LimiterFleet({ seed: 1, members: 3 });
  await fleet.time.runUntil(3_000);
  fleet.setLimit(40, 2);
  await fleet.time.runUntil(6_000);
  const index = new HolderIndex();
  const members = [...fleet.processes.keys()];
  index.setMembers(members);
  const [first, second] = index.holders(workspace, 2);
  const other = members.find((it) => it !== first && it !== second);
  return { fleet, other: other! };
}

test("tokens from a response read after the deadline are not used", async () => {
  const { fleet, other } = await createSmallFleet();
  const { process } = fleet.processes.get(other)!;
  void fleet.take(other);
  process.pause();
  // The holder's bucket is full again when the paused process reads the response.
  await fleet.time.runUntil(6_400);
  process.resume();
  for (let count = 0; count < 4; count++) void fleet.take(other);
  await fleet.time.runUntil(6_500);
  assert.ok(fleet.overdraft() < 1e-6, String(fleet.overdraft()));
});

test("a refund is ignored once its transfer has expired", () => {
  const full = { ...createBucket(0), capacity: 2, maximum: 2, level: 2 };
  const given = startTransfer(full, { id: 1, amount: 1, expiresAt: 250 });
  assert.equal(endTransfer(refill(given, 249), 1, 1).level, 2);
  assert.equal(endTransfer(refill(given, 250), 1, 1).level, 1);
});
