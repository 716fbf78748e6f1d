/** The items of the owned partitions that can be sent to a server now, and how many may be. */

import type { PartitionNumber } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import { freeSlots } from "../gateway/choose-server.ts";
import { slotsKeptFree } from "./constants.ts";
import type { JobPartitions } from "./job-partition.ts";
import type { ProgressStore } from "./progress-store.ts";
import type { JobRecord } from "./records.ts";
import type { ItemWork, WorkTable } from "./work-table.ts";

export interface ReadyItemsOptions {
  readonly partitions: JobPartitions;
  readonly progress: Pick<ProgressStore, "get">;
  readonly workTable: WorkTable;
  /** Whether new runs of items of the partition may be started. */
  readonly canStartItems: (partition: PartitionNumber) => boolean;
  readonly takesJob: (job: JobRecord) => boolean;
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
}

export function collectReadyItems(
  { partitions, progress, workTable, canStartItems, takesJob, now, wallNow }:
    ReadyItemsOptions,
): ItemWork[] {
  const ready: ItemWork[] = [];
  for (const partition of partitions.all()) {
    if (!canStartItems(partition.number) || !partition.isLoaded) continue;
    for (const state of partition.state.jobs()) {
      if (state.isEnded) continue;
      if (state.finished.size === state.record.items.length) continue;
      if (!takesJob(state.record)) {
        for (const work of workTable.ofJob(state.record.job)) {
          work.run?.cancel();
        }
        continue;
      }
      for (const [item, { id, tokens }] of state.record.items.entries()) {
        if (state.finished.has(item)) continue;
        const work = workTable.getOrCreate(partition.number, state, item, id, {
          dueAt: now + state.record.dueAt - wallNow,
          tokens,
          progress: () =>
            progress.get(partition.number, state.record.job, item),
        });
        if (work.run || work.isStarting || work.hasResult) continue;
        if (work.retryAt <= now) ready.push(work);
      }
    }
  }
  return ready;
}

/** This instance's share of the free slots, in proportion to its share of the waiting items. */
export function maximumStarts(
  { upstreams, loads, sendRules }: Blackboard,
  { ready, waitingAtPeers, now }: {
    /** Number of items of this instance that can be sent. */
    readonly ready: number;
    readonly waitingAtPeers: number;
    /** Monotonic milliseconds. */
    readonly now: number;
  },
): number {
  let totalFreeSlots = 0;
  for (const server of upstreams.all()) {
    const permission = sendRules.check(server, now, { isBatch: true });
    if (permission.kind === "refused") continue;
    const load = loads.estimate(server.id, now);
    const free = freeSlots({ slots: permission.slots, ...load }, slotsKeptFree);
    const budget = permission.sendBudget;
    totalFreeSlots += budget
      ? Math.min(free, Math.max(0, Math.floor(budget.level)))
      : free;
  }
  const share = ready / (ready + waitingAtPeers);
  return Math.max(1, Math.ceil(totalFreeSlots * share));
}
