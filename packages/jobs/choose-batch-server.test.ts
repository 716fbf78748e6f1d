import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { ServerHealth } from "../gateway/server-health.ts";
import { chooseBatchServer, selectForRetry } from "./choose-batch-server.ts";
import { itemFailureRetryMilliseconds } from "./constants.ts";

const servers = 90;
const failingServers = 6;
const slots = 8;
const maximumAttempts = 3;
const itemsOfWave = 5;

function id(index: number): InstanceId {
  return `s${index}` as InstanceId;
}

/**
 * Plays waves of items on servers of which some fail every run at once, and all others are busy.
 * Returns the share of the items that are given up.
 */
function playFailingServers(): number {
  const health = new ServerHealth();
  let items = 0;
  let givenUp = 0;
  let waiting: Set<InstanceId>[] = [];
  for (let now = 0; now < 6_000; now += itemFailureRetryMilliseconds) {
    waiting.push(
      ...Array.from({ length: itemsOfWave }, () => new Set<InstanceId>()),
    );
    items += itemsOfWave;
    const running = new Map<InstanceId, number>();
    const failed: Set<InstanceId>[] = [];
    for (const failedAt of waiting) {
      const candidates = Array.from({ length: servers }, (_, index) => ({
        id: id(index),
        slots,
        // The failing servers are idle, since they answer at once.
        online: index < failingServers ? 0 : 6,
        batch: running.get(id(index)) ?? 0,
        isSameZone: true,
        isAvoided: false,
        failureShare: health.failureShare(id(index), now),
      }));
      const server = chooseBatchServer(selectForRetry(candidates, failedAt), 1);
      if (!server) continue;
      running.set(server, (running.get(server) ?? 0) + 1);
      if (Number(server.slice(1)) >= failingServers) continue;
      failedAt.add(server);
      if (failedAt.size >= maximumAttempts) givenUp += 1;
      else failed.push(failedAt);
    }
    for (const [server, runs] of running) {
      if (Number(server.slice(1)) < failingServers) {
        health.countFailures(server, runs, now);
      }
    }
    waiting = failed;
  }
  return givenUp / items;
}

test("no item is given up because some servers fail every run and so have the most free slots", () => {
  assert.equal(playFailingServers(), 0);
});

test("an item that failed goes on at a sound server, else at any other, else at any", () => {
  const candidate = (name: string, failureShare: number) => ({
    id: name as InstanceId,
    slots,
    online: 0,
    batch: 0,
    isSameZone: true,
    isAvoided: false,
    failureShare,
  });
  const candidates = [
    candidate("a", 0),
    candidate("b", 0.5),
    candidate("c", 0),
  ];
  const select = (...failedAt: string[]) =>
    selectForRetry(candidates, new Set(failedAt as InstanceId[]))
      .map((each) => each.id as string);
  assert.deepEqual(select(), ["a", "b", "c"]);
  assert.deepEqual(select("a"), ["c"]);
  assert.deepEqual(select("a", "c"), ["b"]);
  assert.deepEqual(select("a", "b", "c"), ["a", "b", "c"]);
});

test("items with time leave the last tokens of a server's limit to online requests", () => {
  const limited = (level: number) => ({
    id: id(0),
    slots,
    online: 0,
    batch: 0,
    isSameZone: true,
    isAvoided: false,
    failureShare: 0,
    sendBudget: {
      limitPerSecond: 4,
      ageMilliseconds: 0,
      allowance: 1,
      level,
      burst: 6,
      waitMilliseconds: 0,
    },
  });
  const slotsKept = 1;
  assert.equal(chooseBatchServer([limited(2)], slotsKept), undefined);
  assert.equal(chooseBatchServer([limited(6)], slotsKept), id(0));
  const urgent = 0;
  assert.equal(chooseBatchServer([limited(2)], urgent), id(0));
});
