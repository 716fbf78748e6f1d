/**
 * Tests that grants are shared fairly, give way to online requests and stay valid when the
 * coordinator fails.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { brandAs, type InstanceId, type WorkspaceId } from "../common/ids.ts";
import type { BatchDemand, BatchGrant } from "./capacity.ts";
import type { CapacityService } from "./capacity-service.ts";
import { CapacityFleet, engineName, model } from "./testing/capacity-fleet.ts";
import {
  type EngineScenario,
  runEngineScenario,
} from "./testing/engine-scenario.ts";

const engine = engineName(0);

function demandOf(
  workspace: string,
  count: number,
  earliestDeadline = 0,
): BatchDemand {
  const target = { kind: "model" as const, model };
  const id = brandAs<WorkspaceId>(workspace);
  return { workspace: id, target, count, earliestDeadline };
}

/** Records the grants of a service; revoked ones are released. */
function collectGrants(service: CapacityService): BatchGrant[] {
  const grants: BatchGrant[] = [];
  service.onGrant((grant) => {
    grants.push(grant);
    grant.revoked.addEventListener("abort", () => grant.release());
  });
  return grants;
}

function createFleet(
  options: { members?: number; concurrency?: number; engines?: number } = {},
) {
  const fleet = new CapacityFleet({
    seed: 1,
    members: 3,
    engines: 1,
    concurrency: 4,
    weights: { walnut: 1, safar: 3 },
    ...options,
  });
  const services = [...fleet.processes.values()].map((it) => it.service);
  return { fleet, services };
}

test("online requests revoke the newest grants", async () => {
  const { fleet, services: [first, second] } = createFleet();
  const grants = collectGrants(first!);
  first!.setDemand([demandOf("walnut", 2)]);
  await fleet.time.runUntil(1_000);
  first!.setDemand([demandOf("walnut", 100)]);
  await fleet.time.runUntil(1_100);
  assert.equal(grants.length, 4, "without online requests no slot is idle");
  const endRequests = [1, 2].map(() => second!.trackOnlineRequest(engine));
  await fleet.time.runUntil(1_150);
  const revoked = grants.map((it) => it.revoked.aborted);
  assert.deepEqual(revoked, [false, false, true, true]);
  assert.equal(
    grants.length,
    4,
    "revoked grants are not replaced while the requests run",
  );
  for (const endRequest of endRequests) endRequest();
  await fleet.time.runUntil(1_200);
  assert.ok(
    grants.length > 4,
    "slots are granted again after the requests have ended",
  );
});

test("a released grant is followed by another within one round trip", async () => {
  const { fleet, services: [first] } = createFleet();
  const grants = collectGrants(first!);
  first!.setDemand([demandOf("walnut", 100)]);
  await fleet.time.runUntil(1_000);
  const grantsBefore = grants.length;
  grants[0]!.release();
  await fleet.time.runUntil(1_004);
  assert.equal(grants.length, grantsBefore + 1);
});

test("an instance never gets more grants than its demand", async () => {
  const { fleet, services } = createFleet({ concurrency: 50 });
  const grants = services.map(collectGrants);
  // The demand is sent again while the first grants are in transit.
  for (let turn = 0; turn < 10; turn++) {
    services[0]!.setDemand([demandOf("walnut", 7 - grants[0]!.length)]);
    await fleet.time.runUntil(500 + turn);
  }
  await fleet.time.runUntil(2_000);
  assert.equal(grants[0]!.length, 7);
});

test("within a workspace the earliest deadline goes first", async () => {
  const { fleet, services: [first, second] } = createFleet();
  const laterGrants = collectGrants(first!);
  const earlierGrants = collectGrants(second!);
  first!.setDemand([demandOf("walnut", 100, 2_000)]);
  second!.setDemand([demandOf("walnut", 3, 1_000)]);
  await fleet.time.runUntil(1_000);
  assert.equal(earlierGrants.length, 3);
  assert.equal(laterGrants.length, 1);
});

test("a new coordinator counts the grants of the earlier one and grants no slot twice", async () => {
  const { fleet } = createFleet();
  const coordinator = fleet.coordinatorOf(engine);
  const others = [...fleet.processes]
    .filter(([instance]) => instance !== coordinator)
    .map(([, { service }]) => service);
  const held = new Set<string>();
  const countHeld = () => held.size;
  for (const service of others) {
    service.onGrant((grant) => {
      held.add(grant.id);
      grant.revoked.addEventListener("abort", () => {
        held.delete(grant.id);
        grant.release();
      });
    });
    service.setDemand([demandOf("walnut", 100)]);
  }
  await fleet.time.runUntil(1_000);
  assert.equal(countHeld(), 4);
  fleet.crash(coordinator);
  await fleet.time.runUntil(2_000);
  fleet.evict(coordinator);
  for (let at = 2_000; at < 5_000; at += 50) {
    await fleet.time.runUntil(at);
    assert.equal(countHeld(), 4, `at ${at}`);
  }
});

