/** What an instance holds in memory of a range that it runs. */

import { setMaxListeners } from "node:events";
import type { ReadyItem } from "./ready-items.ts";
import type { PartitionOwner } from "../partition/owner.ts";
import {
  isDone,
  isRangeFinished,
  rangeKey,
  type RangeState,
} from "../partition/state.ts";

export interface RangeRun {
  readonly key: string;
  readonly owner: PartitionOwner;
  readonly range: RangeState;
  /** Next line to look at, counted from the start of the range. */
  cursor: number;
  /** Lines that are ready, delayed, in flight or completed but not yet read back. */
  readonly taken: Set<number>;
  /** Lines that were in flight when an earlier owner was lost and wait to be started alone. */
  readonly suspects: number[];
  readyCount: number;
  /** The item that was made ready last; it tells whether its target has enough of them. */
  lastReady: ReadyItem | undefined;
  isLoading: boolean;
  /** Monotonic time before which nothing is read, after a read that failed. */
  nextLoadAt: number;
  /** The home owner has confirmed in this epoch that the job is not cancelled. */
  isConfirmed: boolean;
  readonly createdAt: number;
  /** Aborted when results of the range no longer count. */
  readonly discarded: AbortController;
  /** Aborted when the epoch is to be released; calls that may not be repeated go on. */
  readonly draining: AbortController;
}

export function createRangeRun(
  owner: PartitionOwner,
  range: RangeState,
  now: number,
): RangeRun {
  const discarded = new AbortController();
  const draining = new AbortController();
  // Each item in flight listens to both; there may be up to `maximumUnrecordedItems`.
  setMaxListeners(0, discarded.signal, draining.signal);
  return {
    key: rangeKey(range.spec.job, range.spec.range),
    owner,
    range,
    cursor: range.watermark,
    taken: new Set(),
    suspects: [],
    readyCount: 0,
    lastReady: undefined,
    isLoading: false,
    nextLoadAt: 0,
    isConfirmed: false,
    createdAt: now,
    discarded: discarded,
    draining,
  };
}

export function isRunEnded(run: RangeRun): boolean {
  return run.discarded.signal.aborted || run.draining.signal.aborted ||
    run.owner.isStopped || isRangeFinished(run.range);
}

/** Whether lines are left that nobody has looked at; lines that failed to load come back. */
export function hasUntakenLines(run: RangeRun): boolean {
  return run.cursor < run.range.spec.lines;
}

/** The next line without an outcome that nobody has taken; marks it as taken. */
export function takeNextLine(run: RangeRun): number | undefined {
  run.cursor = Math.max(run.cursor, run.range.watermark);
  for (; run.cursor < run.range.spec.lines; run.cursor++) {
    const line = run.cursor;
    if (isDone(run.range, line) || run.taken.has(line)) continue;
    run.taken.add(line);
    run.cursor++;
    return line;
  }
  return undefined;
}

/** Whether the line was in flight when an earlier owner was lost. */
export function isSuspect(run: RangeRun, line: number): boolean {
  const started = run.range.started.get(line);
  return started !== undefined && started < run.owner.epoch.offset;
}

export function fileLine(run: RangeRun, line: number): number {
  return run.range.spec.firstLine + line;
}

/** Order in which ranges are worked on: earliest deadline first, then job by job. */
export function compareRuns(left: RangeRun, right: RangeRun): number {
  const leftSpec = left.range.spec;
  const rightSpec = right.range.spec;
  if (leftSpec.deadline !== rightSpec.deadline) {
    return leftSpec.deadline - rightSpec.deadline;
  }
  if (leftSpec.job !== rightSpec.job) {
    return leftSpec.job < rightSpec.job ? -1 : 1;
  }
  return leftSpec.range - rightSpec.range;
}
