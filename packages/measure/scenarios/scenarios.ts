/** The scenarios that the measurement tool can run. */

import type { Scenario } from "./scenario.ts";

const steadyShare = 0.35;
const burstShare = 0.9;
const betweenBurstsShare = 0.15;
const burstPeriodMilliseconds = 10_000;
const burstMilliseconds = 2_000;

const steady: Scenario = {
  name: "steady",
  description: "a steady mix of all workspaces",
  onlineShareAt: () => steadyShare,
  peakOnlineShare: steadyShare,
};

const bursts: Scenario = {
  name: "bursts",
  description: "online bursts of 2 s every 10 s",
  onlineShareAt: (milliseconds) => {
    const position = milliseconds % burstPeriodMilliseconds;
    const isBurst = position >= burstPeriodMilliseconds - burstMilliseconds;
    return isBurst ? burstShare : betweenBurstsShare;
  },
  peakOnlineShare: burstShare,
};

const overload: Scenario = {
  ...steady,
  name: "overload",
  description: "one workspace at five times its rate",
  firstWorkspaceFactor: 5 / steadyShare,
};

const slowEngine: Scenario = {
  ...steady,
  name: "slow-engine",
  description: "one engine at a third of its speed",
  fault: async ({ fleet, wait, durationMilliseconds }) => {
    await fleet.setFaults("engine-1", { slowFactor: 3 });
    await wait(durationMilliseconds);
    await fleet.setFaults("engine-1", { slowFactor: 1 });
  },
};

const hotPrefix: Scenario = {
  ...steady,
  name: "hot-prefix",
  description: "seven of ten requests share one prompt prefix",
  hotPrefixShare: 0.7,
};

const lostInstance: Scenario = {
  ...steady,
  name: "lost-instance",
  description: "an instance is killed and replaced",
  fault: async ({ fleet, wait, durationMilliseconds }) => {
    await wait(durationMilliseconds / 3);
    await fleet.kill("instance-2");
    await wait(durationMilliseconds / 3);
    await fleet.startInstance("instance-2");
  },
};

const logOutage: Scenario = {
  ...steady,
  name: "log-outage",
  description: "the log is down for 30 s, or two thirds of a shorter run",
  fault: async ({ fleet, wait, durationMilliseconds }) => {
    await wait(durationMilliseconds / 6);
    await fleet.setFaults("log", { outage: true });
    await wait(Math.min(30_000, durationMilliseconds * 2 / 3));
    await fleet.setFaults("log", { outage: false });
  },
};

export const scenarios: readonly Scenario[] = [
  steady,
  bursts,
  overload,
  slowEngine,
  hotPrefix,
  lostInstance,
  logOutage,
];
