import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { PromptPartId } from "../common/ids.ts";
import { PlayedFleet, type PlayOptions } from "./testing/played-fleet.ts";

const settledMilliseconds = 3_000;
const lateSendsAllowed = 3;
const plays = 25;
const playSeed = 27;

async function play(options: PlayOptions): Promise<PlayedFleet> {
  const fleet = new PlayedFleet(options);
  await fleet.play();
  return fleet;
}

const unreliableReports = {
  lostShare: fc.double({ min: 0, max: 0.2, noNaN: true }),
  doubledShare: fc.double({ min: 0, max: 1, noNaN: true }),
};

test("requests with a poisoned part stop being sent, whatever their share", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        seed: fc.integer(),
        poisonedShare: fc.double({ min: 0.01, max: 0.3, noNaN: true }),
        poisonedParts: fc.integer({ min: 1, max: 2 }),
        instances: fc.integer({ min: 1, max: 12 }),
        ...unreliableReports,
      }),
      async (options) => {
        const fleet = await play(options);
        assert.ok(
          fleet.lateSends(settledMilliseconds) <= lateSendsAllowed,
          `${fleet.lateSends(settledMilliseconds)} late sends`,
        );
        assert.deepEqual(fleet.rejectedSound, []);
      },
    ),
    { numRuns: plays, seed: playSeed },
  );
});

test("crashes that no request causes convict no part", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        seed: fc.integer(),
        otherCrashesPerSecond: fc.double({ min: 0, max: 1.5, noNaN: true }),
        massCrashes: fc.array(
          fc.record({
            at: fc.integer({ min: 0, max: 12_000 }),
            share: fc.double({ min: 0.2, max: 1, noNaN: true }),
          }),
          { maxLength: 4 },
        ),
        ...unreliableReports,
      }),
      async (options) => {
        const fleet = await play(options);
        assert.equal(fleet.verdicts, 0);
        assert.deepEqual(fleet.rejectedSound, []);
      },
    ),
    { numRuns: plays, seed: playSeed },
  );
});

test("a poisoned part is found beside crashes of other causes, and no other part is", async () => {
  const fleet = await play({
    seed: 7,
    poisonedShare: 0.05,
    otherCrashesPerSecond: 0.3,
    massCrashes: [{ at: 3_000, share: 0.34 }, { at: 8_000, share: 0.34 }],
  });
  assert.ok(fleet.rejectedPoisoned.length > 0);
  assert.ok(fleet.lateSends(settledMilliseconds) <= lateSendsAllowed);
  assert.deepEqual(fleet.rejectedSound, []);
});

test("sound requests beside a poisoned part are answered in time", async () => {
  const fleet = await play({ seed: 3, poisonedShare: 0.05 });
  const settledAt = 6_000;
  const late = fleet.arrivedSound.filter(({ arrivedAt }) =>
    arrivedAt > settledAt && arrivedAt < 14_000
  );
  const answered = new Set(fleet.answeredSound);
  assert.ok(late.length > 200);
  assert.ok(late.every((request) => answered.has(request)));
});

test("an instance that starts later rejects by the stored verdicts, and an operator can lift one", async () => {
  const fleet = await play({ seed: 5, poisonedShare: 0.1 });
  const part = "poisoned0" as PromptPartId;
  const late = fleet.startLate();
  assert.equal(late.judge([part]).kind, "rejected");
  assert.equal(await fleet.instances[0]!.quarantine.lift(part), true);
  await fleet.time.runUntil(16_000);
  assert.equal(late.judge([part]).kind, "clear");
  assert.equal(await fleet.instances[0]!.quarantine.lift(part), false);
});

test("a verdict ends by a trial that one instance of the fleet runs, three times at most", async () => {
  const fleet = await play({ seed: 5, poisonedShare: 0.1 });
  const part = "poisoned0" as PromptPartId;
  // The first is due while requests still arrive.
  let trials = fleet.releaseTrials;
  for (let hour = 0; hour < 24 * 3; hour++) {
    await fleet.time.runUntil(15_000 + hour * 3_600_000);
    for (let round = 0; round < 3; round++) {
      for (const { quarantine } of fleet.instances) {
        if (quarantine.judge([part]).kind === "trial") trials += 1;
      }
      await fleet.time.runUntil(fleet.time.monotonicNow() + 100);
    }
  }
  assert.equal(trials, 3);
});

test("a trial whose answer begins releases the part everywhere", async () => {
  const fleet = await play({ seed: 5, poisonedShare: 0.1 });
  const part = "poisoned0" as PromptPartId;
  await fleet.time.runUntil(3_600_000);
  for (let round = 0; round < 2; round++) {
    for (const { quarantine } of fleet.instances) {
      if (quarantine.judge([part]).kind !== "trial") continue;
      quarantine.recordBegin([part], fleet.service, { isTrial: true });
    }
    await fleet.time.runUntil(fleet.time.monotonicNow() + 100);
  }
  for (const { quarantine } of fleet.instances) {
    assert.equal(quarantine.judge([part]).kind, "clear");
  }
});
