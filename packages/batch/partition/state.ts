/**
 * The state of a partition, which the reducer computes from the partition's stream. Checkpoints
 * store all of it except `IndexedRecord` under the names of its properties, and range owners send
 * `IndexedRecord` to other instances, so none of the properties can be renamed.
 */

import type {
  Incarnation,
  InstanceId,
  JobId,
  Offset,
  WriterId,
} from "../../common/ids.ts";
import type { JobSpec, RangeSpec } from "./entries.ts";

/** The period in which one owner may write to the partition. */
export interface Epoch {
  /** Offset of the record that opened the epoch; it is the fencing token. */
  readonly offset: Offset;
  readonly owner: InstanceId;
  readonly incarnation: Incarnation;
  /** Offset in the control stream up to which the owner had read when it opened the epoch. */
  readonly controlOffset: Offset;
  readonly writer: WriterId;
  isReleased: boolean;
}

/** Totals of a range that has finished, as its job keeps them. */
export interface FinishedRange {
  readonly completed: number;
  readonly failed: number;
  readonly outputBytes: number;
  readonly errorBytes: number;
  readonly isCancelled: boolean;
}

export interface JobState {
  readonly spec: JobSpec;
  /** Wall-clock milliseconds. */
  cancelledAt: number | undefined;
  /** Wall-clock milliseconds. */
  endedAt: number | undefined;
  /** Finished ranges by range number. */
  readonly finished: Map<number, FinishedRange>;
}

/** Attempts of an item that has no outcome yet. */
export interface ItemAttempts {
  count: number;
  /** Error code and message of the last attempt. */
  code: string;
  message: string;
}

/** A record with completions of a range that readers of the results use. */
export interface IndexedRecord {
  readonly offset: Offset;
  /** Positions in the record of the first and last completion that took effect. */
  readonly first: number;
  last: number;
  /** Time at which the log accepted the record, in wall-clock milliseconds. */
  readonly time: number;
  /** Whether the record holds copies of completions that were carried forward. */
  hasCopies: boolean;
}

/** State of a range. Lines are counted from the start of the range. */
export interface RangeState {
  readonly spec: RangeSpec;
  /** One bit per line of the range, set once the line has its outcome. */
  readonly done: Uint8Array;
  /** Lowest line without an outcome; equals the number of lines once all have one. */
  watermark: number;
  completed: number;
  failed: number;
  outputBytes: number;
  errorBytes: number;
  isCancelled: boolean;
  /** Lines whose item is in flight, with the epoch that started it. */
  readonly started: Map<number, Offset>;
  readonly attempts: Map<number, ItemAttempts>;
  /** Lines whose non-idempotent call was announced in the log, with the epoch that did so. */
  readonly intents: Map<number, Offset>;
  /** Lines without an outcome whose call was aborted and may have run. */
  readonly aborted: Set<number>;
  /**
   * Whether an owner was replaced without having released its epoch. Its calls may have run
   * without an entry in the stream.
   */
  hasLostOwner: boolean;
  /** Records with the completions of this range that readers use, by ascending offset. */
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

/** The properties of a job that determine its ranges. */
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

/** Whether a call for a line without an outcome may have run. */
export function mayHaveRun(range: RangeState, line: number): boolean {
  return range.hasLostOwner || range.aborted.has(line) ||
    range.started.has(line) || range.attempts.has(line) ||
    range.intents.has(line);
}

/** Whether a line, counted from the start of the range, has an outcome. */
export function isDone(range: RangeState, line: number): boolean {
  return ((range.done[line >> 3] ?? 0) & (1 << (line & 7))) !== 0;
}
