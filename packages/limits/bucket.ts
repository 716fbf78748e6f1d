/**
 * The token bucket of one holder, as immutable data with functions that return a changed copy.
 * Generated tokens raise the level until it equals the capacity less the tokens in transit; tokens
 * that other holders gave up may raise it to the maximum less the tokens in transit. So the
 * buckets of all holders together never hold more than the burst.
 */

import { tokenQuantum } from "./constants.ts";

/** Tokens in transit: sent to another instance, which may still use them. */
export interface PendingTransfer {
  readonly id: number;
  readonly amount: number;
  /** Monotonic milliseconds from which the receiver can no longer use the tokens. */
  readonly expiresAt: number;
}

export interface Bucket {
  readonly level: number;
  /** Monotonic milliseconds up to which tokens have been generated. */
  readonly refilledAt: number;
  /** Tokens up to which the bucket is refilled: the share that is in force. */
  readonly capacity: number;
  /** Most tokens it may hold: the share by the last record, which may not be in force yet. */
  readonly maximum: number;
  readonly ratePerMillisecond: number;
  /** Transfers in transit, in order of expiry. */
  readonly pending: readonly PendingTransfer[];
}

export function createBucket(now: number): Bucket {
  return {
    level: 0,
    refilledAt: now,
    capacity: 0,
    maximum: 0,
    ratePerMillisecond: 0,
    pending: [],
  };
}

export function pendingAmount(bucket: Bucket): number {
  let amount = 0;
  for (const transfer of bucket.pending) amount += transfer.amount;
  return amount;
}

/** Generates the tokens due since the last call and drops expired transfers. */
export function refill(bucket: Bucket, now: number): Bucket {
  if (now <= bucket.refilledAt) return bucket;
  let { level, refilledAt } = bucket;
  let inTransit = pendingAmount(bucket);
  const generateUntil = (time: number) => {
    const refillLimit = bucket.capacity - inTransit;
    // A handover may have raised the level above the limit; it is kept but does not grow.
    if (level < refillLimit) {
      const generated = (time - refilledAt) * bucket.ratePerMillisecond;
      level = Math.min(refillLimit, level + generated);
    }
    refilledAt = time;
  };
  let expired = 0;
  for (const transfer of bucket.pending) {
    if (transfer.expiresAt > now) break;
    if (transfer.expiresAt > refilledAt) generateUntil(transfer.expiresAt);
    inTransit -= transfer.amount;
    expired += 1;
  }
  const pending = expired > 0 ? bucket.pending.slice(expired) : bucket.pending;
  if (pending.length === 0) inTransit = 0;
  generateUntil(now);
  return { ...bucket, level, refilledAt, pending };
}

export function spend(bucket: Bucket, amount: number): Bucket {
  return { ...bucket, level: bucket.level - amount };
}

/**
 * The amount to transfer to an instance that requests tokens. It gets what it needs, rounded down
 * to whole tokens if requested, and half of the difference that then remains between the two
 * buckets, at most `spare`. Without that balancing, a bucket at its capacity would lose generated
 * tokens while others are empty.
 */
export function transferAmount(
  bucket: Bucket,
  request: { amount: number; whole: boolean; spare: number },
): number {
  const wanted = Math.max(0, Math.min(bucket.level, request.amount));
  const needed = request.whole ? Math.floor(wanted) : wanted;
  if (needed <= 0) return 0;
  const askerLevel = Math.max(0, bucket.capacity - request.spare);
  const excess = (bucket.level - needed - askerLevel) / 2;
  const extra = Math.max(0, Math.min(request.spare, excess));
  return Math.floor((needed + extra) / tokenQuantum) * tokenQuantum;
}

/** Moves tokens into transit. The transfer must expire after all pending ones. */
export function startTransfer(
  bucket: Bucket,
  transfer: PendingTransfer,
): Bucket {
  return {
    ...bucket,
    level: bucket.level - transfer.amount,
    pending: [...bucket.pending, transfer],
  };
}

/**
 * Ends a transfer whose receiver has used the tokens or returns some of them. An expired transfer
 * is no longer pending and its capacity may be filled again, so its refund is ignored. If the
 * share shrank during the transfer, the refund that exceeds it is dropped.
 */
export function endTransfer(
  bucket: Bucket,
  id: number,
  refund: number,
): Bucket {
  const transfer = bucket.pending.find((candidate) => candidate.id === id);
  if (!transfer) return bucket;
  const settled = {
    ...bucket,
    pending: bucket.pending.filter((candidate) => candidate !== transfer),
  };
  return deposit(settled, Math.min(Math.max(0, refund), transfer.amount));
}

/** Generated tokens that still fit into the bucket. */
export function freeCapacity(bucket: Bucket): number {
  return Math.max(0, bucket.capacity - pendingAmount(bucket) - bucket.level);
}

/** Adds tokens that were taken from another bucket or from this one, up to the maximum. */
export function deposit(bucket: Bucket, amount: number): Bucket {
  const highest = bucket.maximum - pendingAmount(bucket);
  const level = Math.max(
    bucket.level,
    Math.min(bucket.level + amount, highest),
  );
  return { ...bucket, level };
}

/** Drops the tokens that exceed the maximum. */
export function clampToMaximum(bucket: Bucket): Bucket {
  const highest = Math.max(0, bucket.maximum - pendingAmount(bucket));
  return bucket.level > highest ? { ...bucket, level: highest } : bucket;
}
