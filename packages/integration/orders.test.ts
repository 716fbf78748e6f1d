/**
 * Orders to engines, with real processes and counted at the engines' journals: a model that is
 * added to the document is ordered by one issuer only, also when coordinators are paused or
 * killed while they have orders to issue.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { pickByRendezvous } from "../common/hashing.ts";
import { brandAs, type Offset, type StreamName } from "../common/ids.ts";
import { decodeRecord } from "../log/record.ts";
import { HttpLogClient } from "../log/log-client.ts";
import { TestFleet, waitUntil } from "./test-fleet.ts";

/** Of the two engines, only the first refuses old fencing tokens. */
const checkingEngine = "engine-1";
const ignoringEngine = "engine-2";
const freshnessMilliseconds = 2_000;
const orderTimeoutMilliseconds = 5_000;
/** Timers follow another clock than the time stamps that are compared. */
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

/** Waits until the engine has carried out an order for the model; gives all its orders. */
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

/** The weight store has more models than the engines have loaded and the document names. */
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

/** The instance that coordinates the engine while all of them are members. */
function coordinatorOf(testFleet: TestFleet, engine: string): string {
  const ids = testFleet.instances.map(({ id }) => id);
  return pickByRendezvous(`capacity/${engine}`, ids) ?? "";
}

function otherThan(testFleet: TestFleet, id: string) {
  const found = testFleet.runningInstances.find((other) => other.id !== id);
  assert.ok(found);
  return found;
}

async function waitUntilMember(
  testFleet: TestFleet,
  id: string,
  isMember: boolean,
): Promise<void> {
  const witness = otherThan(testFleet, id);
  await waitUntil(`membership of ${id} becomes ${isMember}`, async () => {
    const { members } = await testFleet.status(witness);
    return members.some(({ instance }) => instance === id) === isMember;
  });
}

interface MembershipRecord {
  readonly time: number;
  readonly types: readonly string[];
}

/** The record of the control stream that a fencing token names. */
async function recordOfToken(
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

test("a paused and a killed coordinator have one successor each, which waits where tokens are ignored", async () => {
  await using testFleet = await startWithStoredModels();
  const checking = coordinatorOf(testFleet, checkingEngine);
  const ignoring = coordinatorOf(testFleet, ignoringEngine);
  assert.notEqual(checking, ignoring);
  await addModel(testFleet, checkingEngine, "walnut-13b");
  const [first, ...others] = await waitUntilLoaded(
    testFleet,
    checkingEngine,
    "walnut-13b",
  );
  assert.deepEqual(others, []);
  assert.ok(first);

  // The first order to this engine waits for a possible predecessor, which leaves time to pause.
  await addModel(testFleet, ignoringEngine, "walnut-13b");
  await testFleet.waitUntilInForce();
  const { fleet } = testFleet;
  fleet.pause(ignoring);
  assert.deepEqual(await ordersOf(testFleet, ignoringEngine), []);
  // Resumed before the successor's order, and unable to read that it was evicted.
  await fleet.faults.freeze(ignoring, "log");
  await fleet.faults.freeze(ignoring, "instance-*");
  await fleet.faults.freeze("instance-*", ignoring);
  await waitUntilMember(testFleet, ignoring, false);
  fleet.resume(ignoring);
  await waitUntil(
    "the old issuer has found its order due",
    () => fleet.readLog(ignoring).includes("orders to an engine are suspended"),
  );
  const [next] = await waitUntilLoaded(testFleet, ignoringEngine, "walnut-13b");
  assert.ok(next);
  const eviction = await recordOfToken(testFleet, next.token);
  assert.deepEqual(eviction.types, ["member-evicted"]);
  const waited = next.time - eviction.time;
  assert.ok(
    waited >= freshnessMilliseconds + orderTimeoutMilliseconds -
        clockToleranceMilliseconds,
    `ordered ${waited} ms after the eviction`,
  );

  await fleet.faults.healAll();
  await waitUntilMember(testFleet, ignoring, true);

  await fleet.kill(checking);
  await addModel(testFleet, checkingEngine, "walnut-30b");
  const orders = await waitUntilLoaded(testFleet, checkingEngine, "walnut-30b");
  assert.deepEqual(
    orders.map(({ model, outcome }) => [model, outcome]),
    [["walnut-13b", "completed"], ["walnut-30b", "completed"]],
  );
  assert.ok(orders[1]!.token > first.token);
  const { types } = await recordOfToken(testFleet, orders[1]!.token);
  assert.deepEqual(types, ["member-evicted"]);
  // The paused issuer has had links again for as long as this eviction took.
  assert.equal((await ordersOf(testFleet, ignoringEngine)).length, 1);
});

test("an engine that checks tokens refuses the late order of a paused coordinator", async () => {
  await using testFleet = await startWithStoredModels();
  const { fleet } = testFleet;
  const old = coordinatorOf(testFleet, checkingEngine);
  // Longer than the test needs to see the order's log line, so that the order is still under way.
  await fleet.faults.setDelay(old, checkingEngine, linkDelayMilliseconds);
  await addModel(testFleet, checkingEngine, "walnut-13b");
  await waitUntil(
    "the order is issued",
    () => fleet.readLog(old).includes("ordering an engine to load a model"),
  );
  fleet.pause(old);
  await fleet.faults.freeze(old, checkingEngine);
  assert.deepEqual(await ordersOf(testFleet, checkingEngine), []);
  const [next] = await waitUntilLoaded(testFleet, checkingEngine, "walnut-13b");
  assert.ok(next);
  await fleet.faults.heal(old, checkingEngine);
  const late = await waitUntil("the late order arrives", async () => {
    const orders = await ordersOf(testFleet, checkingEngine);
    return orders.find(({ token }) => token < next.token);
  });
  assert.equal(late.model, "walnut-13b");
  await fleet.faults.setDelay(old, checkingEngine, 0);
  fleet.resume(old);
  await waitUntilMember(testFleet, old, true);

  // As the owner again it must use a new token, and nothing may follow under the old one.
  await addModel(testFleet, checkingEngine, "walnut-30b");
  const orders = await waitUntilLoaded(testFleet, checkingEngine, "walnut-30b");
  assert.deepEqual(
    orders.map(({ model, outcome }) => [model, outcome]),
    [
      ["walnut-13b", "completed"],
      ["walnut-13b", "rejected"],
      ["walnut-30b", "completed"],
    ],
  );
  assert.ok(orders[2]!.token > next.token);
  const { types } = await recordOfToken(testFleet, orders[2]!.token);
  assert.deepEqual(types, ["member-joined"]);
});
