import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, WorkspaceId } from "../../common/ids.ts";
import { SeededRandom } from "../../common/random.ts";
import { Blackboard } from "../blackboard.ts";
import type { ConfigurationIndex, WorkspaceRule } from "../configuration.ts";
import { FleetLimits, type FleetLimitsOptions } from "./fleet-limits.ts";

const workspace = {
  id: "large" as WorkspaceId,
  ratePerSecond: 40,
  burst: 20,
} as WorkspaceRule;

const waitingCallers = 15;

function createLimits(
  clock: { now: number },
  options: Partial<FleetLimitsOptions>,
): FleetLimits {
  const blackboard = new Blackboard({ initialDurationMilliseconds: 700 });
  blackboard.configuration = {
    version: 1,
    configuration: { workspaces: [workspace] },
  } as unknown as ConfigurationIndex;
  return new FleetLimits({
    blackboard,
    clock: { monotonicNow: () => clock.now, wallNow: () => clock.now },
    isFirstStart: false,
    refillsFrom: clock.now,
    window: { windowMilliseconds: 5_000, overage: 0 },
    slackRequests: 0,
    view: () => ({ members: 1, heard: 1 }),
    ...options,
  });
}

// Answers the load of callers that come back at once after all instances were lost.
test("a workspace within its rate is not refused in the first second after the loss of all instances", () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const random = new SeededRandom(seed);
    const startMilliseconds = 800;
    const clock = { now: startMilliseconds };
    const limits = createLimits(clock, { refillsFrom: 0 });
    let refused = 0;
    // Callers that found no instance come back together.
    for (let request = 0; request < waitingCallers; request++) {
      if (!limits.admit(workspace).admitted) refused += 1;
    }
    const demandPerSecond = 0.7 * workspace.ratePerSecond;
    while (clock.now < startMilliseconds + 1_000) {
      clock.now += random.nextArrivalMilliseconds(demandPerSecond);
      limits.refresh();
      if (!limits.admit(workspace).admitted) refused += 1;
    }
    assert.equal(refused, 0, `seed ${seed}`);
  }
});

test("tokens for the time of the start are given once, also if the limits are replaced", () => {
  const clock = { now: 500 };
  const first = createLimits(clock, { refillsFrom: 0 });
  const countAdmitted = (limits: FleetLimits) => {
    let admitted = 0;
    for (let request = 0; request < 100; request++) {
      if (limits.admit(workspace).admitted) admitted += 1;
    }
    return admitted;
  };
  assert.equal(countAdmitted(first), 20);
  const second = createLimits(clock, { refillsFrom: 0, predecessor: first });
  assert.equal(countAdmitted(second), 0);
});

test("the level of an instance that ran on replaces the tokens for the time of the start", () => {
  const clock = { now: 500 };
  const limits = createLimits(clock, { refillsFrom: 0 });
  // The first request creates the bucket, which then takes the level that the peer knows.
  limits.admit(workspace);
  limits.recordPeerUsages("peer" as InstanceId, "one", [{
    workspace: workspace.id,
    admitted: 400,
    demandPerSecond: 0,
    level: 0,
  }]);
  assert.equal(limits.admit(workspace).admitted, false);
});

// A count that began at 0 again hid what an instance admitted after it had changed its role, or after
// a limit had been lifted for a while.
test("a peer deducts what an instance admits after its limits were replaced", () => {
  const clock = { now: 0 };
  const peer = createLimits(clock, { isFirstStart: true });
  const report = (limits: FleetLimits) =>
    peer.recordPeerUsages("other" as InstanceId, "one", limits.ownUsages());
  const admit = (limits: FleetLimits, requests: number) => {
    for (let request = 0; request < requests; request++) {
      assert.ok(limits.admit(workspace).admitted);
    }
  };
  peer.admit(workspace);
  const first = createLimits(clock, { isFirstStart: true });
  admit(first, 1);
  report(first);
  admit(first, 9);
  report(first);
  const second = createLimits(clock, {
    isFirstStart: true,
    predecessor: first,
    keepsLevels: false,
  });
  admit(second, 5);
  report(second);
  assert.equal(peer.ownUsages()[0]!.level, workspace.burst - 1 - 9 - 5);
});
