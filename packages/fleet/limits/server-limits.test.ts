import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import type { InstanceId } from "../../common/ids.ts";
import { mostInWindow } from "../../common/testing/send-windows.ts";
import { ServerLimits } from "./server-limits.ts";
import { type LimitPlay, playLimit } from "./testing/played-limit.ts";

const server = { id: "s" as InstanceId, startedAtMilliseconds: 1 };
const restarted = { ...server, startedAtMilliseconds: 2 };
const alone = { members: 1, heard: 1 };

function statedAt(time: number, sentAt = time - 50) {
  return { sentAt, statedAt: time };
}

/** Sends as often as the limit allows, with a refresh every 50 ms, and returns the times. */
function sendAll(
  limits: ServerLimits,
  { from, to, view = alone }: {
    from: number;
    to: number;
    view?: { members: number; heard: number };
  },
): number[] {
  const sends: number[] = [];
  for (let now = from; now <= to; now += 50) {
    limits.refresh(now, view);
    while ((limits.budgetOf(server, now)?.allowance ?? 0) >= 1) {
      limits.take(server, now);
      sends.push(now);
    }
  }
  return sends;
}

test("a bucket begins empty when a limit is first stated", () => {
  const limits = new ServerLimits();
  limits.record(server, 10, statedAt(1_000));
  limits.refresh(1_000, alone);
  assert.equal(limits.budgetOf(server, 1_000)?.allowance, 0);
  assert.equal(sendAll(limits, { from: 1_000, to: 2_000 }).length, 10);
});

test("an answer whose request was sent before the newest statement does not end a limit", () => {
  const limits = new ServerLimits();
  limits.record(server, 10, statedAt(1_000));
  assert.equal(limits.record(server, null, statedAt(1_020, 990)), undefined);
  assert.equal(limits.budgetOf(server, 1_020)?.limitPerSecond, 10);
  assert.equal(
    limits.record(server, null, statedAt(1_100, 1_010))?.previous,
    10,
  );
  assert.equal(limits.budgetOf(server, 1_100), undefined);
});

test("a lower limit is taken at once, a higher one only from a later statement", () => {
  const limits = new ServerLimits();
  limits.record(server, 10, statedAt(1_000));
  limits.record(server, 5, statedAt(1_010, 900));
  assert.equal(limits.budgetOf(server, 1_010)?.limitPerSecond, 5);
  limits.record(server, 8, statedAt(1_020, 900));
  assert.equal(limits.budgetOf(server, 1_020)?.limitPerSecond, 5);
  limits.record(server, 8, statedAt(1_100, 1_030));
  assert.equal(limits.budgetOf(server, 1_100)?.limitPerSecond, 8);
});

test("a server that has started again has no limit until it states one", () => {
  const limits = new ServerLimits();
  limits.record(server, 1, statedAt(1_000));
  assert.equal(limits.budgetOf(restarted, 1_010), undefined);
  limits.startLifetime(restarted);
  assert.equal(limits.inForce, 0);
  limits.record(restarted, 7, statedAt(1_020));
  assert.equal(limits.budgetOf(restarted, 1_040)?.limitPerSecond, 7);
  assert.equal(limits.budgetOf(server, 1_040), undefined);
});

test("a server that states the limit 0 is still asked now and then", () => {
  const limits = new ServerLimits();
  limits.record(server, 0, statedAt(0));
  const sends = sendAll(limits, { from: 0, to: 60_000 });
  assert.ok(sends.length >= 10 && sends.length <= 13, `${sends.length} sends`);
});

test("a request that was not sent after all leaves its token to the next one", () => {
  const limits = new ServerLimits();
  limits.record(server, 1, statedAt(0));
  limits.refresh(0, alone);
  limits.refresh(1_000, alone);
  limits.take(server, 1_000);
  assert.equal(limits.budgetOf(server, 1_000)?.allowance, 0);
  limits.giveBack(server.id);
  assert.equal(limits.budgetOf(server, 1_000)?.allowance, 1);
});

test("an instance that hears no other spends its even part of a limit", () => {
  const limits = new ServerLimits();
  limits.record(server, 10, statedAt(0));
  const view = { members: 10, heard: 1 };
  const sends = sendAll(limits, { from: 0, to: 10_000, view });
  assert.ok(sends.length >= 8 && sends.length <= 10, `${sends.length} sends`);
});

test("an instance that has not decided for a while does not spend what others may have", () => {
  const limits = new ServerLimits();
  limits.record(server, 4, statedAt(0));
  limits.refresh(0, alone);
  assert.deepEqual(sendAll(limits, { from: 60_000, to: 60_200 }), []);
});

test("a limit that a peer relays does not replace what the server itself has stated since", () => {
  const limits = new ServerLimits();
  const known = {
    server: server.id,
    serverStartedAt: 1,
    limitPerSecond: 3,
    ageMilliseconds: 10,
    isRelayed: true,
  };
  limits.recordKnown(known, 1_000, { isDependent: false });
  assert.equal(limits.budgetOf(server, 1_000)?.limitPerSecond, 3);
  limits.record(server, 6, statedAt(1_200, 1_100));
  limits.recordKnown(known, 1_300, { isDependent: false });
  assert.equal(limits.budgetOf(server, 1_300)?.limitPerSecond, 6);
});

/** The rule for servers that state a limit: sends in any window of four seconds. */
const windowMilliseconds = 4_000;
const bindingMilliseconds = 3_000;
const allowedInWindow = (limit: number) => 1.5 * limit * 4 + 5;

function mostSends(sends: readonly number[]): number {
  const binding = sends.filter((time) => time >= bindingMilliseconds);
  return mostInWindow(binding, windowMilliseconds);
}

const plays: fc.Arbitrary<LimitPlay> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  coordinators: fc.integer({ min: 1, max: 16 }),
  limitPerSecond: fc.constantFrom(0, 0.05, 0.3, 1, 2, 4, 10, 40),
  demandRatio: fc.constantFrom(0.5, 1, 3, 10),
  lostShare: fc.constantFrom(0, 0.05, 0.2),
  doubledShare: fc.constantFrom(0, 0.2),
  maximumDelayMilliseconds: fc.constantFrom(5, 20, 80),
  restartsPerSecond: fc.constantFrom(0, 0, 0.1),
  seconds: fc.constant(14),
});

const numRuns = Number(process.env["LIMIT_PLAYS"] ?? 60);
const seed = process.env["LIMIT_SEED"] === undefined
  ? 30
  : Number(process.env["LIMIT_SEED"]);

test("coordinators that share a limit keep it with late, doubled and lost reports and restarts", () => {
  fc.assert(
    fc.property(plays, (play) => {
      const most = mostSends(playLimit(play));
      assert.ok(
        most <= allowedInWindow(play.limitPerSecond),
        `${most} sends in a window, ${
          allowedInWindow(play.limitPerSecond)
        } allowed`,
      );
    }),
    { numRuns, seed },
  );
});

test("coordinators that share a limit use most of it when more is demanded", () => {
  for (const coordinators of [1, 4, 8, 16]) {
    const sends = playLimit({
      seed: 1,
      coordinators,
      limitPerSecond: 4,
      demandRatio: 4,
      lostShare: 0,
      doubledShare: 0,
      maximumDelayMilliseconds: 20,
      restartsPerSecond: 0,
      seconds: 30,
    });
    const perSecond = sends.filter((time) => time >= 5_000).length / 25;
    assert.ok(
      perSecond >= 0.9 * 4 && perSecond <= 1.1 * 4,
      `${perSecond} per second with ${coordinators} coordinators`,
    );
  }
});
