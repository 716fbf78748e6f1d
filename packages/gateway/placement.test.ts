import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, UpstreamName, ZoneId } from "../common/ids.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import { LocalPlacer, type LocalPlacerOptions } from "./placement.ts";
import { TriedServers } from "./tried-servers.ts";

const server = "server" as InstanceId;
const other = "other" as InstanceId;
const service = "service" as UpstreamName;
const slots = 8;

const notAsked = () => {
  throw new Error("not asked in this test");
};

function createBlackboard(servers: readonly InstanceId[]): Blackboard {
  const blackboard = new Blackboard({ initialDurationMilliseconds: 700 });
  for (const id of servers) {
    blackboard.upstreams.set({
      id,
      service,
      host: "127.0.0.1",
      port: 1,
      zone: "zone" as ZoneId,
      slots,
      state: "ready",
      startedAtMilliseconds: 0,
    });
  }
  return blackboard;
}

function createPlacer(
  blackboard: Blackboard,
  options: Partial<LocalPlacerOptions> = {},
): LocalPlacer {
  return new LocalPlacer({
    blackboard,
    limiter: notAsked,
    quarantine: notAsked,
    zone: "zone",
    displaceBatch: notAsked,
    now: () => 0,
    ...options,
  });
}

function displacementsWith(online: number, batch: number): number {
  const blackboard = createBlackboard([server]);
  for (let count = 0; count < online; count++) {
    blackboard.loads.addRequest(server, "online");
  }
  for (let count = 0; count < batch; count++) {
    blackboard.loads.addRequest(server, "batch");
  }
  let displacements = 0;
  createPlacer(blackboard, { displaceBatch: () => displacements += 1 })
    .makeRoom(server);
  return displacements;
}

test("a late first event does not stop a batch run at a server with a slot for each request", () => {
  assert.equal(displacementsWith(1, 5), 0);
  assert.equal(displacementsWith(3, slots - 3), 0);
});

test("a request that waits for a slot has a batch run stopped", () => {
  assert.equal(displacementsWith(4, slots - 3), 1);
});

// Guards against a request that leaves a server since another one has room, which is taken before
// the request gets there, and is then refused although the first server would take it.
test("a request returns to a server that it has left if no other takes it", async () => {
  const blackboard = createBlackboard([server, other]);
  const placer = createPlacer(blackboard, {
    quarantine: () => ({
      judge: () => ({ kind: "clear" }),
      beginTrial: notAsked,
    }),
  });
  const tried = new TriedServers();
  tried.add(server, { isMove: true });
  const request = {
    service,
    ...tried,
    objectiveMilliseconds: 200,
    waitTolerance: "in_time" as const,
    limitedWorkspace: undefined,
    sharedPromptParts: [],
    requestId: "request",
  };
  const chosen = async () => {
    const placement = await placer.place(request);
    return placement.kind === "send" ? placement.server.id : placement.kind;
  };
  assert.equal(await chosen(), other);
  for (let count = 0; count < 2 * slots; count++) {
    blackboard.loads.addRequest(other, "online");
  }
  assert.equal(await chosen(), server);
  assert.deepEqual(
    (await placer.findRoom({ ...request, server: other })).hasRoomElsewhere,
    false,
  );
  tried.add(server, {});
  assert.equal(await chosen(), "full");
});