test("slots of a crashed instance are granted to others after two seconds", async () => {
  const { fleet } = createFleet();
  const coordinator = fleet.coordinatorOf(engine);
  const [crashed, survivor] = [...fleet.processes.keys()].filter((it) =>
    it !== coordinator
  ) as [InstanceId, InstanceId];
  const serviceOf = (it: InstanceId) => fleet.processes.get(it)!.service;
  const crashedGrants = collectGrants(serviceOf(crashed));
  serviceOf(crashed).setDemand([demandOf("walnut", 100)]);
  await fleet.time.runUntil(1_000);
  assert.equal(crashedGrants.length, 4);
  const grants = collectGrants(serviceOf(survivor));
  serviceOf(survivor).setDemand([demandOf("walnut", 100)]);
  fleet.crash(crashed);
  await fleet.time.runUntil(2_700);
  assert.equal(grants.length, 0);
  await fleet.time.runUntil(3_400);
  assert.equal(grants.length, 4);
});

test("another grant is revoked if a revoked call is not aborted", async () => {
  const { fleet, services: [first, second] } = createFleet();
  const grants: BatchGrant[] = [];
  first!.onGrant((grant) => grants.push(grant));
  first!.setDemand([demandOf("walnut", 100)]);
  await fleet.time.runUntil(1_000);
  second!.trackOnlineRequest(engine);
  await fleet.time.runUntil(1_200);
  const countRevoked = () => grants.filter((it) => it.revoked.aborted).length;
  assert.equal(countRevoked(), 1);
  await fleet.time.runUntil(1_500);
  assert.equal(countRevoked(), 2);
});

test("with many engines an instance selects some and replaces those that grant nothing", async () => {
  const { fleet, services: [first, second] } = createFleet({
    engines: 40,
    concurrency: 1,
  });
  const grants = collectGrants(first!);
  first!.setDemand([demandOf("walnut", 100)]);
  await fleet.time.runUntil(5_000);
  assert.equal(grants.length, 8);
  first!.setDemand([]);
  for (const grant of grants.splice(0)) grant.release();
  for (let index = 0; index < 36; index++) {
    second!.trackOnlineRequest(engineName(index));
  }
  await fleet.time.runUntil(5_100);
  first!.setDemand([demandOf("walnut", 4)]);
  await fleet.time.runUntil(30_000);
  assert.equal(
    grants.length,
    4,
    "the four engines without online requests are selected",
  );
});

const scenario: EngineScenario = {
  name: "steady",
  seed: 1,
  engines: 8,
  concurrency: 8,
  groupsPerSecond: 8,
  groupSize: 1,
  onlineMilliseconds: 1_500,
  firstTokenMilliseconds: 150,
  batchMilliseconds: 800,
  seconds: 30,
  hasBatch: true,
};

test("batch work uses the slots that online requests leave free and hardly delays them", async () => {
  const withoutBatch = await runEngineScenario({
    ...scenario,
    hasBatch: false,
  });
  const result = await runEngineScenario(scenario);
  assert.ok(
    result.batchUtilization >= 0.95,
    `batch utilization ${result.batchUtilization}`,
  );
  const p99Increase = result.firstTokenP99 /
    withoutBatch.firstTokenP99;
  assert.ok(
    p99Increase <= 1.05,
    `p99 time to first token grows by a factor of ${p99Increase}`,
  );
});

test("each workspace gets its weighted share although grants are revoked", async () => {
  const weights = { walnut: 1, safar: 3, kiosk: 4 };
  const { completedItems } = await runEngineScenario({
    ...scenario,
    groupsPerSecond: 20,
    weights,
  });
  const totalItems = [...completedItems.values()].reduce(
    (sum, it) => sum + it,
    0,
  );
  for (const [name, weight] of Object.entries(weights)) {
    const relativeShare = (completedItems.get(name) ?? 0) / totalItems /
      (weight / 8);
    assert.ok(
      relativeShare >= 0.95,
      `${name} got ${relativeShare} of its weighted share`,
    );
  }
});
