import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteId } from "../common/ids.ts";
import { CallerDeadlines } from "./caller-deadlines.ts";

const route = "r" as RouteId;

test("a caller that was refused before is told by the time it has left", () => {
  const deadlines = new CallerDeadlines();
  assert.equal(deadlines.isLikelyRetry(route, 5_000), false);
  assert.equal(deadlines.isLikelyRetry(route, 4_990), false);
  assert.equal(deadlines.isLikelyRetry(route, 4_100), true);
  assert.equal(deadlines.isLikelyRetry(route, undefined), false);
  assert.equal(deadlines.isLikelyRetry("other" as RouteId, 4_100), false);
});

test("callers with a new, shorter deadline are not taken for returning ones for ever", () => {
  const deadlines = new CallerDeadlines();
  deadlines.isLikelyRetry(route, 5_000);
  let requests = 0;
  while (deadlines.isLikelyRetry(route, 3_000)) requests += 1;
  assert.ok(requests < 10_000, `${requests} requests`);
});
