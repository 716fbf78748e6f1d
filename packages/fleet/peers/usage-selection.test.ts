import assert from "node:assert/strict";
import { test } from "node:test";
import type { WorkspaceId } from "../../common/ids.ts";
import { fullUsageIntervalMilliseconds } from "../constants.ts";
import type { WorkspaceUsage } from "../limits/fleet-limits.ts";
import { UsageSelection } from "./usage-selection.ts";

function usage(
  workspace: string,
  admitted: number,
  demandPerSecond = 1,
): WorkspaceUsage {
  return {
    workspace: workspace as WorkspaceId,
    admitted,
    demandPerSecond,
    level: 0,
  };
}

function names(usages: readonly WorkspaceUsage[]): string[] {
  return usages.map(({ workspace }) => workspace);
}

test("after a full report only changed usages are reported, until the next full one", () => {
  const selection = new UsageSelection<WorkspaceUsage>(({ workspace }) =>
    workspace
  );
  const usages = [usage("a", 1), usage("b", 1), usage("unused", 0, 0)];
  assert.deepEqual(names(selection.select(usages, 0)), ["a", "b"]);
  assert.deepEqual(names(selection.select(usages, 50)), []);
  const changed = [usage("a", 1), usage("b", 2)];
  assert.deepEqual(names(selection.select(changed, 100)), ["b"]);
  const full = selection.select(changed, fullUsageIntervalMilliseconds);
  assert.deepEqual(names(full), ["a", "b"]);
});

test("a workspace whose requests are all refused is reported when its demand rises", () => {
  const selection = new UsageSelection<WorkspaceUsage>(({ workspace }) =>
    workspace
  );
  selection.select([usage("a", 5, 10)], 0);
  assert.deepEqual(names(selection.select([usage("a", 5, 11)], 50)), []);
  assert.deepEqual(names(selection.select([usage("a", 5, 13)], 100)), ["a"]);
});

test("a peer that knows nothing yet gets all usages", () => {
  const selection = new UsageSelection<WorkspaceUsage>(({ workspace }) =>
    workspace
  );
  selection.select([usage("a", 5)], 0);
  selection.reset();
  assert.deepEqual(names(selection.select([usage("a", 5)], 50)), ["a"]);
});
