import assert from "node:assert/strict";
import { test } from "node:test";
import fastCheck from "fast-check";
import type { Incarnation, InstanceId } from "../common/ids.ts";
import { dependentLifetimeMilliseconds } from "./constants.ts";
import { Dependents } from "./dependents.ts";

function createDependents() {
  const counts = new Map<InstanceId, number>();
  const add = (server: InstanceId, difference: number) => {
    counts.set(server, (counts.get(server) ?? 0) + difference);
    assert.ok(counts.get(server)! >= 0, "a count fell below zero");
  };
  const dependents = new Dependents({
    addRequest: (server) => add(server, 1),
    removeRequest: (server) => add(server, -1),
  });
  return {
    dependents,
    total: () => [...counts.values()].reduce((a, b) => a + b, 0),
  };
}

const sender = { instance: "d" as InstanceId, incarnation: "1" as Incarnation };
const server = "s" as InstanceId;

test("a granted slot counts at once and until a report covers it", () => {
  const { dependents, total } = createDependents();
  dependents.grant(sender, 1, server, 0);
  dependents.grant(sender, 2, server, 0);
  assert.equal(total(), 2);
  // The report was sent after the first grant had arrived, but before the second.
  dependents.update(sender, { settledQuestion: 1, loads: [[server, 1]] }, 5);
  assert.equal(total(), 2);
  dependents.update(sender, { settledQuestion: 2, loads: [[server, 1]] }, 10);
  assert.equal(total(), 1);
});

test("a grant whose reply was lost is released by the next report", () => {
  const { dependents, total } = createDependents();
  dependents.grant(sender, 1, server, 0);
  dependents.update(sender, { settledQuestion: 1, loads: [] }, 100);
  assert.equal(total(), 0);
});

test("the counts of a silent or restarted dependent are discarded", () => {
  const { dependents, total } = createDependents();
  dependents.update(sender, { settledQuestion: 0, loads: [[server, 3]] }, 0);
  dependents.expire(dependentLifetimeMilliseconds);
  assert.equal(total(), 3);
  dependents.expire(dependentLifetimeMilliseconds + 1);
  assert.equal(total(), 0);
  dependents.update(sender, { settledQuestion: 0, loads: [[server, 3]] }, 0);
  const restarted = { ...sender, incarnation: "2" as Incarnation };
  dependents.grant(restarted, 1, server, 1);
  assert.equal(total(), 1);
});

test("after any sequence of grants, reports, silence and restarts, the counts are those of the last reports", () => {
  const event = fastCheck.record({
    kind: fastCheck.constantFrom("grant", "report", "silence", "restart"),
    instance: fastCheck.constantFrom("a", "b", "c"),
    server: fastCheck.constantFrom("s", "t"),
    requests: fastCheck.nat(5),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(event, { maxLength: 80 }), (events) => {
      const { dependents, total } = createDependents();
      const incarnations = new Map<string, number>();
      let now = 0;
      for (const [question, step] of events.entries()) {
        const from = {
          instance: step.instance as InstanceId,
          incarnation: String(
            incarnations.get(step.instance) ?? 0,
          ) as Incarnation,
        };
        const target = step.server as InstanceId;
        now += 1;
        if (step.kind === "grant") {
          dependents.grant(from, question, target, now);
        } else if (step.kind === "report") {
          dependents.update(from, {
            settledQuestion: question,
            loads: [[target, step.requests]],
          }, now);
        } else if (step.kind === "silence") {
          now += dependentLifetimeMilliseconds + 1;
          dependents.expire(now);
        } else {
          incarnations.set(step.instance, question + 1);
        }
      }
      let expected = 0;
      for (const [index, instance] of ["a", "b", "c"].entries()) {
        const incarnation = String(
          incarnations.get(instance) ?? 0,
        ) as Incarnation;
        dependents.update(
          { instance: instance as InstanceId, incarnation },
          { settledQuestion: events.length, loads: [[server, index]] },
          now,
        );
        expected += index;
      }
      assert.equal(total(), expected);
      dependents.clear();
      assert.equal(total(), 0);
    }),
  );
});
