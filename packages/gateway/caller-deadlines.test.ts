import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteId } from "../common/ids.ts";
import { CallerDeadlines } from "./caller-deadlines.ts";

const route = "r" as RouteId;

test("a request with a shorter deadline than others on its route counts as a retry", () => {
  const deadlines = new CallerDeadlines();
  assert.equal(deadlines.isLikelyRetry(route, 5_000), false);
  assert.equal(deadlines.isLikelyRetry(route, 4_990), false);
  assert.equal(deadlines.isLikelyRetry(route, 4_100), true);
  assert.equal(deadlines.isLikelyRetry(route, undefined), false);
  assert.equal(deadlines.isLikelyRetry("other" as RouteId, 4_100), false);
});

test("a shorter deadline that all callers now use stops counting as a retry", () => {
  const deadlines = new CallerDeadlines();
  deadlines.isLikelyRetry(route, 5_000);
  let requests = 0;
  while (deadlines.isLikelyRetry(route, 3_000)) requests += 1;
  assert.ok(requests < 10_000, `${requests} requests`);
});
