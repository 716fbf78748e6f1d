/**
 * The run of a range: what an instance keeps in memory while it executes the items of the range.
 * Lines are counted from the start of the range.
 */

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
  /** Next line to load. */
  cursor: number;
  /**
   * Lines that this run works on: loading, ready, waiting for a retry, in flight, or with an
   * outcome that has not been read back.
   */
  readonly taken: Set<number>;
  /**
   * Lines that were in flight when an earlier owner was lost and wait to be started again. Each
   * owner starts one such line at a time.
   */
  readonly suspects: number[];
  /** Items of this range that are ready to start. */
  readyCount: number;
  /**
   * The item that became ready last. The executor assumes that the next lines have the same
   * targets, and loads more if these have few ready items.
   */
  lastReady: ReadyItem | undefined;
  isLoading: boolean;
  /** Monotonic time before which no item is loaded, because loading one has failed. */
  nextLoadAt: number;
  /** Whether the home owner has confirmed in this epoch that the job is not cancelled. */
  isConfirmed: boolean;
  /** Monotonic time at which this instance began to run the range. */
  readonly createdAt: number;
  /** Aborted when results of the range no longer count and are discarded. */
  readonly discarded: AbortController;
  /** Aborted before the epoch is released; calls that may not be repeated continue. */
  readonly draining: AbortController;
}

export function createRangeRun(
  owner: PartitionOwner,
  range: RangeState,
  now: number,
): RangeRun {
  const discarded = new AbortController();
  const draining = new AbortController();
  // Each item in flight listens to both signals. Up to `maximumUnrecordedItems` do so, more than
  // the number of listeners at which Node.js warns.
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
    discarded,
    draining,
  };
}

/**
 * Whether the run starts no more items: its results are discarded, its owner is being released or
 * has stopped, or the range is cancelled or has an outcome for each line.
 */
export function isRunEnded(run: RangeRun): boolean {
  return run.discarded.signal.aborted || run.draining.signal.aborted ||
    run.owner.isStopped || isRangeFinished(run.range);
}

/** Whether lines are left to take. A line that failed to load is taken again. */
export function hasUntakenLines(run: RangeRun): boolean {
  return run.cursor < run.range.spec.lines;
}

/** Takes the next line that has no outcome and is not taken; undefined if there is none. */
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

/** Converts a line of the range to the zero-based line of the input file. */
export function fileLine(run: RangeRun, line: number): number {
  return run.range.spec.firstLine + line;
}

/** Order in which ranges are executed: by deadline, then by job, then by range number. */
export function compareRuns(left: RangeRun, right: RangeRun): number {
  const a = left.range.spec;
  const b = right.range.spec;
  if (a.deadline !== b.deadline) return a.deadline - b.deadline;
  if (a.job !== b.job) return a.job < b.job ? -1 : 1;
  return a.range - b.range;
}
