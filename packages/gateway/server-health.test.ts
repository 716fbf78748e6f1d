import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { ServerHealth } from "./server-health.ts";

const server = "s" as InstanceId;

test("a server that fails some requests is not trusted again after one success", () => {
  const health = new ServerHealth();
  let now = 0;
  for (let request = 0; request < 20; request++) {
    now += 200;
    if (request % 5 < 2) health.noteFailure(server, now);
    else health.noteSuccess(server, now);
  }
  assert.equal(health.isAvoided(server, now), false);
  assert.ok(health.failureShare(server, now) > 0.2);
});

test("a server that works again is trusted after some successes", () => {
  const health = new ServerHealth();
  for (let failure = 0; failure < 5; failure++) health.noteFailure(server, 0);
  assert.equal(health.isAvoided(server, 100), true);
  for (let success = 0; success < 12; success++) {
    health.noteSuccess(server, 1_000 + success * 100);
  }
  assert.equal(health.failureShare(server, 2_200), 0);
});

test("a failing server is avoided longer with each failure, and tried again in the end", () => {
  const health = new ServerHealth();
  health.noteFailure(server, 0);
  assert.equal(health.isAvoided(server, 499), true);
  assert.equal(health.isAvoided(server, 501), false);
  health.noteFailure(server, 600);
  assert.equal(health.isAvoided(server, 1_500), true);
  assert.equal(health.isAvoided(server, 1_700), false);
  assert.ok(health.failureShare(server, 60_000) < 0.01);
});

test("a peer's word lowers the trust in a server, less than own failures, and fades", () => {
  const failing = new ServerHealth();
  const hearing = new ServerHealth();
  failing.noteFailure(server, 0);
  assert.deepEqual(failing.reportedFailureShares(0), []);
  for (let failure = 0; failure < 3; failure++) failing.noteFailure(server, 0);
  const [fault] = failing.reportedFailureShares(0);
  assert.ok(fault!.share > 0.5);
  hearing.notePeerFailureShare(server, fault!.share, 0);
  assert.equal(hearing.isAvoided(server, 0), false);
  const heard = hearing.failureShare(server, 0);
  assert.ok(heard > 0.3 && heard < fault!.share);
  assert.deepEqual(hearing.reportedFailureShares(0), []);
  assert.ok(hearing.failureShare(server, 30_000) < 0.01);
});
