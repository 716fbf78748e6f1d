/** Grants are fair, yield to online requests and survive the loss of a coordinator. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { brandAs, type WorkspaceId } from "../common/ids.ts";
import type { BatchGrant } from "./capacity.ts";
import { CapacityFleet, engineName, model } from "./testing/capacity-fleet.ts";

const walnut = brandAs<WorkspaceId>("walnut");

test("online requests take the slots of the newest grants", async () => {
  const fleet = new CapacityFleet({
    seed: 1,
    members: 3,
    engines: 1,
    concurrency: 4,
    weights: { walnut: 1 },
  });
  const [first, second] = [...fleet.processes.values()];
  const grants: BatchGrant[] = [];
  first!.service.onGrant((grant) => {
    grants.push(grant);
    grant.revoked.addEventListener("abort", () => grant.release());
  });
  first!.service.setDemand([{
    workspace: walnut,
    target: { kind: "model", model },
    count: 100,
    earliestDeadline: 0,
  }]);
  await fleet.time.runUntil(1_000);
  assert.equal(grants.length, 3, "the reserve is one slot");
  const finish = [1, 2, 3].map(() =>
    second!.service.onlineStarted(engineName(0))
  );
  await fleet.time.runUntil(1_050);
  assert.deepEqual(grants.map((it) => it.revoked.aborted), [
    false,
    true,
    true,
  ]);
  for (const end of finish) end();
  await fleet.time.runUntil(1_100);
  assert.equal(grants.length, 5, "freed slots are granted again at once");
});
