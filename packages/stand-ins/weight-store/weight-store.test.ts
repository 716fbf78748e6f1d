/**
 * Tests of the instance list and weight store stand-ins: a change is shown after the lag, and an
 * order to load a model fails when the fetch rate is exceeded.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogger } from "../../common/logging.ts";
import { startEngine } from "../engine/engine.ts";
import { startInstanceList } from "../instance-list/instance-list.ts";
import { putJson } from "../shared/test-support.ts";
import { startWeightStore } from "./weight-store.ts";

// Guards against a change that is shown early. The test sets the time, since a call may take longer
// than the lag on a busy machine.
test("a change of state is shown only after the lag", async () => {
  const lagMilliseconds = 150;
  let now = 1_000;
  const list = await startInstanceList(
    {
      port: 0,
      lagMilliseconds,
      instances: [{ name: "engine-1", address: "127.0.0.1:1", zone: "zone-1" }],
    },
    silentLogger,
    { monotonicNow: () => now },
  );
  const url = `http://127.0.0.1:${list.port}/instances`;
  const stateNow = async () =>
    (await (await fetch(url)).json()).instances[0].state as string;
  try {
    await putJson(`${url}/engine-1`, { state: "leaving" });
    now += lagMilliseconds - 1;
    assert.equal(await stateNow(), "live");
    now += 1;
    assert.equal(await stateNow(), "leaving");
  } finally {
    await list.close();
  }
});

test("an order to load a model fetches its weights and fails above the fetch rate", async () => {
  const store = await startWeightStore({
    port: 0,
    fetchesPerSecond: 0.01,
    models: ["walnut-7b", "walnut-13b"],
  });
  const engine = await startEngine({
    port: 0,
    weightStoreUrl: `http://127.0.0.1:${store.port}`,
  });
  const loadModel = (model: string) =>
    fetch(`http://127.0.0.1:${engine.port}/orders`, {
      method: "POST",
      body: JSON.stringify({
        order: { kind: "load_model", model },
        fencingToken: 1,
      }),
    });
  try {
    const loaded = await (await loadModel("walnut-13b")).json();
    assert.deepEqual(loaded.models, ["walnut-7b", "walnut-13b"]);
    assert.equal((await loadModel("walnut-13b")).status, 502);
  } finally {
    await Promise.all([engine.close(), store.close()]);
  }
});
