/** What an instance keeps for each workspace, and the changes of it when a record is applied. */

import type { InstanceId, Offset, WorkspaceId } from "../common/ids.ts";
import {
  type Bucket,
  clampToMaximum,
  createBucket,
  deposit,
  refill,
} from "./bucket.ts";
import {
  type Allocation,
  type HandoverPart,
  shareOf,
  splitHandover,
} from "./holders.ts";
import {
  acceptHandover,
  addShare,
  createSchedule,
  effectiveShare,
  latestShare,
  putInForce,
  type ShareSchedule,
} from "./share-schedule.ts";

/** The last level that a holder has reported. */
export interface KnownLevel {
  readonly level: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

export interface WaitingRequest {
  /** Monotonic milliseconds. */
  readonly since: number;
  readonly resolve: (isAdmitted: boolean) => void;
}

export interface WorkspaceEntry {
  readonly id: WorkspaceId;
  allocation: Allocation;
  schedule: ShareSchedule;
  bucket: Bucket;
  readonly knownLevels: Map<InstanceId, KnownLevel>;
  /** Requests that wait for the collection in progress, in order of arrival. */
  readonly waiting: WaitingRequest[];
  isCollecting: boolean;
  /** Monotonic milliseconds until which requests are refused without asking the holders. */
  refuseUntil: number;
  lastRefusalAt: number;
  consecutiveShortages: number;
}

export interface AllocationChange {
  readonly instance: InstanceId;
  readonly offset: Offset;
  /** Whether this run of the instance is a member after the change. */
  readonly isMember: boolean;
  readonly allocation: Allocation;
  /** Monotonic milliseconds before which no instance can have grown by the record. */
  readonly notInForceBefore: number;
}

export interface Handover {
  readonly workspace: WorkspaceId;
  readonly offset: Offset;
  readonly amount: number;
}

const noAllocation: Allocation = { limit: undefined, holders: [] };

export function createEntry(id: WorkspaceId, now: number): WorkspaceEntry {
  return {
    id,
    allocation: noAllocation,
    schedule: createSchedule(),
    bucket: createBucket(now),
    knownLevels: new Map(),
    waiting: [],
    isCollecting: false,
    refuseUntil: Number.NEGATIVE_INFINITY,
    lastRefusalAt: Number.NEGATIVE_INFINITY,
    consecutiveShortages: 0,
  };
}

function ownShareOf(change: AllocationChange) {
  const { allocation, instance, isMember } = change;
  const isHolder = isMember && allocation.holders.includes(instance);
  return shareOf(isHolder ? allocation.limit : undefined, allocation.holders);
}

function applySchedule(entry: WorkspaceEntry): void {
  entry.bucket = {
    ...entry.bucket,
    ...effectiveShare(entry.schedule),
    maximum: latestShare(entry.schedule).capacity,
  };
}

/**
 * Starts the entry of a workspace with its very first record. No instance that has not applied
 * this record admits any of its requests, so the holders may fill their buckets at once: all
 * of them together hold the burst.
 */
export function startWithFullBucket(
  entry: WorkspaceEntry,
  change: AllocationChange,
): void {
  const share = ownShareOf(change);
  entry.allocation = change.allocation;
  entry.schedule = createSchedule(share);
  applySchedule(entry);
  entry.bucket = { ...entry.bucket, level: share.capacity };
}

/**
 * Generates the tokens due. Only a fresh instance may do so: while it misses a record, the
 * share that the record took from it generates tokens at another holder.
 */
export function refillEntry(entry: WorkspaceEntry, now: number): void {
  entry.bucket = refill(entry.bucket, now);
}

/**
 * Applies a change; returns the tokens to hand over to the holders that grow. The time since
 * the last refill counts with the lower of both shares, because the record may be in force for
 * a part of it already.
 */
export function changeAllocation(
  entry: WorkspaceEntry,
  change: AllocationChange,
): HandoverPart[] {
  const before = entry.allocation;
  const levelBefore = entry.bucket.level;
  entry.allocation = change.allocation;
  entry.schedule = addShare(entry.schedule, {
    offset: change.offset,
    share: ownShareOf(change),
    notInForceBefore: change.notInForceBefore,
  });
  applySchedule(entry);
  entry.bucket = clampToMaximum(entry.bucket);
  return splitHandover(
    before,
    change.allocation,
    levelBefore - entry.bucket.level,
  );
}

/** Empties the bucket of an instance that joined again: its tokens were given up. */
export function resetBucket(entry: WorkspaceEntry, now: number): void {
  entry.schedule = createSchedule();
  entry.bucket = createBucket(now);
  entry.allocation = noAllocation;
}

export function applyInForce(
  entry: WorkspaceEntry,
  offset: Offset,
  { now, isFresh }: { now: number; isFresh: boolean },
): void {
  const schedule = putInForce(entry.schedule, offset);
  if (schedule === entry.schedule) return;
  if (isFresh) refillEntry(entry, now);
  else entry.bucket = { ...entry.bucket, refilledAt: now };
  entry.schedule = schedule;
  applySchedule(entry);
}

export function receiveHandover(
  entry: WorkspaceEntry,
  handover: Handover,
  now: number,
): void {
  const { schedule, accepted } = acceptHandover(
    entry.schedule,
    handover,
    now,
  );
  if (accepted === 0) return;
  entry.schedule = schedule;
  entry.bucket = deposit(entry.bucket, accepted);
}
