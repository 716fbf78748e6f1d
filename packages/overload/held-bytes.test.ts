import assert from "node:assert/strict";
import { test } from "node:test";
import type { ClientId } from "../common/ids.ts";
import { type EvictionReason, HeldBytes, type Holding } from "./held-bytes.ts";

const limitBytes = 8_000_000;
/** What larger holdings may use. */
const largeLimitBytes = 7_000_000;
const alice = "alice" as ClientId;
const bob = "bob" as ClientId;

function createBudget() {
  const clock = { now: 0 };
  const evictions: string[] = [];
  const state = { isMemoryTight: false, exhausted: 0 };
  const budget = new HeldBytes({
    limitBytes,
    now: () => clock.now,
    isMemoryTight: () => state.isMemoryTight,
    onExhausted: () => state.exhausted += 1,
  });
  const open = (name: string, client: ClientId, bytes: number): Holding => {
    const holding = budget.open({ kind: "request_body", client });
    holding.track({
      idleMilliseconds: 15_000,
      evict: (reason: EvictionReason) => evictions.push(`${name} ${reason}`),
    });
    holding.resize(bytes);
    return holding;
  };
  /** Moves the time on by whole sweeps, while the given holdings make progress. */
  const pass = (milliseconds: number, ...moving: Holding[]) => {
    for (let passed = 0; passed < milliseconds; passed += 250) {
      clock.now += 250;
      for (const holding of moving) holding.recordProgress(1_000);
      budget.sweep();
    }
  };
  return { budget, open, pass, evictions, state };
}

test("a holding that is disposed of twice releases its bytes once", () => {
  const { budget, open } = createBudget();
  open("kept", alice, 1_000);
  const holding = open("released", alice, 500);
  holding.dispose();
  holding.dispose();
  holding.resize(700);
  assert.equal(budget.state.heldBytes, 1_000);
});

test("large holdings leave a share of the budget to small ones, one of each kind goes on", () => {
  const { open, state } = createBudget();
  const first = open("first", alice, largeLimitBytes);
  const second = open("second", alice, 1);
  assert.equal(second.tryGrow(1_000), true, "a small holding");
  assert.equal(first.tryGrow(100_000), true, "the first that needs more");
  const third = open("third", alice, 100_000);
  assert.equal(third.tryGrow(100_000), false);
  assert.equal(state.exhausted, 1);
  first.dispose();
  assert.equal(third.tryGrow(100_000), true);
});

test("bytes that have to be kept are never refused, and leave a quarter of the budget to others", () => {
  const { budget, open } = createBudget();
  const results = budget.open({ kind: "job_results", client: alice });
  results.grow(10 * limitBytes);
  const { keptBytes, bufferBytes } = budget.state;
  assert.deepEqual([keptBytes, bufferBytes], [10 * limitBytes, 0]);
  open("first", bob, limitBytes / 4 - 1_000);
  assert.equal(open("second", bob, 0).tryGrow(1_000), true);
  assert.equal(open("leader", bob, 0).tryGrow(1_000), true, "one of its kind");
  assert.equal(open("third", bob, 0).tryGrow(1_000), false);
  results.dispose();
  assert.equal(budget.state.keptBytes, 0);
  assert.equal(open("fourth", bob, 0).tryGrow(1_000), true);
});

test("while memory is tight only small holdings and one large one grow", () => {
  const { open, state } = createBudget();
  state.isMemoryTight = true;
  assert.equal(open("small", alice, 0).tryGrow(1_000), true);
  assert.equal(open("leader", alice, 0).tryGrow(1_000_000), true);
  assert.equal(open("next", alice, 0).tryGrow(1_000_000), false);
});

test("a waiting holding goes on when one without progress is evicted", () => {
  const { open, pass, evictions } = createBudget();
  const stalled = open("stalled", alice, 5_000_000);
  const moving = open("moving", alice, 2_000_000);
  moving.tryGrow(500_000);
  const waiting = open("waiting", alice, 100_000);
  let grants = 0;
  assert.equal(waiting.tryGrow(500_000), false);
  waiting.waitFor(500_000, () => grants += 1);
  pass(750, moving);
  assert.deepEqual(evictions, []);
  pass(500, moving);
  assert.deepEqual(evictions, ["stalled no_room"]);
  assert.equal(grants, 1);
  assert.equal(waiting.bytes, 600_000);
  assert.equal(stalled.bytes, 0);
});

test("a holding that waits too long in total is evicted", () => {
  const { open, pass, evictions } = createBudget();
  const leader = open("leader", alice, largeLimitBytes);
  leader.tryGrow(500_000);
  open("waiting", alice, 100_000).waitFor(500_000, () => {});
  pass(5_000, leader);
  assert.deepEqual(evictions, []);
  pass(250, leader);
  assert.deepEqual(evictions, ["waiting no_room"]);
});

test("without pressure a holding is evicted only after its longest pause", () => {
  const { open, pass, evictions } = createBudget();
  open("paused", alice, 1_000_000);
  pass(15_000);
  assert.deepEqual(evictions, []);
  pass(250);
  assert.deepEqual(evictions, ["paused stalled"]);
});

test("a client that holds most of the budget gives up its slowest holding to another", () => {
  const { open, pass, evictions } = createBudget();
  const fast = open("fast", alice, 3_000_000);
  const slow = open("slow", alice, 4_000_000);
  for (let sweep = 0; sweep < 4; sweep++) {
    fast.recordProgress(100_000);
    pass(250, slow);
  }
  assert.equal(open("other", bob, 0).tryGrow(1_000_000), true);
  assert.deepEqual(evictions, ["slow no_room"]);
});
