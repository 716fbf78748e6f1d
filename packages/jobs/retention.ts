/**
 * Decides which records of a partition nothing needs any more. A job is needed until its lifetime
 * after its submission and while it is open, and its records for a margin longer. The body of an item
 * is needed until the item is listed or the job is ended. What has become needless stays so: an
 * instance that decides by an old copy, or once more, removes nothing that is needed.
 */

import type { JobId } from "../common/ids.ts";
import type { JobState, PartitionState } from "./partition-state.ts";
import type { RecordIndex } from "./record-index.ts";
import { bodyKeys, type JobRecord } from "./records.ts";

export interface RetentionTimes {
  /** How long a finished job stays readable, counted from the time it was accepted. */
  readonly lifetimeMilliseconds: number;
  /** How much longer its records are kept. */
  readonly marginMilliseconds: number;
  /** How long the body of an item is kept after it was listed or its job was ended. */
  readonly bodyGraceMilliseconds: number;
  /** Age of records that belong to no job before they are removed. */
  readonly orphanMilliseconds: number;
}

/** What the owner of a partition has noticed of a job; wall-clock milliseconds. */
export interface JobNotes {
  /** Since when the job is known to be finished or ended. */
  settledSince: number | undefined;
  /** Since when the items that have a result are known to have it. */
  readonly listedSince: Map<number, number>;
  /** Items whose bodies are certainly removed. */
  readonly removedBodies: Set<number>;
}

export interface BodyReference {
  readonly job: JobId;
  readonly item: number;
  readonly keys: readonly string[];
}

export interface RemovalPlan {
  /** To be removed first, so that no body outlives its job. */
  readonly bodies: readonly BodyReference[];
  /** Keys of the job stream, to be removed in one call, so that no reader sees a job without results. */
  readonly keys: readonly string[];
}

export interface RemovalInput {
  readonly state: PartitionState;
  readonly index: RecordIndex;
  readonly notesOf: (job: JobId) => JobNotes;
  readonly times: RetentionTimes;
  /** Wall-clock milliseconds. */
  readonly wallNow: number;
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Most keys of each kind; the records of one job are not divided. */
  readonly maximumKeys: number;
}

export function createNotes(): JobNotes {
  return {
    settledSince: undefined,
    listedSince: new Map(),
    removedBodies: new Set(),
  };
}

/** Notes what has changed since the last call. */
function updateNotes(
  notes: JobNotes,
  { record, finished, isEnded }: JobState,
  wallNow: number,
): void {
  if (isEnded || finished.size === record.items.length) {
    notes.settledSince ??= wallNow;
  }
  if (notes.listedSince.size === finished.size) return;
  for (const item of finished) {
    if (!notes.listedSince.has(item)) notes.listedSince.set(item, wallNow);
  }
}

/** Whether nothing needs the job any more, its margin included. */
export function isExpired(
  { acceptedAt }: JobRecord,
  { settledSince }: JobNotes,
  { lifetimeMilliseconds, marginMilliseconds }: RetentionTimes,
  wallNow: number,
): boolean {
  if (settledSince === undefined) return false;
  const neededUntil = Math.max(acceptedAt + lifetimeMilliseconds, settledSince);
  return wallNow > neededUntil + marginMilliseconds;
}

export function planRemovals(input: RemovalInput): RemovalPlan {
  const { state, notesOf, times, wallNow, maximumKeys } = input;
  const bodies: BodyReference[] = [];
  const expired = new Set<JobId>();
  let bodyCount = 0;
  for (const job of state.jobs()) {
    if (bodyCount >= maximumKeys) break;
    const notes = notesOf(job.record.job);
    updateNotes(notes, job, wallNow);
    const isOver = isExpired(job.record, notes, times, wallNow);
    if (isOver) expired.add(job.record.job);
    for (const body of needlessBodies(job, notes, isOver, input)) {
      bodies.push(body);
      bodyCount += body.keys.length;
    }
  }
  return { bodies, keys: needlessKeys(expired, input) };
}

function needlessBodies(
  { record }: JobState,
  { settledSince, listedSince, removedBodies }: JobNotes,
  isOver: boolean,
  { times, wallNow }: RemovalInput,
): BodyReference[] {
  if (removedBodies.size === record.items.length) return [];
  const limit = wallNow - times.bodyGraceMilliseconds;
  const isSettled = settledSince !== undefined && settledSince <= limit;
  return record.items.flatMap(({ bodyBytes }, item) => {
    if (removedBodies.has(item)) return [];
    const isListed = (listedSince.get(item) ?? Infinity) <= limit;
    if (!isOver && !isSettled && !isListed) return [];
    const { job } = record;
    return [{ job, item, keys: bodyKeys(job, item, bodyBytes) }];
  });
}

/** Keys of expired jobs, and of records whose jobs do not exist. */
function needlessKeys(
  expired: ReadonlySet<JobId>,
  { state, index, times, now, maximumKeys }: RemovalInput,
): string[] {
  const keys = new Set<string>();
  for (const job of expired) {
    if (keys.size >= maximumKeys) break;
    for (const key of index.keysOf(job)) {
      // A group of an earlier version of the program may hold results of other jobs, too.
      const isNeedless = index.get(key)!.jobs.every((other) =>
        expired.has(other) || !state.job(other)
      );
      if (isNeedless) keys.add(key);
    }
  }
  const orphansBefore = now - times.orphanMilliseconds;
  for (const [key, { jobs, firstSeenAt }] of index.entries()) {
    if (keys.size >= maximumKeys) break;
    if (jobs.length === 0 || firstSeenAt > orphansBefore) continue;
    if (jobs.every((job) => !state.job(job))) keys.add(key);
  }
  return [...keys];
}
