import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { ServerHealth } from "./server-health.ts";

const server = "s" as InstanceId;

test("one success does not clear the failure share of a server that fails some requests", () => {
  const health = new ServerHealth();
  let now = 0;
  for (let request = 0; request < 20; request++) {
    now += 200;
    if (request % 5 < 2) health.addFailure(server, now);
    else health.addSuccess(server, now);
  }
  assert.equal(health.isAvoided(server, now), false);
  assert.ok(health.failureShare(server, now) > 0.2);
});

test("the failure share of a server that has recovered is cleared after several successes", () => {
  const health = new ServerHealth();
  for (let failure = 0; failure < 5; failure++) health.addFailure(server, 0);
  assert.equal(health.isAvoided(server, 100), true);
  for (let success = 0; success < 12; success++) {
    health.addSuccess(server, 1_000 + success * 100);
  }
  assert.equal(health.failureShare(server, 2_200), 0);
});

test("a failing server is avoided longer with each failure, but not indefinitely", () => {
  const health = new ServerHealth();
  health.addFailure(server, 0);
  assert.equal(health.isAvoided(server, 499), true);
  assert.equal(health.isAvoided(server, 501), false);
  health.addFailure(server, 600);
  assert.equal(health.isAvoided(server, 1_500), true);
  assert.equal(health.isAvoided(server, 1_700), false);
  assert.ok(health.failureShare(server, 60_000) < 0.01);
});

// Answers the load of a server that fails everything at once and so has free slots, in a fleet of
// which no instance meets it more than once in a while.
test("failures that many dependents meet one by one are known to their coordinator in time", () => {
  const dependents = Array.from({ length: 10 }, () => new ServerHealth());
  const coordinator = new ServerHealth();
  for (const [index, dependent] of dependents.entries()) {
    const now = index * 200;
    dependent.addFailure(server, now);
    assert.deepEqual(dependent.reportedFailureShares(now), []);
    for (const { server: failed, count } of dependent.takeFailureCounts()) {
      coordinator.countFailures(failed, count, now);
    }
    assert.deepEqual(dependent.takeFailureCounts(), []);
  }
  const now = 2_000;
  assert.ok(coordinator.failureShare(server, now) > 0.7);
  assert.equal(coordinator.isAvoided(server, now), false);
  assert.equal(coordinator.reportedFailureShares(now).length, 1);
  for (let success = 0; success < 10; success++) {
    coordinator.addSuccess(server, now + success * 100);
  }
  assert.ok(coordinator.failureShare(server, now + 1_000) < 0.1);
});

test("a peer's report raises the failure share less than own failures do, and decays", () => {
  const reporter = new ServerHealth();
  const receiver = new ServerHealth();
  reporter.addFailure(server, 0);
  assert.deepEqual(reporter.reportedFailureShares(0), []);
  for (let failure = 0; failure < 3; failure++) reporter.addFailure(server, 0);
  const [fault] = reporter.reportedFailureShares(0);
  assert.ok(fault!.share > 0.5);
  receiver.recordPeerFailureShare(server, fault!.share, 0);
  assert.equal(receiver.isAvoided(server, 0), false);
  const receivedShare = receiver.failureShare(server, 0);
  assert.ok(receivedShare > 0.3 && receivedShare < fault!.share);
  assert.deepEqual(receiver.reportedFailureShares(0), []);
  assert.ok(receiver.failureShare(server, 30_000) < 0.01);
});

test("a server counts as crashed until it has answered, unlike one that fails", () => {
  const health = new ServerHealth();
  health.addFailure(server, 0);
  assert.equal(health.hasCrashed(server, 100), false);
  health.recordCrash(server, 100);
  assert.equal(health.hasCrashed(server, 200), true);
  assert.equal(health.isAvoided(server, 200), true);
  health.addSuccess(server, 200);
  assert.equal(health.hasCrashed(server, 200), false);
});
