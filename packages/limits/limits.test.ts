/** The fleet together admits what one bucket would, whatever happens to its members. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { LimiterFleet } from "./testing/limiter-fleet.ts";

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
