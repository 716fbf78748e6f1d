/** What an instance keeps for each workspace, and the changes of it when a record is applied. */

import type { InstanceId, Offset, WorkspaceId } from "../common/ids.ts";
import {
  type Bucket,
  clip,
  createBucket,
  deposit,
  pendingAmount,
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

export interface WorkspaceEntry {
  readonly id: WorkspaceId;
  allocation: Allocation;
  schedule: ShareSchedule;
  bucket: Bucket;
  readonly knownLevels: Map<InstanceId, KnownLevel>;
  /** Requests that wait for the collection in progress; each resolves to its admission. */
  readonly waiting: ((isAdmitted: boolean) => void)[];
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
  readonly now: number;
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
  entry.bucket = { ...entry.bucket, ...effectiveShare(entry.schedule) };
}

/**
 * Starts the entry of a workspace with its very first record. No instance that has not applied
 * this record admits any of its requests, so the holders may fill their buckets at once: all
 * of them together hold the burst.
 */
export function startFull(
  entry: WorkspaceEntry,
  change: AllocationChange,
): void {
  const share = ownShareOf(change);
  entry.allocation = change.allocation;
  entry.schedule = createSchedule(share);
  applySchedule(entry);
  entry.bucket = { ...entry.bucket, level: share.capacity };
}

/** Applies a change; returns the tokens to hand over to the holders that grow. */
export function changeAllocation(
  entry: WorkspaceEntry,
  change: AllocationChange,
): HandoverPart[] {
  const before = entry.allocation;
  const share = ownShareOf(change);
  entry.bucket = refill(entry.bucket, change.now);
  const levelBefore = entry.bucket.level;
  entry.allocation = change.allocation;
  entry.schedule = addShare(entry.schedule, change.offset, share);
  applySchedule(entry);
  entry.bucket = clip(entry.bucket, share.capacity);
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
  now: number,
): void {
  const schedule = putInForce(entry.schedule, offset);
  if (schedule === entry.schedule) return;
  entry.bucket = refill(entry.bucket, now);
  entry.schedule = schedule;
  applySchedule(entry);
}

export function receiveHandover(
  entry: WorkspaceEntry,
  offset: Offset,
  amount: number,
  now: number,
): void {
  const { schedule, accepted } = acceptHandover(entry.schedule, offset, amount);
  if (accepted === 0) return;
  entry.schedule = schedule;
  const bucket = refill(entry.bucket, now);
  const highest = latestShare(schedule).capacity;
  const free = Math.max(0, highest - pendingAmount(bucket) - bucket.level);
  entry.bucket = deposit(bucket, Math.min(accepted, free));
}
