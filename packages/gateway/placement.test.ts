import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, UpstreamName, ZoneId } from "../common/ids.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import { LocalPlacer } from "./placement.ts";

const server = "server" as InstanceId;
const slots = 8;

function displacementsWith(online: number, batch: number): number {
  const blackboard = new Blackboard({ initialDurationMilliseconds: 700 });
  blackboard.upstreams.set({
    id: server,
    service: "service" as UpstreamName,
    host: "127.0.0.1",
    port: 1,
    zone: "zone" as ZoneId,
    slots,
    state: "ready",
    startedAtMilliseconds: 0,
  });
  for (let count = 0; count < online; count++) {
    blackboard.loads.addRequest(server, "online");
  }
  for (let count = 0; count < batch; count++) {
    blackboard.loads.addRequest(server, "batch");
  }
  let displacements = 0;
  const notAsked = () => {
    throw new Error("not asked to make room");
  };
  new LocalPlacer({
    blackboard,
    limiter: notAsked,
    quarantine: notAsked,
    zone: "zone",
    displaceBatch: () => displacements += 1,
    now: () => 0,
  }).makeRoom(server);
  return displacements;
}

test("a late first event does not stop a batch run at a server with a slot for each request", () => {
  assert.equal(displacementsWith(1, 5), 0);
  assert.equal(displacementsWith(3, slots - 3), 0);
});

test("a request that waits for a slot has a batch run stopped", () => {
  assert.equal(displacementsWith(4, slots - 3), 1);
});
