import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { chooseServer, type ServerCandidate } from "./choose-server.ts";

const options = {
  durationMilliseconds: 800,
  acceptableWaitMilliseconds: 200,
  random: () => 0,
};

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
    ...values,
  };
}

test("the least loaded server is taken, of the same zone at equal load", () => {
  const choice = chooseServer([
    candidate("far", { isSameZone: false, online: 2 }),
    candidate("near", { online: 2 }),
    candidate("full", { online: 8 }),
  ], options);
  assert.deepEqual(choice, {
    kind: "send",
    server: "near",
    displacesBatch: false,
  });
});

test("batch runs make room before an online request waits", () => {
  const choice = chooseServer([
    candidate("online", { online: 8 }),
    candidate("mixed", { online: 3, batch: 5 }),
  ], options);
  assert.deepEqual(choice, {
    kind: "send",
    server: "mixed",
    displacesBatch: true,
  });
});

test("a request is not refused while a server has room", () => {
  const choice = chooseServer([
    candidate("a", { online: 20 }),
    candidate("b", { online: 7 }),
  ], options);
  assert.equal(choice.kind, "send");
});

test("a short wait is accepted, a long one refused with the time that it would take", () => {
  const short = chooseServer([candidate("a", { online: 9 })], options);
  assert.equal(short.kind, "send");
  const long = chooseServer([candidate("a", { online: 12 })], options);
  assert.deepEqual(long, { kind: "full", expectedWaitMilliseconds: 500 });
});

test("a server that failed lately is used only if all others did too", () => {
  const both = [
    candidate("failed", { isAvoided: true }),
    candidate("busy", { online: 7 }),
  ];
  const choice = chooseServer(both, options);
  assert.equal(choice.kind === "send" && choice.server, "busy");
  const only = chooseServer([both[0]!], options);
  assert.equal(only.kind === "send" && only.server, "failed");
});
