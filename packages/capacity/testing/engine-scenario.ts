/**
 * Simulates online and batch load on engines in virtual time. The result tells how much of the
 * free capacity batch work uses and how long online requests wait for their first token.
 */

import {
  brandAs,
  type UpstreamName,
  type WorkspaceId,
} from "../../common/ids.ts";
import type { BatchGrant } from "../capacity.ts";
import { CapacityFleet, engineName, model } from "./capacity-fleet.ts";

export interface EngineScenario {
  readonly name: string;
  readonly seed: number;
  readonly engines: number;
  readonly concurrency: number;
  /** Groups of online requests that start per second over all engines. */
  readonly groupsPerSecond: number;
  /** Online requests that start together in a group. */
  readonly groupSize: number;
  /** Mean duration of an online request. */
  readonly onlineMilliseconds: number;
  /** Mean time to first token of an online request that does not wait for a slot. */
  readonly firstTokenMilliseconds: number;
  /** Mean duration of a batch call. */
  readonly batchMilliseconds: number;
  /** Virtual duration after the warm-up. */
  readonly seconds: number;
  /** Whether there is endless batch demand. */
  readonly hasBatch: boolean;
  readonly onlineReserve?: number;
  /** Workspaces with batch demand and their batch weights; one workspace by default. */
  readonly weights?: Record<string, number>;
}

export interface EngineResult {
  /** Time of completed batch calls as a share of the slot time that online requests left free. */
  readonly batchUtilization: number;
  /** Milliseconds. */
  readonly firstTokenP99: number;
  /** Number of revoked grants, including those of the warm-up. */
  readonly revoked: number;
  /** Completed batch items of each workspace. */
  readonly completedItems: ReadonlyMap<string, number>;
}

interface SimulatedEngine {
  /** Requests that occupy a slot. */
  running: number;
  /** Starts of requests that wait for a slot; online requests are put at the front. */
  readonly queue: (() => void)[];
  /** Duration of all online requests that have started, in milliseconds. */
  onlineTime: number;
}

/** Network delay in each direction. */
const latencyMilliseconds = 1.5;

export async function runEngineScenario(
  scenario: EngineScenario,
): Promise<EngineResult> {
  const weights = scenario.weights ?? { walnut: 1 };
  const fleet = new CapacityFleet({
    seed: scenario.seed,
    members: 5,
    engines: scenario.engines,
    concurrency: scenario.concurrency,
    weights,
    latencyMilliseconds,
    ...(scenario.onlineReserve === undefined
      ? {}
      : { onlineReserve: scenario.onlineReserve }),
  });
  const { time, random } = fleet;
  const engines = new Map<UpstreamName, SimulatedEngine>();
  for (let index = 0; index < scenario.engines; index++) {
    engines.set(engineName(index), {
      running: 0,
      queue: [],
      onlineTime: 0,
    });
  }
  const startNext = (engine: SimulatedEngine) => {
    if (engine.running >= scenario.concurrency) return;
    const next = engine.queue.shift();
    if (!next) return;
    engine.running += 1;
    next();
  };
  const finish = (engine: SimulatedEngine) => {
    engine.running -= 1;
    startNext(engine);
  };
  let revoked = 0;
  let completedBatchMilliseconds = 0;
  const completedItems = new Map<string, number>();
  const services = [...fleet.processes.values()].map((it) => it.service);
  const startBatchCall = (grant: BatchGrant) => {
    const engine = engines.get(grant.upstream)!;
    const durationMilliseconds = scenario.batchMilliseconds *
      (0.5 + random.next());
    let cancel = () => {};
    let isRunning = false;
    const startCall = () => {
      isRunning = true;
      cancel = time.after(durationMilliseconds, () => {
        isRunning = false;
        completedBatchMilliseconds += durationMilliseconds;
        const count = completedItems.get(grant.workspace) ?? 0;
        completedItems.set(grant.workspace, count + 1);
        finish(engine);
        time.after(latencyMilliseconds, () => grant.release());
      });
    };
    time.after(latencyMilliseconds, () => {
      engine.queue.push(startCall);
      startNext(engine);
    });
    grant.revoked.addEventListener("abort", () => {
      revoked += 1;
      time.after(latencyMilliseconds, () => {
        const queueIndex = engine.queue.indexOf(startCall);
        if (queueIndex >= 0) engine.queue.splice(queueIndex, 1);
        if (isRunning) {
          cancel();
          finish(engine);
        }
        grant.release();
      });
    });
  };
  for (const service of services) {
    service.onGrant(startBatchCall);
    if (!scenario.hasBatch) continue;
    const renewDemand = () =>
      service.setDemand(
        Object.keys(weights).map((name) => ({
          workspace: brandAs<WorkspaceId>(name),
          target: { kind: "model" as const, model },
          count: 1_000,
          earliestDeadline: 0,
        })),
      );
    renewDemand();
    const repeatDemand = () => {
      renewDemand();
      time.after(500, repeatDemand);
    };
    repeatDemand();
  }
  const warmUpMilliseconds = 2_000;
  const endAt = warmUpMilliseconds + scenario.seconds * 1_000;
  await time.runUntil(warmUpMilliseconds);
  completedBatchMilliseconds = 0;
  completedItems.clear();
  const firstTokens: number[] = [];
  const startRequest = () => {
    const service = random.pick(services)!;
    let best = engineName(random.integerBelow(scenario.engines));
    for (let index = 0; index < 2; index++) {
      const other = engineName(random.integerBelow(scenario.engines));
      if (service.loadOf(other) < service.loadOf(best)) best = other;
    }
    const engine = engines.get(best)!;
    const reportEnd = service.trackOnlineRequest(best);
    const sentAt = time.monotonicNow();
    const durationMilliseconds = scenario.onlineMilliseconds *
      (0.5 + random.next());
    const firstTokenMilliseconds = scenario.firstTokenMilliseconds *
      (0.8 + 0.4 * random.next());
    time.after(latencyMilliseconds, () => {
      engine.queue.unshift(() => {
        const waitMilliseconds = time.monotonicNow() - sentAt;
        firstTokens.push(waitMilliseconds + firstTokenMilliseconds);
        time.after(
          firstTokenMilliseconds,
          () =>
            service.recordFirstToken(
              best,
              waitMilliseconds + firstTokenMilliseconds,
            ),
        );
        engine.onlineTime += durationMilliseconds;
        time.after(durationMilliseconds, () => {
          finish(engine);
          time.after(latencyMilliseconds, reportEnd);
        });
      });
      startNext(engine);
    });
  };
  for (let at = warmUpMilliseconds; at < endAt;) {
    await time.runUntil(at);
    for (let index = 0; index < scenario.groupSize; index++) startRequest();
    at += random.nextArrivalMilliseconds(scenario.groupsPerSecond);
  }
  await time.runUntil(endAt);
  let onlineTime = 0;
  for (const engine of engines.values()) onlineTime += engine.onlineTime;
  const slotMilliseconds = scenario.engines * scenario.concurrency *
    scenario.seconds * 1_000;
  firstTokens.sort((left, right) => left - right);
  return {
    batchUtilization: completedBatchMilliseconds /
      (slotMilliseconds - onlineTime),
    firstTokenP99: firstTokens[Math.floor(firstTokens.length * 0.99)] ?? 0,
    revoked,
    completedItems,
  };
}
