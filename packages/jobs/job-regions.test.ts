import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import {
  ConfigurationIndex,
  type FleetConfiguration,
  type RouteRule,
} from "../fleet/configuration.ts";
import { JobRegions } from "./job-regions.ts";

const regionByZone = new Map([["n", "north"], ["s", "south"], ["e", "east"]]);

function createRoute(id: string, allowedRegions?: string[]): RouteRule {
  return {
    id: id as RouteId,
    host: "h",
    pathPrefix: `/${id}/`,
    kind: "batch",
    targets: [{ service: "s" as UpstreamName, weight: 1 }],
    allowedRegions,
  } as unknown as RouteRule;
}

function createRegions(
  routes: RouteRule[],
  { zone = "n", liveZones = ["n", "s", "e"] } = {},
): JobRegions {
  const configuration = new ConfigurationIndex(
    { routes, services: [] } as unknown as FleetConfiguration,
  );
  return new JobRegions({
    blackboard: { configuration, regionByZone },
    zone,
    liveZones: () => liveZones,
  });
}

function createJob(...paths: string[]) {
  return {
    host: "h",
    route: "a" as RouteId,
    workspace: undefined as WorkspaceId | undefined,
    items: paths.map((path) => ({ path })),
  };
}

// The bodies of a job are read together, also by the run of an item that may go anywhere.
test("a job is handled where the routes of all of its items allow it", () => {
  const routes = [
    createRoute("a"),
    createRoute("b", ["south", "east"]),
    createRoute("c", ["east"]),
  ];
  const regions = createRegions(routes);
  assert.equal(regions.allowedFor(createJob("/a/1")), undefined);
  assert.ok(regions.mayHandle(createJob("/a/1")));
  const mixed = createJob("/a/1", "/b/1");
  assert.deepEqual(regions.allowedFor(mixed), ["south", "east"]);
  assert.ok(!regions.mayHandle(mixed));
  assert.deepEqual(regions.allowedFor(createJob("/c/1", "/b/1")), ["east"]);
});

test("a job is run in the first allowed region with a live coordinator", () => {
  const routes = [createRoute("a", ["south", "east"])];
  const job = createJob("/a/1");
  const runningRegion = (liveZones: string[]) =>
    createRegions(routes, { liveZones }).runningRegion(job);
  assert.equal(runningRegion(["n", "e", "s"]), "south");
  assert.equal(runningRegion(["n", "e"]), "east");
  assert.equal(runningRegion(["n"]), undefined);
});
