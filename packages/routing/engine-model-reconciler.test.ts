/**
 * Model reconciliation in virtual time: a missing model is ordered once, checks and orders are
 * rate-limited after failures and many changes, and an instance that no longer coordinates an
 * engine sends it nothing.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { brandAs, type ModelName, type UpstreamName } from "../common/ids.ts";
import { VirtualTime } from "../common/testing/virtual-time.ts";
import type { ControlListener, ControlView } from "../control/control-state.ts";
import { EngineModelReconciler } from "./engine-model-reconciler.ts";
import { EngineOrderError } from "./engine-orders.ts";

const name = brandAs<UpstreamName>("e1");

function createFixture() {
  const time = new VirtualTime();
  const listeners = new Set<ControlListener>();
  const fixture = {
    time,
    checks: [] as number[],
    orders: [] as string[],
    loaded: ["a"],
    isCoordinator: true,
    isLive: true,
    /** Models whose orders fail. */
    failingModels: new Set<string>(),
    stop: () => {},
    publish(...models: string[]) {
      const upstream = { name, kind: "engine", models };
      control.state = {
        configuration: { upstreams: new Map([[name, upstream]]) },
      } as unknown as ControlView["state"];
      for (const listener of listeners) listener(control.state, control.state);
    },
  };
  const control = {
    state: { configuration: { upstreams: new Map() } },
    onChange(listener: ControlListener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  } as unknown as { -readonly [Key in keyof ControlView]: ControlView[Key] };
  const reconciler = new EngineModelReconciler({
    control,
    caller: {
      call({ upstream }) {
        fixture.checks.push(time.monotonicNow());
        const data = fixture.loaded.map((id) => ({ id }));
        return Promise.resolve({
          upstream,
          status: 200,
          headers: {},
          body: (async function* () {
            yield await Promise.resolve(Buffer.from(JSON.stringify({ data })));
          })(),
        });
      },
    },
    orders: {
      isCoordinator: () => fixture.isCoordinator,
      whenReady: () => Promise.resolve(),
      issue(_, order) {
        const { model } = order as unknown as { model: ModelName };
        fixture.orders.push(model);
        if (!fixture.isCoordinator) {
          return Promise.reject(new EngineOrderError("not_coordinator", ""));
        }
        if (fixture.failingModels.has(model)) {
          return Promise.reject(new EngineOrderError("order_refused", ""));
        }
        fixture.loaded.push(model);
        return Promise.resolve();
      },
    },
    isLive: () => fixture.isLive,
    random: () => 0,
    clock: time,
    timers: time,
  });
  reconciler.start();
  fixture.stop = () => reconciler.stop();
  return fixture;
}

test("missing models are ordered once, and again when the engine has lost them", async () => {
  const fixture = createFixture();
  const { time, orders } = fixture;
  fixture.publish("a", "b");
  await time.runUntil(20_000);
  assert.deepEqual(orders, ["b"]);
  fixture.loaded = ["a"];
  await time.runUntil(60_000);
  assert.deepEqual(orders, ["b", "b"]);
  assert.ok(fixture.checks.length <= 3, `${fixture.checks}`);
});

test("many changes and failing orders do not cause more than one check per 2 s", async () => {
  const fixture = createFixture();
  const { time, orders, checks } = fixture;
  fixture.failingModels.add("b");
  for (let turn = 0; turn < 100; turn++) {
    fixture.publish("a", `c${turn}`);
    await time.runUntil(turn * 40);
  }
  assert.ok(checks.length <= 3, `${checks}`);
  fixture.publish("a", "b", "d");
  await time.runUntil(8_000);
  assert.ok(
    fixture.loaded.includes("d"),
    "a failing model prevents other models from being loaded",
  );
  await time.runUntil(600_000);
  const attempts = orders.filter((model) => model === "b").length;
  assert.ok(attempts >= 10 && attempts <= 30, `${attempts} attempts`);
  const gaps = checks.slice(1).map((at, index) => at - checks[index]!);
  assert.ok(Math.min(...gaps) >= 2_000, `${gaps}`);
});

test("no checks or orders go to a leaving engine, or from an instance that is not its coordinator", async () => {
  const fixture = createFixture();
  const { time, orders, checks } = fixture;
  fixture.isLive = false;
  fixture.publish("a", "b");
  await time.runUntil(10_000);
  assert.deepEqual([checks, orders], [[], []]);
  fixture.isCoordinator = false;
  fixture.publish("a", "b", "c");
  fixture.isLive = true;
  await time.runUntil(100_000);
  assert.deepEqual([checks, orders], [[], []]);
  fixture.isCoordinator = true;
  fixture.publish("a", "b", "c");
  await time.runUntil(110_000);
  assert.deepEqual(orders, ["b", "c"]);
  fixture.stop();
});
