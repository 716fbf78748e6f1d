/** State that the reducer computes from a partition's stream. */

import type {
  Incarnation,
  InstanceId,
  JobId,
  Offset,
  WriterId,
} from "../../common/ids.ts";
import type { JobSpec, RangeSpec } from "./entries.ts";

export interface Epoch {
  /** Offset of the record that opened it: the fencing token. */
  readonly offset: Offset;
  readonly owner: InstanceId;
  readonly incarnation: Incarnation;
  readonly controlOffset: Offset;
  readonly writer: WriterId;
  isReleased: boolean;
}

export interface FinishedRange {
  readonly completed: number;
  readonly failed: number;
  readonly outputBytes: number;
  readonly errorBytes: number;
  readonly isCancelled: boolean;
}

export interface JobState {
  readonly spec: JobSpec;
  cancelledAt: number | undefined;
  endedAt: number | undefined;
  readonly finished: Map<number, FinishedRange>;
}

export interface ItemAttempts {
  count: number;
  /** Reason of the last one. */
  code: string;
  message: string;
}

/** A record that holds visible completions of a range. */
export interface IndexedRecord {
  readonly offset: Offset;
  /** Positions of the first and last entry of the record that took effect. */
  readonly first: number;
  last: number;
  /** Time at which the log accepted it. */
  readonly time: number;
  /** Whether it holds copies of completions that were carried forward. */
  hasCopies: boolean;
}

export interface RangeState {
  readonly spec: RangeSpec;
  /** One bit per line of the range, set once the line has its outcome. */
  readonly done: Uint8Array;
  /** Lowest line of the range without an outcome, counted from the start of the range. */
  watermark: number;
  completed: number;
  failed: number;
  outputBytes: number;
  errorBytes: number;
  isCancelled: boolean;
  /** Lines in flight, with the epoch that started them. */
  readonly started: Map<number, Offset>;
  readonly attempts: Map<number, ItemAttempts>;
  readonly intents: Map<number, Offset>;
  /** Lines without an outcome whose call was aborted and may have run. */
  readonly aborted: Set<number>;
  /** An owner was lost without a release; calls that it began may have left no mark. */
  hasLostOwner: boolean;
  /** Records that hold visible completions of this range, by ascending offset. */
  index: IndexedRecord[];
}

export interface PartitionState {
  /** Offset of the last record that was applied; -1 before the first. */
  appliedOffset: Offset;
  epoch: Epoch | undefined;
  /** Highest sequence of each recent writer, oldest writer first. */
  readonly writers: Map<WriterId, number>;
  readonly jobs: Map<JobId, JobState>;
  readonly ranges: Map<string, RangeState>;
}

export function createPartitionState(): PartitionState {
  return {
    appliedOffset: -1 as Offset,
    epoch: undefined,
    writers: new Map(),
    jobs: new Map(),
    ranges: new Map(),
  };
}

export function rangeKey(job: JobId, range: number): string {
  return `${job}/${range}`;
}

/** What decides the ranges of a job. */
export type JobLayout = Pick<
  JobSpec,
  "id" | "workspace" | "inputFile" | "deadline" | "lines" | "rangeItems"
>;

export function rangeCount(spec: JobLayout): number {
  return Math.ceil(spec.lines / spec.rangeItems);
}

export function createRangeSpec(spec: JobLayout, range: number): RangeSpec {
  const firstLine = range * spec.rangeItems;
  return {
    job: spec.id,
    range,
    firstLine,
    lines: Math.min(spec.rangeItems, spec.lines - firstLine),
    workspace: spec.workspace,
    inputFile: spec.inputFile,
    deadline: spec.deadline,
  };
}

export function isRangeFinished(range: RangeState): boolean {
  return range.isCancelled || range.watermark >= range.spec.lines;
}

/** Whether the call of a line without an outcome may have run. */
export function mayHaveRun(range: RangeState, line: number): boolean {
  return range.hasLostOwner || range.aborted.has(line) ||
    range.started.has(line) || range.attempts.has(line) ||
    range.intents.has(line);
}

/** Whether a line, counted from the start of the range, has its outcome. */
export function isDone(range: RangeState, line: number): boolean {
  return ((range.done[line >> 3] ?? 0) & (1 << (line & 7))) !== 0;
}
