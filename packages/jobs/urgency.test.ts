import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../common/random.ts";
import { resultDeliveryMilliseconds } from "./constants.ts";
import { compareUrgency, isLikelyLate } from "./urgency.ts";

const slots = 24;
const dueMilliseconds = 18_000;
const averageRunMilliseconds = 6_000;
const tickMilliseconds = 50;
const overloadSeconds = 20;
/** Stated target: the share of the free capacity that ends as items in time. */
const capacityTarget = 0.8;

interface Item {
  readonly arrivesAt: number;
  readonly dueAt: number;
  readonly runMilliseconds: number;
  doneMilliseconds: number;
}

/** Plays an overload in virtual time; returns the share of the slots' time that ends in time. */
function playOverload(
  { seed, margin, itemsPerSecond }: {
    seed: number;
    margin?: number;
    itemsPerSecond: number;
  },
): number {
  const random = new SeededRandom(seed);
  const items: Item[] = [];
  for (let at = 0; at < overloadSeconds * 1_000;) {
    at += random.nextArrivalMilliseconds(itemsPerSecond);
    items.push({
      arrivesAt: at,
      dueAt: at + dueMilliseconds,
      // Servers read and generate more slowly the more requests they run.
      runMilliseconds: averageRunMilliseconds * (0.7 + 0.6 * random.next()),
      doneMilliseconds: 0,
    });
  }
  const running = new Set<Item>();
  const waiting = new Set<Item>();
  let inTimeMilliseconds = 0;
  let capacityMilliseconds = 0;
  const urgencyOf = (item: Item) => ({
    dueAt: item.dueAt,
    remainingMilliseconds: Math.max(
      1,
      averageRunMilliseconds - item.doneMilliseconds,
    ),
  });
  const end = overloadSeconds * 1_000 + dueMilliseconds;
  for (let now = 0; now < end; now += tickMilliseconds) {
    for (const item of items) {
      const hasArrived = item.arrivesAt <= now &&
        item.arrivesAt > now - tickMilliseconds;
      if (hasArrived) waiting.add(item);
    }
    for (const item of running) {
      item.doneMilliseconds += tickMilliseconds;
      if (item.doneMilliseconds < item.runMilliseconds) continue;
      running.delete(item);
      if (now + resultDeliveryMilliseconds <= item.dueAt) {
        inTimeMilliseconds += item.runMilliseconds;
      }
    }
    const options = margin === undefined ? { now } : { now, margin };
    // A burst of online requests displaces a run now and then.
    if (now % 400 === 0 && running.size > 0) {
      const [leastUrgent] = [...running].sort((left, right) =>
        compareUrgency(urgencyOf(right), urgencyOf(left), options)
      );
      running.delete(leastUrgent!);
      waiting.add(leastUrgent!);
    }
    const ordered = [...waiting].sort((left, right) =>
      compareUrgency(urgencyOf(left), urgencyOf(right), options)
    );
    for (const item of ordered.slice(0, slots - running.size)) {
      waiting.delete(item);
      running.add(item);
    }
    // Until the last item that arrives can no longer be started in time.
    if (now < end - averageRunMilliseconds) {
      capacityMilliseconds += slots * tickMilliseconds;
    }
  }
  return inTimeMilliseconds / capacityMilliseconds;
}

for (const itemsPerSecond of [8, 20]) {
  test(`under ${itemsPerSecond} items a second, where 4 can be done, the capacity ends as items in time`, () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const share = playOverload({ seed, itemsPerSecond });
      assert.ok(share >= capacityTarget, `${share} in time, seed ${seed}`);
    }
  });
}

test("an item is put last once even a somewhat long run would be late", () => {
  const item = { dueAt: 10_000, remainingMilliseconds: 4_000 };
  const latestStart = 10_000 - resultDeliveryMilliseconds - 4_000;
  assert.equal(isLikelyLate(item, { now: latestStart, margin: 1 }), false);
  assert.equal(isLikelyLate(item, { now: latestStart, margin: 1.25 }), true);
});

test("items without an estimate count as in time until they are due", () => {
  const item = { dueAt: 10_000, remainingMilliseconds: 0 };
  assert.equal(isLikelyLate(item, { now: 9_999 }), false);
  assert.equal(isLikelyLate(item, { now: 10_001 }), true);
});
