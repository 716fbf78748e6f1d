/** Tests that jobs complete on one and on several instances, with one outcome for each item. */

import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chatItems,
  FakeFleet,
  readResults,
  submit,
  waitUntilEnded,
} from "./testing/fake-fleet.ts";
import { delay } from "./timing.ts";
import type { BatchItemCall } from "../routing/upstream-caller.ts";

function echo() {
  const calls: BatchItemCall[] = [];
  const runItem = async (call: BatchItemCall) => {
    calls.push(call);
    await delay(2);
    return { status: 200, body: { line: call.line } };
  };
  return { calls, runItem };
}

for (const names of [["a"], ["a", "b", "c"]]) {
  test(`a job of 700 items ends with one result each on ${names.length} instances`, async () => {
    const { calls, runItem } = echo();
    const fleet = new FakeFleet({ runItem });
    const instances = fleet.start(...names);
    const first = instances[0]!;
    const job = await submit(first, chatItems(700));
    const ended = await waitUntilEnded(first, job.id);
    assert.equal(ended.status, "completed");
    assert.deepEqual(ended.counts, { total: 700, completed: 700, failed: 0 });
    assert.equal(calls.length, 700);
    for (const instance of instances) {
      const { output, errors } = await readResults(instance, job.id);
      assert.equal(errors.length, 0);
      assert.deepEqual(
        output.map((line) => line.custom_id).sort(),
        chatItems(700).map((item) => (item as { custom_id: string }).custom_id)
          .sort(),
      );
    }
    await fleet.dispose();
  });
}
