/**
 * A holder's token bucket as plain data. The level plus the tokens in transit never grows above
 * the capacity, so the buckets of all holders together never hold more than the burst.
 */

/** Tokens that were given to another instance, which may still use them. */
export interface PendingTransfer {
  readonly id: number;
  readonly amount: number;
  /** Monotonic milliseconds from which on the receiver cannot use the tokens any more. */
  readonly expiresAt: number;
}

export interface Bucket {
  readonly level: number;
  /** Monotonic milliseconds up to which tokens have been generated. */
  readonly refilledAt: number;
  readonly capacity: number;
  readonly ratePerMillisecond: number;
  /** In order of expiry. */
  readonly pending: readonly PendingTransfer[];
}

export function createBucket(now: number): Bucket {
  return {
    level: 0,
    refilledAt: now,
    capacity: 0,
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
    const room = bucket.capacity - inTransit;
    // A level above the room, left by a handover, is kept but does not grow.
    if (level < room) {
      const generated = (time - refilledAt) * bucket.ratePerMillisecond;
      level = Math.min(room, level + generated);
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

/** Moves tokens into transit; the transfer must expire last of all pending ones. */
export function give(bucket: Bucket, transfer: PendingTransfer): Bucket {
  return {
    ...bucket,
    level: bucket.level - transfer.amount,
    pending: [...bucket.pending, transfer],
  };
}

/**
 * Ends a transfer whose receiver has used the tokens or returns some. A transfer that has
 * expired is not known any more: its capacity may be filled again, so the refund is void.
 */
export function settle(bucket: Bucket, id: number, refund: number): Bucket {
  const transfer = bucket.pending.find((candidate) => candidate.id === id);
  if (!transfer) return bucket;
  const returned = Math.min(Math.max(0, refund), transfer.amount);
  return {
    ...bucket,
    level: bucket.level + returned,
    pending: bucket.pending.filter((candidate) => candidate !== transfer),
  };
}

/** Tokens that fit in without exceeding the capacity. */
export function room(bucket: Bucket): number {
  return Math.max(0, bucket.capacity - pendingAmount(bucket) - bucket.level);
}

export function deposit(bucket: Bucket, amount: number): Bucket {
  return { ...bucket, level: bucket.level + amount };
}

/** Drops the tokens above the maximum, tokens in transit included. */
export function clip(bucket: Bucket, maximum: number): Bucket {
  const highest = Math.max(0, maximum - pendingAmount(bucket));
  return bucket.level > highest ? { ...bucket, level: highest } : bucket;
}
