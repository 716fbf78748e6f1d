/** Reads the usage of all engines of a fleet from their statistics. */

import type { Fleet } from "../demo/fleet.ts";

/** Totals over all engines of the fleet, since their start. */
export interface EngineUsage {
  readonly completed: number;
  readonly busySlotMilliseconds: number;
  readonly slots: number;
}

export async function readEngineUsage(fleet: Fleet): Promise<EngineUsage> {
  const engines = fleet.upstreams.filter(({ kind }) => kind === "engine");
  const statistics = await Promise.all(engines.map(async ({ url }) => {
    const response = await fetch(`${url}/statistics`);
    return await response.json() as {
      completed: number;
      busySlotMilliseconds: number;
      concurrency: number;
    };
  }));
  const sum = (pick: (one: (typeof statistics)[number]) => number) =>
    statistics.reduce((total, one) => total + pick(one), 0);
  return {
    completed: sum((one) => one.completed),
    busySlotMilliseconds: sum((one) => one.busySlotMilliseconds),
    slots: sum((one) => one.concurrency),
  };
}
