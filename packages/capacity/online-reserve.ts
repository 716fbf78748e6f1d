/**
 * How many slots grants leave free for online requests. An online request that finds no free
 * slot waits until a revoked batch call has ended. With 8 slots one reserved slot costs 12% of
 * the batch throughput, while real processes with a first token of about 35 ms showed no effect
 * of that wait on the p99. So slots are reserved only where the wait is long in comparison with
 * the usual time to first token.
 */

/** Part of the time to first token that the wait for a revocation may take without a reserve. */
const maximumWaitShare = 0.5;
/** Time to first token that is assumed before one was recorded. */
const assumedFirstTokenMilliseconds = 150;
const revocationSmoothing = 0.2;
/** Revocation time that is assumed before one was measured. */
const initialRevocationMilliseconds = 5;
/** Requests that start within this time count as one burst. */
const burstWindowMilliseconds = 20;
/** Without online requests for this long nothing is reserved. */
const idleMilliseconds = 30_000;
/** Larger reserves than this part of the slots cost more batch work than they spare waits. */
const maximumReservedShare = 1 / 16;

export interface OnlineReserve {
  /** Slots to reserve where waiting for a revocation is too long. */
  readonly configuredSlots: number;
  readonly revocationMilliseconds: number;
  readonly lastOnlineAt: number;
  readonly burstStartedAt: number;
  readonly burstSize: number;
  /** Size of recent bursts; it falls slowly. */
  readonly recentBurstSize: number;
}

export function createOnlineReserve(configuredSlots: number): OnlineReserve {
  return {
    configuredSlots,
    revocationMilliseconds: initialRevocationMilliseconds,
    lastOnlineAt: Number.NEGATIVE_INFINITY,
    burstStartedAt: Number.NEGATIVE_INFINITY,
    burstSize: 0,
    recentBurstSize: 0,
  };
}

export function recordRevocation(
  reserve: OnlineReserve,
  milliseconds: number,
): OnlineReserve {
  const change = (milliseconds - reserve.revocationMilliseconds) *
    revocationSmoothing;
  return {
    ...reserve,
    revocationMilliseconds: reserve.revocationMilliseconds + change,
  };
}

/** Notes that the online requests in flight have grown. */
export function recordOnlineStarts(
  reserve: OnlineReserve,
  started: number,
  now: number,
): OnlineReserve {
  if (started <= 0) return reserve;
  const isSameBurst = now - reserve.burstStartedAt < burstWindowMilliseconds;
  const burstSize = isSameBurst ? reserve.burstSize + started : started;
  return {
    ...reserve,
    lastOnlineAt: now,
    burstStartedAt: isSameBurst ? reserve.burstStartedAt : now,
    burstSize,
    recentBurstSize: Math.max(burstSize, reserve.recentBurstSize * 0.99),
  };
}

export function reservedSlots(
  reserve: OnlineReserve,
  options: {
    concurrency: number;
    /** Usual time to first token in milliseconds, if it is known. */
    firstTokenMilliseconds: number | undefined;
    now: number;
  },
): number {
  const { concurrency, now } = options;
  const firstTokenMilliseconds = options.firstTokenMilliseconds ??
    assumedFirstTokenMilliseconds;
  if (now - reserve.lastOnlineAt > idleMilliseconds) return 0;
  const revocationWait = reserve.revocationMilliseconds;
  if (revocationWait <= maximumWaitShare * firstTokenMilliseconds) return 0;
  const maximum = Math.max(
    reserve.configuredSlots,
    Math.floor(concurrency * maximumReservedShare),
  );
  const targetSlots = Math.max(
    reserve.configuredSlots,
    Math.floor(reserve.recentBurstSize),
  );
  // A single slot must stay usable for batch work.
  return Math.min(targetSlots, maximum, concurrency - 1);
}
