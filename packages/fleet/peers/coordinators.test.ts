import assert from "node:assert/strict";
import { test } from "node:test";
import fastCheck from "fast-check";
import type { InstanceId } from "../../common/ids.ts";
import {
  chooseCoordinators,
  coordinatorCount,
  coordinatorsOfLargeFleet,
  maximumCoordinators,
  rankCoordinators,
} from "./coordinators.ts";
import type { Member } from "./members.ts";

function member(number: number, zones: number, capacity = 1): Member {
  return {
    instance: `i${number}` as InstanceId,
    incarnation: "a",
    zone: `z${number % zones}`,
    host: "h",
    port: number,
    capacity,
  };
}

test("a small fleet consists of coordinators only", () => {
  const members = Array.from(
    { length: maximumCoordinators },
    (_, index) => member(index, 4),
  );
  assert.deepEqual(chooseCoordinators(members), members);
});

test("a large fleet has a fixed number of coordinators, evenly over the zones and on large machines", () => {
  const members = Array.from(
    { length: 195 },
    (_, index) => member(index, 6, index < 60 ? 1.35 : 0.3),
  );
  const coordinators = chooseCoordinators(members);
  assert.equal(coordinators.length, coordinatorsOfLargeFleet);
  for (let zone = 0; zone < 6; zone++) {
    const inZone = coordinators.filter((entry) => entry.zone === `z${zone}`);
    assert.ok(inZone.length >= 1 && inZone.length <= 2);
  }
  assert.ok(coordinators.every(({ capacity }) => capacity === 1.35));
});

test("the choice does not depend on the order of the members, and one change replaces few", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 13, max: 120 }),
      fastCheck.integer({ min: 1, max: 8 }),
      fastCheck.nat(),
      (size, zones, seed) => {
        const members = Array.from(
          { length: size },
          (_, index) => member(index, zones, (index * 7 % 5) / 4),
        );
        const names = (list: readonly Member[]) =>
          new Set(chooseCoordinators(list).map(({ instance }) => instance));
        const all = names(members);
        assert.deepEqual(names([...members].reverse()), all);
        const removed = seed % size;
        const rest = names(members.filter((_, index) => index !== removed));
        const kept = [...all].filter((instance) => rest.has(instance));
        assert.ok(kept.length >= all.size - 2);
      },
    ),
  );
});

test("the number of coordinators falls in single steps from the maximum to that of a large fleet", () => {
  for (let size = 1; size < 400; size++) {
    const step = coordinatorCount(size) - coordinatorCount(size + 1);
    assert.ok(step === 0 || step === 1);
    assert.ok(Math.min(size, coordinatorCount(size)) >= Math.min(size, 8));
  }
  assert.equal(coordinatorCount(maximumCoordinators), maximumCoordinators);
  assert.equal(coordinatorCount(390), coordinatorsOfLargeFleet);
});

test("a dependent asks the coordinators of its own zone first", () => {
  const coordinators = Array.from(
    { length: 12 },
    (_, index) => member(index, 6),
  );
  const ranked = rankCoordinators(
    { instance: "d" as InstanceId, zone: "z3" },
    coordinators,
  );
  assert.equal(ranked.length, 12);
  assert.deepEqual(new Set(ranked.slice(0, 2)), new Set(["i3", "i9"]));
});
