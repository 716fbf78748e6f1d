import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { SeededRandom } from "../common/random.ts";
import type { SendBudget } from "../fleet/limits/server-limits.ts";
import {
  chooseServer,
  chooseServerForTrial,
  type ServerCandidate,
} from "./choose-server.ts";
import { ServerHealth } from "./server-health.ts";

const options = {
  durationMilliseconds: 800,
  acceptableWaitMilliseconds: 200,
  random: () => 0,
};

/** The choice, with the server's id in place of the whole candidate. */
function choose(candidates: ServerCandidate[]) {
  const choice = chooseServer(candidates, options);
  return choice.kind === "send"
    ? { ...choice, server: choice.server.id as string }
    : choice;
}

function candidate(
  id: string,
  values: Partial<ServerCandidate> = {},
): ServerCandidate {
  return {
    id: id as InstanceId,
    slots: 8,
    online: 0,
    batch: 0,
    isSameZone: true,
    isAvoided: false,
    failureShare: 0,
    ...values,
  };
}

/** Counts how often each server is chosen by 1000 requests that see the same loads. */
function countChoices(candidates: ServerCandidate[]): Map<string, number> {
  const generator = new SeededRandom(1);
  const random = () => generator.next();
  const counts = new Map<string, number>();
  for (let request = 0; request < 1_000; request++) {
    const choice = chooseServer(candidates, { ...options, random });
    assert.ok(choice.kind === "send");
    const { id, slots, online, batch } = choice.server;
    assert.equal(choice.displacesBatch, online + batch >= slots);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

test("emptier servers and those of the same zone are chosen more often, full ones never", () => {
  const counts = countChoices([
    candidate("far", { isSameZone: false, online: 2 }),
    candidate("near", { online: 2 }),
    candidate("busy", { online: 5 }),
    candidate("full", { online: 8 }),
  ]);
  assert.ok(counts.get("near")! > 1.3 * counts.get("far")!);
  assert.ok(counts.get("far")! > 2 * counts.get("busy")!);
  assert.equal(counts.get("full"), undefined);
});

test("instances with the same view of the loads do not all choose the emptiest server", () => {
  const loads = [3, 4, 4, 5, 5, 5, 6, 6];
  const counts = countChoices(
    loads.map((online, index) => candidate(`server-${index}`, { online })),
  );
  // Of ten simultaneous requests, no more may go to it than its five free slots can take.
  assert.ok(counts.get("server-0")! < 400);
});

test("a server that fails part of its requests is chosen less often, unless all servers do", () => {
  const grey = { failureShare: 0.4 };
  const some = countChoices([candidate("grey", grey), candidate("sound")]);
  assert.ok(some.get("grey")! < 200 && some.get("grey")! > 50);
  const all = countChoices([candidate("one", grey), candidate("two", grey)]);
  assert.ok(all.get("one")! > 400 && all.get("two")! > 400);
});

test("the only server without batch runs does not get all requests", () => {
  const loads = [{ online: 5 }, ...Array(5).fill({ online: 4, batch: 4 })];
  const counts = countChoices(
    loads.map((load, index) => candidate(`server-${index}`, load)),
  );
  assert.ok(counts.get("server-0")! < 500);
  assert.ok(counts.get("server-0")! > 1.5 * counts.get("server-1")!);
});

test("batch runs are displaced before an online request has to wait", () => {
  const choice = choose([
    candidate("online", { online: 8 }),
    candidate("mixed", { online: 3, batch: 5 }),
  ]);
  assert.deepEqual(choice, {
    kind: "send",
    server: "mixed",
    displacesBatch: true,
  });
});

test("a request is not refused while a server has a free slot", () => {
  const choice = choose([
    candidate("a", { online: 20 }),
    candidate("b", { online: 7 }),
  ]);
  assert.equal(choice.kind, "send");
});

test("a short wait is accepted, a long one is refused with the expected wait", () => {
  const short = choose([candidate("a", { online: 9 })]);
  assert.equal(short.kind, "send");
  const long = choose([candidate("a", { online: 12 })]);
  assert.deepEqual(long, { kind: "full", expectedWaitMilliseconds: 500 });
});

test("an avoided server is not used while another one takes the request", () => {
  const both = [
    candidate("failed", { isAvoided: true }),
    candidate("busy", { online: 7 }),
  ];
  const choice = choose(both);
  assert.equal(choice.kind === "send" && choice.server, "busy");
  const only = choose([both[0]!]);
  assert.equal(only.kind === "send" && only.server, "failed");
});

function budget(allowance: number, level = allowance): SendBudget {
  return {
    limitPerSecond: 4,
    ageMilliseconds: 0,
    allowance,
    level,
    burst: 6,
    waitMilliseconds: Math.max(0, 1 - level) * 250,
  };
}

test("a server at its limit is not chosen, whatever its free slots", () => {
  const counts = countChoices([
    candidate("at limit", { sendBudget: budget(0, 4) }),
    candidate("few tokens", { sendBudget: budget(1) }),
    candidate("without limit", { online: 6 }),
  ]);
  assert.equal(counts.get("at limit"), undefined);
  // The room of a server is the smaller of its free slots and its tokens.
  assert.ok(counts.get("without limit")! > 2 * counts.get("few tokens")!);
});

test("no batch run is displaced at a server with a limit while another has room", () => {
  const counts = countChoices([
    candidate("limited", { batch: 8, sendBudget: budget(3) }),
    candidate("unlimited", { online: 7 }),
  ]);
  assert.deepEqual([...counts.keys()], ["unlimited"]);
});

test("an online request does not wait on batch runs, also where all servers have limits", () => {
  assert.deepEqual(
    choose([candidate("limited", { batch: 8, sendBudget: budget(1) })]),
    { kind: "send", server: "limited", displacesBatch: true },
  );
});

test("where all servers are at their limits, the one that has a token first is given", () => {
  const choice = choose([
    candidate("later", { sendBudget: budget(0, -1) }),
    candidate("first", { sendBudget: budget(0, 0.5) }),
    candidate("full", { online: 20 }),
  ]);
  assert.ok(choice.kind === "at_limits");
  assert.equal(choice.server, "first");
  assert.equal(choice.budget.waitMilliseconds, 125);
});

test("a request is not refused while a server that failed once has room", () => {
  const failed = candidate("failed", { isAvoided: true, failureShare: 0.25 });
  const expected = { kind: "send", server: "failed", displacesBatch: false };
  const atLimit = candidate("at limit", { sendBudget: budget(0) });
  assert.deepEqual(choose([atLimit, failed]), expected);
  const full = candidate("full", { online: 12 });
  assert.deepEqual(choose([full, failed]), expected);
  assert.deepEqual(choose([atLimit, full, failed]), expected);
});

test("an avoided server that is full, at its limit or down does not get the request", () => {
  const full = candidate("full", { online: 12 });
  const failed = { isAvoided: true, failureShare: 0.25 };
  const choice = choose([
    full,
    candidate("failed at limit", { ...failed, sendBudget: budget(0) }),
    candidate("failed and full", { ...failed, online: 13 }),
    candidate("crashed", { isAvoided: true, hasCrashed: true }),
  ]);
  assert.deepEqual(choice, { kind: "full", expectedWaitMilliseconds: 500 });
});

test("a server that fails all requests does not get those for which others have no room", () => {
  const health = new ServerHealth();
  const failing = "failing" as InstanceId;
  let sent = 0;
  for (let now = 0; now < 10_000; now += 50) {
    const choice = choose([
      candidate("at limit", { sendBudget: budget(0) }),
      candidate(failing, {
        isAvoided: health.isAvoided(failing, now),
        failureShare: health.failureShare(failing, now),
      }),
    ]);
    if (choice.kind !== "send") continue;
    sent += 1;
    health.addFailure(failing, now);
  }
  // The first three, then less than one per second, besides those after each avoidance period.
  assert.ok(sent <= 3 + 10 + 5, `${sent} of 200 requests sent`);
});

test("a trial that trusted servers cannot take goes to the avoided one with fewest requests", () => {
  const failed = { isAvoided: true, failureShare: 0.25 };
  const choice = chooseServerForTrial([
    candidate("at limit", { sendBudget: budget(0) }),
    candidate("busy", { ...failed, online: 2 }),
    candidate("idle", { ...failed, online: 1 }),
    candidate("failing", { ...failed, failureShare: 0.6 }),
  ], options);
  assert.equal(choice.kind === "send" && choice.server.id, "idle");
});

test("a trial is not sent to a server at its limit", () => {
  const choice = chooseServerForTrial([
    candidate("idle", { sendBudget: budget(0) }),
    candidate("busy", { online: 5 }),
  ], options);
  assert.equal(choice.kind === "send" && choice.server.id, "busy");
});
