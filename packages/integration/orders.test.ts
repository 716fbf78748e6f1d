/**
 * Tests of orders to engines, with real processes and counted in the engines' journals. The load of
 * a model that is added to the document is ordered by a single coordinator, even when coordinators
 * are paused or killed while they have orders to issue.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { pickByRendezvous } from "../common/hashing.ts";
import { brandAs, type Offset, type StreamName } from "../common/ids.ts";
import { decodeRecord } from "../log/record.ts";
import { HttpLogClient } from "../log/log-client.ts";
import { TestFleet, waitUntil } from "./test-fleet.ts";

/** Only the first of the two engines rejects old fencing tokens. */
const fencingEngine = "engine-1";
const nonFencingEngine = "engine-2";
const freshnessMilliseconds = 2_000;
const orderTimeoutMilliseconds = 5_000;
/** Timers and the compared timestamps use different clocks, which may differ by this much. */
const clockToleranceMilliseconds = 20;
const linkDelayMilliseconds = 1_000;

interface JournaledOrder {
  readonly time: number;
  readonly model: string;
  readonly token: number;
  readonly outcome: string;
}

async function ordersOf(
  testFleet: TestFleet,
  engine: string,
): Promise<JournaledOrder[]> {
  const lines = await testFleet.journalOf(engine);
  return lines.filter(({ path }) => path === "/orders").map((line) => {
    const { order, fencingToken } = JSON.parse(line.body);
    assert.equal(order.kind, "load_model");
    return {
      time: Date.parse(line.time),
      model: order.model,
      token: fencingToken,
      outcome: line.outcome,
    };
  });
}

/** Waits until the engine has completed an order for the model; returns all of its orders. */
async function waitUntilLoaded(
  testFleet: TestFleet,
  engine: string,
  model: string,
): Promise<JournaledOrder[]> {
  return await waitUntil(`${engine} loads ${model}`, async () => {
    const orders = await ordersOf(testFleet, engine);
    const isLoaded = orders.some((order) =>
      order.model === model && order.outcome === "completed"
    );
    return isLoaded && orders;
  });
}

async function addModel(
  testFleet: TestFleet,
  engine: string,
  model: string,
): Promise<void> {
  const { upstreams } = testFleet.prepared.document.platform;
  const upstream = upstreams.find(({ name }) => name === engine);
  assert.ok(upstream);
  upstream["models"] = [...upstream["models"] as string[], model];
  await testFleet.publishSection("platform");
}

/** Starts a fleet whose weight store holds models that are neither loaded nor in the document. */
function startWithStoredModels(): Promise<TestFleet> {
  const loaded = ["walnut-7b"];
  return TestFleet.start({
    changes: {
      models: [...loaded, "walnut-13b", "walnut-30b"],
      engineSettings: { models: loaded },
    },
    edit: ({ platform }) => {
      for (const upstream of platform.upstreams) {
        if (upstream["kind"] === "engine") upstream["models"] = loaded;
      }
    },
  });
}

/** Instance that coordinates the engine while all instances are members. */
function coordinatorOf(testFleet: TestFleet, engine: string): string {
  const ids = testFleet.instances.map(({ id }) => id);
  return pickByRendezvous(`capacity/${engine}`, ids) ?? "";
}

function findOtherInstance(testFleet: TestFleet, id: string) {
  const found = testFleet.runningInstances.find((other) => other.id !== id);
  assert.ok(found);
  return found;
}

async function waitUntilMember(
  testFleet: TestFleet,
  id: string,
  isMember: boolean,
): Promise<void> {
  const observer = findOtherInstance(testFleet, id);
  await waitUntil(`membership of ${id} becomes ${isMember}`, async () => {
    const { members } = await testFleet.status(observer);
    return members.some(({ instance }) => instance === id) === isMember;
  });
}

interface MembershipRecord {
  readonly time: number;
  readonly types: readonly string[];
}

/** Reads the record of the control stream whose offset is the fencing token. */
async function readRecordOfToken(
  testFleet: TestFleet,
  token: number,
): Promise<MembershipRecord> {
  const client = new HttpLogClient({ baseUrl: testFleet.fleet.log.url });
  try {
    const { records } = await client.read(brandAs<StreamName>("control"), {
      from: token as Offset,
      waitMilliseconds: 0,
      maximumBytes: 64 * 1024,
    });
    const record = records.find(({ offset }) => offset === token);
    assert.ok(record, `the log has no record ${token}`);
    const entries = decodeRecord(record.data)?.entries ?? [];
    const types = entries.map((entry) => (entry as { type: string }).type);
    return { time: record.time, types };
  } finally {
    await client.close();
  }
}

