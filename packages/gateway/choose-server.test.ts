import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { SeededRandom } from "../common/random.ts";
import { chooseServer, type ServerCandidate } from "./choose-server.ts";

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

test("an avoided server is used only if all servers are avoided", () => {
  const both = [
    candidate("failed", { isAvoided: true }),
    candidate("busy", { online: 7 }),
  ];
  const choice = choose(both);
  assert.equal(choice.kind === "send" && choice.server, "busy");
  const only = choose([both[0]!]);
  assert.equal(only.kind === "send" && only.server, "failed");
});
