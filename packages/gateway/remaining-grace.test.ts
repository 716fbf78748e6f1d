import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteId } from "../common/ids.ts";
import { fitsRemainingGrace, RouteDurations } from "./remaining-grace.ts";

const route = "r" as RouteId;

test("a late request fits if its time limit or its usual duration ends before the grace period", () => {
  const base = {
    graceMilliseconds: 3_000,
    limitMilliseconds: 5_000,
    usualMilliseconds: 4_000,
  };
  assert.equal(fitsRemainingGrace(base), false);
  assert.equal(fitsRemainingGrace({ ...base, limitMilliseconds: 2_000 }), true);
  assert.equal(fitsRemainingGrace({ ...base, usualMilliseconds: 700 }), true);
  assert.equal(
    fitsRemainingGrace({ ...base, usualMilliseconds: 2_900 }),
    false,
  );
  assert.equal(fitsRemainingGrace({ ...base, graceMilliseconds: -1 }), false);
});

test("the usual duration of a route follows slow requests at once and fast ones slowly", () => {
  const durations = new RouteDurations();
  assert.equal(durations.of(route), undefined);
  for (const duration of [700, 2_000, 700]) durations.record(route, duration);
  assert.ok(durations.of(route)! > 1_900);
  for (let request = 0; request < 200; request++) durations.record(route, 700);
  assert.ok(durations.of(route)! < 710);
});
