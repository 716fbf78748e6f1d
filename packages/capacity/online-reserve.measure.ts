/**
 * Measures sizes of the online reserve under several loads. Prints the batch utilization and the
 * p99 time to first token of online requests, with and without batch work.
 */

import {
  type EngineScenario,
  runEngineScenario,
} from "./testing/engine-scenario.ts";

const base: EngineScenario = {
  name: "steady",
  seed: 1,
  engines: 8,
  concurrency: 8,
  groupsPerSecond: 8,
  groupSize: 1,
  onlineMilliseconds: 1_500,
  firstTokenMilliseconds: 150,
  batchMilliseconds: 800,
  seconds: 60,
  hasBatch: true,
};
const scenarios: EngineScenario[] = [
  base,
  { ...base, name: "busy", groupsPerSecond: 20 },
  { ...base, name: "groups of 20", groupsPerSecond: 0.7, groupSize: 20 },
  { ...base, name: "quiet", groupsPerSecond: 0.5 },
  { ...base, name: "fast first token", firstTokenMilliseconds: 50 },
  { ...base, name: "wide", concurrency: 32, groupsPerSecond: 60 },
];
const reserves = [undefined, 0, 2];
for (const scenario of scenarios) {
  const baseline = await runEngineScenario({
    ...scenario,
    hasBatch: false,
  });
  for (const onlineReserve of reserves) {
    const result = await runEngineScenario({
      ...scenario,
      ...(onlineReserve === undefined ? {} : { onlineReserve }),
    });
    console.log(
      `${scenario.name}, reserve ${onlineReserve ?? "default"}: ` +
        `batch utilization ${
          result.batchUtilization.toFixed(3)
        }, p99 first token ` +
        `${result.firstTokenP99.toFixed(1)} ms, without batch ` +
        `${baseline.firstTokenP99.toFixed(1)} ms, ${result.revoked} revoked`,
    );
  }
}
