/**
 * Random schedules of requests and faults, for the test that compares the limiter's admissions
 * with those of a single bucket. Steps refer to instances by number (`at`).
 */

import fc from "fast-check";
import { LimiterFleet } from "./limiter-fleet.ts";

export type Step =
  | { readonly kind: "take"; readonly count: number; readonly at: number }
  | { readonly kind: "spread"; readonly count: number }
  | {
    readonly kind:
      | "crash"
      | "evict"
      | "leave"
      | "join"
      | "rejoin"
      | "pause"
      | "resume";
    readonly at: number;
  }
  | {
    /** Pauses a process with requests in flight while its membership changes. */
    readonly kind: "interrupt";
    readonly at: number;
    readonly count: number;
    readonly change: "none" | "leave" | "evict" | "join";
    readonly milliseconds: number;
  }
  | {
    /** Sends requests shortly before and after the record of a change comes into force. */
    readonly kind: "edge";
    readonly at: number;
    readonly count: number;
    readonly change: "leave" | "evict" | "join";
  }
  | { readonly kind: "limit"; readonly rate: number; readonly burst: number }
  | {
    readonly kind: "wait";
    readonly milliseconds: number;
    /** Requests at random instances during the wait. */
    readonly requests: number;
  };

const instanceArbitrary = fc.nat({ max: 9 });

export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("take" as const),
      count: fc.integer({ min: 1, max: 30 }),
      at: instanceArbitrary,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("spread" as const),
      count: fc.integer({ min: 1, max: 60 }),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "crash" as const,
        "evict" as const,
        "leave" as const,
        "join" as const,
        "join" as const,
        "join" as const,
        "rejoin" as const,
        "pause" as const,
        "resume" as const,
        "resume" as const,
      ),
      at: instanceArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("interrupt" as const),
      at: instanceArbitrary,
      count: fc.integer({ min: 1, max: 20 }),
      change: fc.constantFrom("none", "leave", "evict", "join"),
      milliseconds: fc.constantFrom(240, 260, 1_900, 2_300, 2_600),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("edge" as const),
      at: instanceArbitrary,
      count: fc.integer({ min: 1, max: 40 }),
      change: fc.constantFrom("leave", "evict", "join"),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("limit" as const),
      rate: fc.constantFrom(0.5, 2, 10, 60),
      burst: fc.constantFrom(1, 1.5, 3, 7, 20),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      milliseconds: fc.oneof(
        fc.integer({ min: 1, max: 40 }),
        fc.integer({ min: 40, max: 600 }),
        fc.integer({ min: 1_500, max: 3_000 }),
        fc.integer({ min: 1_990, max: 2_300 }),
      ),
      requests: fc.constantFrom(0, 10, 60),
    }),
  },
);

function changeMembers(
  fleet: LimiterFleet,
  at: number,
  change: "none" | "leave" | "evict" | "join",
): void {
  const instance = fleet.name(at);
  if (change === "leave") fleet.leave(instance);
  else if (change === "evict") fleet.publishMember(instance, undefined);
  else if (change === "join") {
    fleet.join(
      instance,
      fleet.random.pick(["before", "after", "replay"] as const)!,
    );
  }
}

async function runStep(fleet: LimiterFleet, step: Step): Promise<void> {
  const wait = (milliseconds: number) =>
    fleet.time.runUntil(fleet.time.monotonicNow() + milliseconds);
  const spread = (count: number) => {
    for (let index = 0; index < count; index++) void fleet.takeAnywhere();
  };
  const takeAt = (at: number, count: number) => {
    for (let index = 0; index < count; index++) void fleet.take(fleet.name(at));
  };
  const processAt = (at: number) =>
    fleet.processes.get(fleet.name(at))?.process;
  switch (step.kind) {
    case "wait":
      for (let index = 0; index < step.requests; index++) {
        await wait(step.milliseconds / step.requests);
        spread(1);
      }
      return step.requests === 0 ? wait(step.milliseconds) : undefined;
    case "limit":
      return fleet.setLimit(step.rate, step.burst);
    case "spread":
      return spread(step.count);
    case "take":
      return takeAt(step.at, step.count);
    case "interrupt": {
      takeAt(step.at, step.count);
      await wait(2);
      const process = processAt(step.at);
      process?.pause();
      changeMembers(
        fleet,
        step.change === "join" ? 9 - step.at : step.at,
        step.change,
      );
      await wait(step.milliseconds / 2);
      spread(step.count);
      await wait(step.milliseconds / 2);
      process?.resume();
      return takeAt(step.at, step.count);
    }
    case "edge":
      changeMembers(fleet, step.at, step.change);
      await wait(1_995);
      spread(step.count);
      await wait(10);
      spread(step.count);
      await wait(300);
      return spread(step.count);
    case "crash":
      return fleet.crash(fleet.name(step.at));
    case "rejoin":
      return fleet.rejoin(fleet.name(step.at));
    case "pause":
      return processAt(step.at)?.pause();
    case "resume":
      return processAt(step.at)?.resume();
    default:
      return changeMembers(fleet, step.at, step.kind);
  }
}

export interface Schedule {
  readonly seed: number;
  readonly members: number;
  readonly rate: number;
  readonly burst: number;
  readonly lossProbability: number;
  readonly slowProbability: number;
  readonly controlDelayMilliseconds: number;
  readonly slowControlProbability: number;
  readonly steps: readonly Step[];
}

export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(),
  members: fc.integer({ min: 1, max: 10 }),
  // At the lowest rate hardly any token is generated, so that each excess admission is detected.
  rate: fc.constantFrom(0.01, 0.01, 1, 5, 40),
  burst: fc.constantFrom(1, 2, 5, 16, 40),
  lossProbability: fc.constantFrom(0, 0, 0.1),
  slowProbability: fc.constantFrom(0, 0, 0.2),
  controlDelayMilliseconds: fc.constantFrom(10, 500, 2_000, 2_300, 3_000),
  slowControlProbability: fc.constantFrom(0.2, 0.5, 1),
  steps: fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }),
});

export async function runSchedule(schedule: Schedule): Promise<LimiterFleet> {
  const fleet = new LimiterFleet(schedule);
  await fleet.time.runUntil(100);
  fleet.setLimit(schedule.rate, schedule.burst);
  for (const step of schedule.steps) await runStep(fleet, step);
  await fleet.time.runUntil(fleet.time.monotonicNow() + 1_000);
  return fleet;
}
