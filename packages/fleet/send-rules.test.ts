import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, UpstreamName, ZoneId } from "../common/ids.ts";
import { Blackboard } from "./blackboard.ts";
import { ConfigurationIndex } from "./configuration.ts";
import { allowedTargets, hasAllowedServer } from "./send-rules.ts";
import { unusedCallerLimits } from "./testing/caller-limits.ts";
import type { UpstreamServer } from "./upstreams.ts";

const batchSend = { isBatch: true };
const service = "service" as UpstreamName;
const server: UpstreamServer = {
  id: "s" as InstanceId,
  service,
  host: "127.0.0.1",
  port: 1,
  zone: "north" as ZoneId,
  slots: 8,
  state: "ready",
  startedAtMilliseconds: 1,
};

function createBlackboard(entry: UpstreamServer): Blackboard {
  const blackboard = new Blackboard({ initialDurationMilliseconds: 700 });
  blackboard.configuration = new ConfigurationIndex({
    version: 1,
    routes: [],
    services: [{
      name: service,
      maximumConnections: 10,
      slots: 8,
      cold: { coldMilliseconds: 3_000, requestsPerSecond: 7.1 },
    }],
    workspaces: undefined,
    limits: unusedCallerLimits,
  });
  const self = "c" as InstanceId;
  const { coldServers, upstreams } = blackboard;
  coldServers.connect({ self, view: () => ({ members: 1, heard: 1 }) });
  coldServers.setCoordinators([self], -10_000);
  upstreams.set(entry);
  coldServers.recordEntry(entry, undefined, 0);
  return blackboard;
}

test("nothing may be sent to a server of an evacuated zone or one that leaves", () => {
  const { sendRules, evacuatedZones } = createBlackboard(server);
  assert.equal(sendRules.check(server, 0).kind, "allowed");
  assert.equal(
    sendRules.standingRefusal({ ...server, state: "draining" }),
    "leaving",
  );
  evacuatedZones.begin(server.zone, 0);
  assert.equal(sendRules.standingRefusal(server), "evacuated");
  assert.equal(sendRules.check(server, 0, batchSend).kind, "refused");
  assert.equal(sendRules.timeUntilRoom(service, 0), undefined);
  evacuatedZones.end(server.zone);
  assert.equal(sendRules.timeUntilRoom(service, 0), 0);
});

test("a cold server gets no batch run, and says when it takes the next request", () => {
  const cold = { ...server, coldMilliseconds: 3_000 };
  const { sendRules } = createBlackboard(cold);
  assert.equal(sendRules.check(cold, 0, batchSend).kind, "refused");
  for (let send = 0; send < 7; send++) sendRules.take(cold, send * 10);
  assert.equal(sendRules.check(cold, 100).kind, "refused");
  assert.equal(sendRules.timeUntilRoom(service, 100), 900);
  // A request that has failed there does not wait for it.
  const excluded = new Set([cold.id]);
  assert.equal(sendRules.timeUntilRoom(service, 100, { excluded }), undefined);
});

test("of the targets of a route those with a server in an allowed region are used", () => {
  const { upstreams } = createBlackboard(server);
  const regionByZone = new Map([["north", "home"]]);
  const servers = { upstreams, regionByZone };
  const other = { service: "other" as UpstreamName, weight: 9 };
  const target = { service, weight: 1 };
  const targets = [other, target];
  const allowed = allowedTargets({ targets }, ["home"], servers);
  assert.deepEqual(allowed.targets, [target]);
  assert.deepEqual(allowedTargets({ targets }, undefined, servers), {
    targets,
  });
  assert.ok(!hasAllowedServer({ targets }, ["away"], servers));
});

// A limit that the server states itself and the cold limit bind together.
test("of two limits the scarcer one binds, and a send counts in both", () => {
  const cold = { ...server, coldMilliseconds: 3_000 };
  const { sendRules, serverLimits } = createBlackboard(cold);
  const view = { members: 1, heard: 1 };
  serverLimits.record(cold, 2, { sentAt: 0, statedAt: 0 });
  serverLimits.refresh(0, view);
  serverLimits.refresh(1_400, view);
  const budgetAt = (now: number) => {
    const permission = sendRules.check(cold, now);
    return permission.kind === "allowed" ? permission.sendBudget : undefined;
  };
  assert.equal(budgetAt(1_400)?.allowance, 2);
  sendRules.take(cold, 1_400);
  sendRules.take(cold, 1_400);
  // The cold limit allows two more after a quarter of a second, the stated one none.
  assert.equal(budgetAt(1_400), undefined);
  assert.equal(budgetAt(1_650)?.allowance, 0);
});
