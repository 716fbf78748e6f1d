/**
 * Computes the results of a scenario: use of the free capacity by batch work, its effect on online
 * latency, fairness between workspaces and refusals within the rate.
 */

import type { BatchJob, JobProgress } from "./batch-run.ts";
import type { EngineUsage } from "./engine-usage.ts";
import type { OnlineRunResult } from "./online-run.ts";

export interface RunWindow {
  readonly online: OnlineRunResult;
  readonly seconds: number;
  /** Time that engine slots were busy in the window, summed over all slots. */
  readonly busySlotSeconds: number;
  readonly slots: number;
}

export interface BatchWindow extends RunWindow {
  readonly before: readonly JobProgress[];
  readonly after: readonly JobProgress[];
  /** Seconds from the start of submission to the end of the urgent job; undefined if it was late. */
  readonly urgentSeconds: number | undefined;
}

export interface Measures {
  readonly itemsPerSecond: number;
  /** Batch throughput as a share of what the slots not used by online requests could complete. */
  readonly batchShare: number;
  /** Busy slot time in the run with batch work, as a share of all slot time. */
  readonly slotUse: number;
  /**
   * Slot time spent on neither online requests nor completed items, such as displaced calls, as a
   * share of the slot time that online requests leave free.
   */
  readonly wastedShare: number;
  /** The p99 latency of the first token without batch work, in milliseconds. */
  readonly firstTokenAlone: number;
  readonly firstTokenWithBatch: number;
  readonly firstTokenRatio: number;
  /** Completed items of the worst-served workspace, relative to its share by weight. */
  readonly worstBatchShare: number;
  /** Share of refused requests, among workspaces that stay within their rate. */
  readonly refusedWithinRate: number;
  readonly interrupted: number;
  readonly urgentSeconds: number | undefined;
  readonly errors: Readonly<Record<string, number>>;
}

export interface MeasureOptions {
  alone: RunWindow;
  withBatch: BatchWindow;
  /** Mean slot time of one batch item on an otherwise idle engine. */
  itemSlotSeconds: number;
  /** Whether the scenario keeps the workspace within its rate. */
  withinRate: (workspace: string) => boolean;
}

export function computeMeasures(options: MeasureOptions): Measures {
  const { alone, withBatch, itemSlotSeconds, withinRate } = options;
  const finishedItems = finishedByJob(withBatch);
  const items = [...finishedItems.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
  const itemsPerSecond = items / withBatch.seconds;
  const onlineSlots = alone.busySlotSeconds / alone.seconds;
  const freeSlots = withBatch.slots - onlineSlots;
  const usedSlots = withBatch.busySlotSeconds / withBatch.seconds;
  return {
    itemsPerSecond,
    batchShare: itemsPerSecond * itemSlotSeconds / freeSlots,
    slotUse: usedSlots / withBatch.slots,
    wastedShare: (usedSlots - onlineSlots - itemsPerSecond * itemSlotSeconds) /
      freeSlots,
    firstTokenAlone: alone.online.firstToken.p99,
    firstTokenWithBatch: withBatch.online.firstToken.p99,
    firstTokenRatio: withBatch.online.firstToken.p99 /
      alone.online.firstToken.p99,
    worstBatchShare: worstEntitlementShare(finishedItems),
    refusedWithinRate: shareRefusedWithinRate([alone, withBatch], withinRate),
    interrupted: [alone, withBatch].flatMap(({ online }) => [
      ...online.byWorkspace.values(),
    ]).reduce((sum, counts) => sum + counts.interrupted, 0),
    urgentSeconds: withBatch.urgentSeconds,
    errors: mergeErrors([alone, withBatch]),
  };
}

function finishedByJob({ before, after }: BatchWindow): Map<BatchJob, number> {
  const start = new Map(before.map(({ job, finished }) => [job, finished]));
  return new Map(
    after.map(({ job, finished }) => [job, finished - (start.get(job) ?? 0)]),
  );
}

/** Finished items of the worst-served workspace, relative to its share by weight. */
function worstEntitlementShare(
  finished: ReadonlyMap<BatchJob, number>,
): number {
  const items = new Map<string, number>();
  const weights = new Map<string, number>();
  for (const [{ workspace, weight }, count] of finished) {
    items.set(workspace, (items.get(workspace) ?? 0) + count);
    weights.set(workspace, weight);
  }
  const total = [...items.values()].reduce((sum, count) => sum + count, 0);
  const weightSum = [...weights.values()].reduce((sum, one) => sum + one, 0);
  if (total === 0) return 0;
  return Math.min(
    ...[...items].map(([workspace, count]) =>
      count / (total * (weights.get(workspace) ?? 1) / weightSum)
    ),
  );
}

function shareRefusedWithinRate(
  windows: readonly RunWindow[],
  withinRate: (workspace: string) => boolean,
): number {
  let sent = 0;
  let refused = 0;
  for (const { online } of windows) {
    for (const [workspace, counts] of online.byWorkspace) {
      if (!withinRate(workspace)) continue;
      sent += counts.sent;
      refused += counts.rateLimited + counts.otherRefusals;
    }
  }
  return sent === 0 ? 0 : refused / sent;
}

function mergeErrors(windows: readonly RunWindow[]): Record<string, number> {
  const merged: Record<string, number> = {};
  for (const { online } of windows) {
    for (const [code, count] of online.errors) {
      merged[code] = (merged[code] ?? 0) + count;
    }
  }
  return merged;
}

export function busySlotSecondsBetween(
  before: EngineUsage,
  after: EngineUsage,
): number {
  return (after.busySlotMilliseconds - before.busySlotMilliseconds) / 1_000;
}
