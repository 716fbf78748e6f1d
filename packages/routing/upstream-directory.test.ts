/**
 * Upstream directory, engine orders and batch items, mostly against small HTTP servers: a leaving
 * upstream gets no new requests, a former owner sends no orders, and an order whose fencing token
 * the engine rejects fails with order_fenced.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { test, type TestContext } from "node:test";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type UpstreamName,
} from "../common/ids.ts";
import { VirtualTime } from "../common/testing/virtual-time.ts";
import type { ControlListener, ControlView } from "../control/control-state.ts";
import { createBatchItemRunner } from "./batch-item-runner.ts";
import { EngineOrders } from "./engine-orders.ts";
import type { BatchItemCall, UpstreamRequest } from "./upstream-caller.ts";
import { UpstreamClient } from "./upstream-client.ts";
import { UpstreamDirectory } from "./upstream-directory.ts";

const engine = brandAs<UpstreamName>("e1");
const ownInstance = brandAs<InstanceId>("i1");
const incarnation = brandAs<Incarnation>("i1.1");

async function startServer(
  context: TestContext,
  listener: RequestListener,
): Promise<string> {
  const server = createServer(listener).listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as { port: number }).port}`;
}

class FakeControl {
  readonly listeners = new Set<ControlListener>();
  state: ControlView["state"];
  awaitedOffsets: number[] = [];
  inForce: Promise<void> = Promise.resolve();

  constructor(upstreams: object[], routes: object[] = []) {
    this.state = {
      membershipOffset: 10,
      members: new Map([[ownInstance, { incarnation }]]),
      configuration: {
        upstreams: new Map(
          upstreams.map((entry) => [(entry as { name: string }).name, entry]),
        ),
        routes,
      },
    } as unknown as ControlView["state"];
  }

  isFresh = () => true;
  onChange(listener: ControlListener) {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
  whenInForce(offset: number) {
    this.awaitedOffsets.push(offset);
    return this.inForce;
  }
  changeMembership(membershipOffset: number) {
    const previous = this.state;
    this.state = { ...previous, membershipOffset } as ControlView["state"];
    for (const listener of this.listeners) listener(this.state, previous);
  }
  get view() {
    return this as unknown as ControlView;
  }
}

function createCaller(context: TestContext, { state }: FakeControl) {
  const client = new UpstreamClient({
    findUpstream: (name) => state.configuration.upstreams.get(name),
  });
  context.after(() => client.close());
  return client;
}

test("leaving and removed upstreams are not live; an unreadable list changes nothing", async (context) => {
  let instanceList: unknown;
  let status = 200;
  const address = await startServer(context, (_request, response) => {
    response.writeHead(status).end(JSON.stringify(instanceList));
  });
  const names = ["e1", "e2", "e3"].map((name) => ({ name }));
  const directory = new UpstreamDirectory({
    control: new FakeControl(names).view,
    instanceListUrl: `http://${address}`,
  });
  const live = () =>
    [...names, { name: "e4" }].map(({ name }) => name)
      .filter((name) => directory.isLive(name as UpstreamName)).join();
  const instance = (name: string, state: string) => ({
    name,
    address: "127.0.0.1:1",
    zone: "z",
    state,
  });
  assert.equal(live(), "e1,e2,e3");
  instanceList = {
    instances: [instance("e1", "live"), instance("e2", "leaving")],
  };
  await directory.poll();
  assert.equal(live(), "e1,e3");
  status = 500;
  await directory.poll();
  status = 200;
  instanceList = { instances: [{ name: 1 }] };
  await directory.poll();
  instanceList = { instances: [] };
  await directory.poll();
  assert.equal(live(), "e1,e3");
  instanceList = { instances: [instance("e2", "live")] };
  await directory.poll();
  assert.equal(live(), "e2,e3");
  await directory.stop();
});

test("only the owner issues orders, one at a time, with the offset of its ownership", async (context) => {
  const bodies: unknown[] = [];
  let ordersInProgress = 0;
  const address = await startServer(context, async (request, response) => {
    assert.equal(
      ++ordersInProgress,
      1,
      "a second order arrived before the first had ended",
    );
    let text = "";
    for await (const chunk of request) text += chunk;
    const body = JSON.parse(text);
    bodies.push(body);
    await new Promise((resolve) => setTimeout(resolve, 20));
    ordersInProgress -= 1;
    response.writeHead(body.fencingToken < 30 ? 200 : 409).end();
  });
  const control = new FakeControl([
    { name: engine, kind: "engine", address, checksFencing: true },
  ]);
  let owner: InstanceId = ownInstance;
  const orders = new EngineOrders({
    control: control.view,
    caller: createCaller(context, control),
    instance: ownInstance,
    incarnation: () => incarnation,
    ownerOf: () => owner,
  });
  const issue = (model: string) =>
    orders.issue(engine, { kind: "load_model", model });
  await Promise.all([issue("a"), issue("b")]);
  control.changeMembership(15);
  await issue("c");
  owner = brandAs<InstanceId>("i2");
  control.changeMembership(20);
  await assert.rejects(issue("d"), { code: "not_coordinator" });
  owner = ownInstance;
  control.changeMembership(31);
  await assert.rejects(issue("e"), { code: "order_fenced" });
  assert.deepEqual(
    bodies.map((body) => (body as { fencingToken: number }).fencingToken),
    [10, 10, 10, 31],
  );
  assert.deepEqual(control.awaitedOffsets, []);
  orders.stop();
});

test("a new coordinator of an engine that ignores tokens waits for its predecessor", async (context) => {
  let count = 0;
  const address = await startServer(context, (_request, response) => {
    count += 1;
    response.end();
  });
  const control = new FakeControl([
    { name: engine, kind: "engine", address, checksFencing: false },
  ]);
  let owner: InstanceId = ownInstance;
  const time = new VirtualTime();
  let setInForce = () => {};
  control.inForce = new Promise((resolve) => setInForce = resolve);
  const orders = new EngineOrders({
    control: control.view,
    caller: createCaller(context, control),
    instance: ownInstance,
    incarnation: () => incarnation,
    ownerOf: () => owner,
    // The wait for the predecessor is in virtual time; only the calls take real time.
    orderTimeoutMilliseconds: 60_000,
    timers: time,
  });
  const issue = () => orders.issue(engine, { kind: "set_role", role: "r" });
  const first = issue();
  await time.runUntil(100_000);
  assert.equal(count, 0, "sent before the ownership is in force");
  setInForce();
  await time.runUntil(159_999);
  assert.equal(count, 0, "sent before the order timeout has passed");
  await time.runUntil(160_000);
  await first;
  await issue();
  assert.equal(count, 2);
  assert.deepEqual(control.awaitedOffsets, [10]);
  control.changeMembership(11);
  const issued = issue();
  owner = brandAs<InstanceId>("i2");
  control.changeMembership(12);
  await assert.rejects(issued, { code: "not_coordinator" });
  orders.stop();
});

test("batch items are never streamed, and the route prefix is stripped from their path", async () => {
  const calls: UpstreamRequest[] = [];
  const timedPaths: string[] = [];
  const run = createBatchItemRunner({
    control: new FakeControl([], [
      { pathPrefix: "/scale", stripPrefix: true },
    ]).view,
    maximumResponseBytes: 10,
    onTiming: ({ call }) => timedPaths.push(call.path),
    caller: {
      call(request) {
        calls.push(request);
        const body = request.path === "/big" ? "x".repeat(11) : '{"a":1}';
        return Promise.resolve({
          upstream: request.upstream,
          status: 200,
          headers: { "content-type": "application/json" },
          body: (async function* () {
            yield await Promise.resolve(Buffer.from(body));
          })(),
        });
      },
    },
  });
  const runItem = (path: string, body = "{}") =>
    run(
      {
        path,
        body: Buffer.from(body),
        method: "POST",
      } as unknown as BatchItemCall,
    );
  const chat = "/v1/chat/completions";
  assert.deepEqual(await runItem(chat, '{"stream":true,"model":"m"}'), {
    status: 200,
    body: { a: 1 },
  });
  await runItem(chat, '{"\\u0073tream":true,"model":"m"}');
  for (const call of calls) {
    assert.equal(Buffer.from(call.body!).toString(), '{"model":"m"}');
  }
  await runItem("/scale/lots?a=1");
  assert.equal(calls.at(-1)?.path, "/lots?a=1");
  assert.deepEqual(timedPaths, [chat, chat, "/scale/lots?a=1"]);
  await assert.rejects(runItem("/scale/big"), { verdict: "ran" });
  await assert.rejects(runItem("/none"), { verdict: "not_run" });
});
