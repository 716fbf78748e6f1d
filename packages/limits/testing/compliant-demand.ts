/** Generates demand within a workspace's rate and burst, of which no request should be refused. */

import type { InstanceId } from "../../common/ids.ts";
import { LimiterFleet } from "./limiter-fleet.ts";

export interface CompliantPattern {
  readonly name: string;
  readonly members: number;
  /** Requests per second. */
  readonly rate: number;
  readonly burst: number;
  /** Demand as a share of the rate, before requests that exceed the limits are left out. */
  readonly offeredShareOfRate: number;
  /** Requests that arrive at the same time. */
  readonly groupSize: number;
  /** Number of instances that receive requests; all by default. */
  readonly entryInstances?: number;
  readonly seconds: number;
  /** Wrongful refusals that a test accepts, as a share of the requests. */
  readonly acceptedRefusalShare: number;
  readonly latencyMilliseconds?: number;
  /** Called once a second. */
  readonly eachSecond?: (fleet: LimiterFleet, second: number) => void;
}

const base = {
  members: 10,
  rate: 50,
  burst: 20,
  offeredShareOfRate: 0.9,
  groupSize: 1,
  seconds: 20,
  acceptedRefusalShare: 0,
  latencyMilliseconds: 1.5,
};

/** Demand above the rate keeps a single bucket empty, so that every lost token causes a refusal. */
const saturated = {
  ...base,
  offeredShareOfRate: 1.2,
  acceptedRefusalShare: 0.006,
};

export const compliantPatterns: readonly CompliantPattern[] = [
  { name: "spread over all instances", ...base },
  { name: "at one instance", ...base, entryInstances: 1 },
  { name: "groups of 15", ...base, groupSize: 15 },
  { name: "burst 1", ...base, rate: 20, burst: 1 },
  { name: "one member, saturated", ...saturated, members: 1 },
  { name: "two members, saturated", ...saturated, members: 2, burst: 3 },
  { name: "saturated", ...saturated },
  { name: "burst 2, saturated", ...saturated, burst: 2 },
  {
    name: "slow, saturated",
    ...saturated,
    rate: 2,
    burst: 4,
    seconds: 300,
    acceptedRefusalShare: 0.015,
  },
  { name: "fast, saturated", ...saturated, rate: 400, burst: 100, seconds: 5 },
  { name: "burst 1, saturated", ...saturated, burst: 1 },
];

export async function runCompliantDemand(
  pattern: CompliantPattern,
  seed = 1,
): Promise<{ offered: number; refused: number; messages: number }> {
  const { rate, burst, members, entryInstances = members } = pattern;
  const fleet = new LimiterFleet({
    seed,
    members,
    ...(pattern.latencyMilliseconds === undefined
      ? {}
      : { latencyMilliseconds: pattern.latencyMilliseconds }),
  });
  await fleet.time.runUntil(3_000);
  fleet.setLimit(rate, burst);
  await fleet.time.runUntil(6_000);
  const messagesBefore = fleet.network.messageCount;
  let offered = 0;
  let level = burst;
  let refilledAt = 6_000;
  let second = 0;
  const end = 6_000 + pattern.seconds * 1_000;
  for (let at = 6_000; at < end;) {
    at += fleet.random.nextArrivalMilliseconds(
      rate * pattern.offeredShareOfRate / pattern.groupSize,
    );
    while (at > 6_000 + second * 1_000) {
      await fleet.time.runUntil(6_000 + second * 1_000);
      pattern.eachSecond?.(fleet, second);
      second += 1;
    }
    await fleet.time.runUntil(at);
    level = Math.min(burst, level + rate * (at - refilledAt) / 1_000);
    refilledAt = at;
    for (let index = 0; index < pattern.groupSize && level >= 1; index++) {
      level -= 1;
      offered += 1;
      const names: InstanceId[] = [...fleet.processes.keys()];
      void fleet.take(fleet.random.pick(names.slice(0, entryInstances))!);
    }
  }
  await fleet.time.runUntil(end + 1_000);
  const messages = fleet.network.messageCount - messagesBefore;
  return { offered, refused: fleet.refusals, messages };
}