test("a paused and a killed coordinator each have one successor, which waits if the engine ignores tokens", async () => {
  await using testFleet = await startWithStoredModels();
  const fencingCoordinator = coordinatorOf(testFleet, fencingEngine);
  const nonFencingCoordinator = coordinatorOf(testFleet, nonFencingEngine);
  assert.notEqual(fencingCoordinator, nonFencingCoordinator);
  await addModel(testFleet, fencingEngine, "walnut-13b");
  const [firstOrder, ...furtherOrders] = await waitUntilLoaded(
    testFleet,
    fencingEngine,
    "walnut-13b",
  );
  assert.deepEqual(furtherOrders, []);
  assert.ok(firstOrder);

  // The engine ignores fencing tokens, so its coordinator delays the first order until orders of a
  // possible predecessor have timed out. The coordinator is paused during this delay.
  await addModel(testFleet, nonFencingEngine, "walnut-13b");
  await testFleet.waitUntilInForce();
  const { fleet } = testFleet;
  fleet.pause(nonFencingCoordinator);
  assert.deepEqual(await ordersOf(testFleet, nonFencingEngine), []);
  // The old coordinator resumes before its successor issues an order. With its links to the log
  // and the peers frozen, it cannot learn that it was evicted.
  await fleet.faults.freeze(nonFencingCoordinator, "log");
  await fleet.faults.freeze(nonFencingCoordinator, "instance-*");
  await fleet.faults.freeze("instance-*", nonFencingCoordinator);
  await waitUntilMember(testFleet, nonFencingCoordinator, false);
  fleet.resume(nonFencingCoordinator);
  await waitUntil(
    "the old coordinator has reached the time of its order",
    () =>
      fleet.readLog(nonFencingCoordinator).includes(
        "orders to an engine are suspended",
      ),
  );
  const [successorOrder] = await waitUntilLoaded(
    testFleet,
    nonFencingEngine,
    "walnut-13b",
  );
  assert.ok(successorOrder);
  const eviction = await readRecordOfToken(testFleet, successorOrder.token);
  assert.deepEqual(eviction.types, ["member-evicted"]);
  const waitedMilliseconds = successorOrder.time - eviction.time;
  assert.ok(
    waitedMilliseconds >= freshnessMilliseconds + orderTimeoutMilliseconds -
        clockToleranceMilliseconds,
    `ordered ${waitedMilliseconds} ms after the eviction`,
  );

  await fleet.faults.healAll();
  await waitUntilMember(testFleet, nonFencingCoordinator, true);

  await fleet.kill(fencingCoordinator);
  await addModel(testFleet, fencingEngine, "walnut-30b");
  const orders = await waitUntilLoaded(testFleet, fencingEngine, "walnut-30b");
  assert.deepEqual(
    orders.map(({ model, outcome }) => [model, outcome]),
    [["walnut-13b", "completed"], ["walnut-30b", "completed"]],
  );
  assert.ok(orders[1]!.token > firstOrder.token);
  const { types } = await readRecordOfToken(testFleet, orders[1]!.token);
  assert.deepEqual(types, ["member-evicted"]);
  // The old coordinator had working links throughout the second eviction, yet ordered nothing more.
  assert.equal((await ordersOf(testFleet, nonFencingEngine)).length, 1);
});

test("an engine that checks fencing tokens rejects the late order of a paused coordinator", async () => {
  await using testFleet = await startWithStoredModels();
  const { fleet } = testFleet;
  const pausedCoordinator = coordinatorOf(testFleet, fencingEngine);
  // The delay exceeds the time until the test sees the order's log line, so that the order is still
  // in transit then.
  await fleet.faults.setDelay(
    pausedCoordinator,
    fencingEngine,
    linkDelayMilliseconds,
  );
  await addModel(testFleet, fencingEngine, "walnut-13b");
  await waitUntil(
    "the order is issued",
    () =>
      fleet.readLog(pausedCoordinator).includes(
        "ordering an engine to load a model",
      ),
  );
  fleet.pause(pausedCoordinator);
  await fleet.faults.freeze(pausedCoordinator, fencingEngine);
  assert.deepEqual(await ordersOf(testFleet, fencingEngine), []);
  const [successorOrder] = await waitUntilLoaded(
    testFleet,
    fencingEngine,
    "walnut-13b",
  );
  assert.ok(successorOrder);
  await fleet.faults.heal(pausedCoordinator, fencingEngine);
  const lateOrder = await waitUntil("the late order arrives", async () => {
    const orders = await ordersOf(testFleet, fencingEngine);
    return orders.find(({ token }) => token < successorOrder.token);
  });
  assert.equal(lateOrder.model, "walnut-13b");
  await fleet.faults.setDelay(pausedCoordinator, fencingEngine, 0);
  fleet.resume(pausedCoordinator);
  await waitUntilMember(testFleet, pausedCoordinator, true);

  // The engine has the same coordinator again, which must use a new token: no further order may
  // carry the old one.
  await addModel(testFleet, fencingEngine, "walnut-30b");
  const orders = await waitUntilLoaded(testFleet, fencingEngine, "walnut-30b");
  assert.deepEqual(
    orders.map(({ model, outcome }) => [model, outcome]),
    [
      ["walnut-13b", "completed"],
      ["walnut-13b", "rejected"],
      ["walnut-30b", "completed"],
    ],
  );
  assert.ok(orders[2]!.token > successorOrder.token);
  const { types } = await readRecordOfToken(testFleet, orders[2]!.token);
  assert.deepEqual(types, ["member-joined"]);
});
