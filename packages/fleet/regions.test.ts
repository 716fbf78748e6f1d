import assert from "node:assert/strict";
import { test } from "node:test";
import { allowedRegionsOf, isAllowedZone } from "./regions.ts";

const regionByZone = new Map([["z1", "north"], ["z2", "south"]]);

test("the regions of route and workspace both apply", () => {
  const north = { allowedRegions: ["north"] };
  const both = { allowedRegions: ["south", "north"] };
  const any = {};
  assert.equal(allowedRegionsOf(any, undefined), undefined);
  assert.equal(allowedRegionsOf(any, any), undefined);
  assert.deepEqual(allowedRegionsOf(both, any), ["south", "north"]);
  assert.deepEqual(allowedRegionsOf(any, north), ["north"]);
  assert.deepEqual(allowedRegionsOf(both, north), ["north"]);
  assert.deepEqual(allowedRegionsOf(north, { allowedRegions: ["east"] }), []);
});

test("a zone without a region is allowed only where all regions are", () => {
  assert.ok(isAllowedZone("z3", undefined, regionByZone));
  assert.ok(!isAllowedZone("z3", ["north"], regionByZone));
  assert.ok(isAllowedZone("z1", ["north"], regionByZone));
  assert.ok(!isAllowedZone("z2", ["north"], regionByZone));
});
