import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../common/ids.ts";
import { VirtualTime } from "../common/testing/virtual-time.ts";
import { sendRetryIntervalMilliseconds } from "./constants.ts";
import { SendQueue } from "./send-queue.ts";

const service = "s" as UpstreamName;

test("requests that can be in time are retried before late ones, each kind by its deadline", async () => {
  const time = new VirtualTime();
  const queue = new SendQueue({ timers: time });
  const retried: string[] = [];
  const add = (name: string, deadline: number, isLate: boolean) =>
    queue.add({ service, deadline, isLate, retry: () => retried.push(name) });
  add("late", 1_000, true);
  add("second", 3_000, false);
  add("first", 2_000, false);
  const cancel = add("gone", 500, false);
  cancel();
  assert.equal(queue.hasWaiting(service), true);
  await time.runUntil(sendRetryIntervalMilliseconds);
  assert.deepEqual(retried, ["first", "second", "late"]);
  assert.equal(queue.hasWaiting(service), false);
});

test("a request that still finds no token waits for the next interval", async () => {
  const time = new VirtualTime();
  const queue = new SendQueue({ timers: time });
  let tries = 0;
  const wait = () =>
    queue.add({
      service,
      deadline: 1_000,
      isLate: false,
      retry: () => {
        tries += 1;
        if (tries < 3) wait();
      },
    });
  wait();
  await time.runUntil(10 * sendRetryIntervalMilliseconds);
  assert.equal(tries, 3);
});
