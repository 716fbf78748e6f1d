/** Online and batch load on engines under virtual time, to measure use and harm. */

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
  /** Groups of online requests a second over all engines, and the requests of a group. */
  readonly groupsPerSecond: number;
  readonly groupSize: number;
  readonly onlineMilliseconds: number;
  readonly firstTokenMilliseconds: number;
  readonly batchMilliseconds: number;
  readonly seconds: number;
  readonly hasBatch: boolean;
  readonly onlineReserve?: number;
  /** Items with which each workspace starts; endless by default. */
  readonly weights?: Record<string, number>;
}

export interface EngineResult {
  /** Useful batch time in relation to the slots that online requests left free. */
  readonly batchUse: number;
  readonly firstTokenP99: number;
  readonly revoked: number;
  readonly completed: ReadonlyMap<string, number>;
}

interface EngineModel {
  running: number;
  readonly queue: (() => void)[];
  onlineTime: number;
}

const latency = 1.5;

export async function runEngines(
  scenario: EngineScenario,
): Promise<EngineResult> {
  const weights = scenario.weights ?? { walnut: 1 };
  const fleet = new CapacityFleet({
    seed: scenario.seed,
    members: 5,
    engines: scenario.engines,
    concurrency: scenario.concurrency,
    weights,
    latencyMilliseconds: latency,
    ...(scenario.onlineReserve === undefined
      ? {}
      : { onlineReserve: scenario.onlineReserve }),
  });
  const { time, random } = fleet;
  const engines = new Map<UpstreamName, EngineModel>();
  for (let index = 0; index < scenario.engines; index++) {
    engines.set(engineName(index), { running: 0, queue: [], onlineTime: 0 });
  }
  const startNext = (engine: EngineModel) => {
    if (engine.running >= scenario.concurrency) return;
    const next = engine.queue.shift();
    if (!next) return;
    engine.running += 1;
    next();
  };
  const finish = (engine: EngineModel) => {
    engine.running -= 1;
    startNext(engine);
  };
  let revoked = 0;
  let usefulTime = 0;
  const completed = new Map<string, number>();
  const services = [...fleet.processes.values()].map((it) => it.service);
  const runItem = (grant: BatchGrant) => {
    const engine = engines.get(grant.upstream)!;
    const duration = scenario.batchMilliseconds * (0.5 + random.next());
    let cancel = () => {};
    let isRunning = false;
    const begin = () => {
      isRunning = true;
      cancel = time.after(duration, () => {
        isRunning = false;
        usefulTime += duration;
        const count = completed.get(grant.workspace) ?? 0;
        completed.set(grant.workspace, count + 1);
        finish(engine);
        time.after(latency, () => grant.release());
      });
    };
    time.after(latency, () => {
      engine.queue.push(begin);
      startNext(engine);
    });
    grant.revoked.addEventListener("abort", () => {
      revoked += 1;
      time.after(latency, () => {
        const at = engine.queue.indexOf(begin);
        if (at >= 0) engine.queue.splice(at, 1);
        if (isRunning) {
          cancel();
          finish(engine);
        }
        grant.release();
      });
    });
  };
  for (const service of services) {
    service.onGrant(runItem);
    if (!scenario.hasBatch) continue;
    const demand = () =>
      service.setDemand(
        Object.keys(weights).map((name) => ({
          workspace: brandAs<WorkspaceId>(name),
          target: { kind: "model" as const, model },
          count: 1_000,
          earliestDeadline: 0,
        })),
      );
    demand();
    const repeat = () => {
      demand();
      time.after(500, repeat);
    };
    repeat();
  }
  const warmUp = 2_000;
  const end = warmUp + scenario.seconds * 1_000;
  await time.runUntil(warmUp);
  usefulTime = 0;
  completed.clear();
  const firstTokens: number[] = [];
  const startOnline = () => {
    const service = random.pick(services)!;
    let best = engineName(random.integerBelow(scenario.engines));
    for (let index = 0; index < 2; index++) {
      const other = engineName(random.integerBelow(scenario.engines));
      if (service.loadOf(other) < service.loadOf(best)) best = other;
    }
    const engine = engines.get(best)!;
    const finished = service.trackOnlineRequest(best);
    const sentAt = time.monotonicNow();
    const length = scenario.onlineMilliseconds * (0.5 + random.next());
    const firstToken = scenario.firstTokenMilliseconds *
      (0.8 + 0.4 * random.next());
    time.after(latency, () => {
      engine.queue.unshift(() => {
        const wait = time.monotonicNow() - sentAt;
        firstTokens.push(wait + firstToken);
        time.after(
          firstToken,
          () => service.recordFirstToken(best, wait + firstToken),
        );
        engine.onlineTime += length;
        time.after(length, () => {
          finish(engine);
          time.after(latency, finished);
        });
      });
      startNext(engine);
    });
  };
  for (let at = warmUp; at < end;) {
    await time.runUntil(at);
    for (let index = 0; index < scenario.groupSize; index++) startOnline();
    at += random.nextArrivalMilliseconds(scenario.groupsPerSecond);
  }
  await time.runUntil(end);
  let onlineTime = 0;
  for (const engine of engines.values()) onlineTime += engine.onlineTime;
  const slotTime = scenario.engines * scenario.concurrency *
    scenario.seconds * 1_000;
  firstTokens.sort((left, right) => left - right);
  return {
    batchUse: usefulTime / (slotTime - onlineTime),
    firstTokenP99: firstTokens[Math.floor(firstTokens.length * 0.99)] ?? 0,
    revoked,
    completed,
  };
}
