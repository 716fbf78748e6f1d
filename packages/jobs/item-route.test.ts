import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteId } from "../common/ids.ts";
import { ConfigurationIndex, type RouteRule } from "../fleet/configuration.ts";
import { unusedCallerLimits } from "../fleet/testing/caller-limits.ts";
import { findItemRoute, isRemovalCertain } from "./item-route.ts";

function createConfiguration(
  ...routes: { id: string; pathPrefix: string; kind: string; host?: string }[]
): ConfigurationIndex {
  return new ConfigurationIndex({
    version: 1,
    routes: routes.map((route) =>
      ({ host: "h", ...route }) as unknown as RouteRule
    ),
    services: [],
    workspaces: undefined,
    limits: unusedCallerLimits,
  });
}

const job = { host: "h", route: "jobs" as RouteId };
const item = { path: "/jobs/a" };
const jobs = { id: "jobs", pathPrefix: "/jobs/", kind: "batch" };
const online = { id: "all", pathPrefix: "/", kind: "streaming" };

test("an item runs on a batch route, and on an online one only while the job's route is in force", () => {
  const kindOf = (...routes: (typeof jobs & { host?: string })[]) =>
    findItemRoute(createConfiguration(...routes), job, item).kind;
  assert.equal(kindOf(jobs, online), "route");
  assert.equal(kindOf({ ...jobs, id: "renamed" }), "route");
  assert.equal(kindOf({ ...jobs, pathPrefix: "/other/" }, online), "route");
  assert.equal(kindOf({ ...jobs, pathPrefix: "/other/" }), "no_match");
  assert.equal(kindOf(online), "removed");
  assert.equal(kindOf({ ...jobs, host: "other" }), "removed");
  assert.equal(kindOf(), "removed");
});

// Guards against items that are given up by a configuration older than their job.
test("a removal is certain once the configuration was read after it was noticed", () => {
  const work: { routeMissingSince: number | undefined } = {
    routeMissingSince: undefined,
  };
  const removed = { kind: "removed" } as const;
  assert.equal(isRemovalCertain(work, removed, { now: 10, readAt: 9 }), false);
  assert.equal(isRemovalCertain(work, removed, { now: 20, readAt: 10 }), false);
  assert.equal(
    isRemovalCertain(work, { kind: "no_match" }, { now: 21, readAt: 20 }),
    false,
  );
  assert.equal(isRemovalCertain(work, removed, { now: 30, readAt: 25 }), false);
  assert.equal(isRemovalCertain(work, removed, { now: 40, readAt: 31 }), true);
});
