/**
 * When a change of an instance's share applies. Decreases apply at once, increases when the
 * record is in force. The share that counts is the lowest of the last one in force and of all
 * later ones: the newest record in force anywhere has been applied by every fresh instance, so
 * each of them keeps within its share under that one record.
 */

import type { Offset } from "../common/ids.ts";
import { emptyShare, type Share } from "./holders.ts";

export interface PendingShare {
  /** Control offset of the record that gave the share. */
  readonly offset: Offset;
  readonly share: Share;
  /** Growth of the capacity over the record before; handovers may fill it early. */
  readonly growth: number;
  readonly handedOver: number;
  /** Monotonic milliseconds before which no instance can have grown by the record. */
  readonly notInForceBefore: number;
}

export interface ShareSchedule {
  readonly inForce: Share;
  /** Shares of later records, in order. */
  readonly pending: readonly PendingShare[];
}

export function createSchedule(inForce: Share = emptyShare): ShareSchedule {
  return { inForce, pending: [] };
}

/** The share under the last record that was applied. */
export function latestShare(schedule: ShareSchedule): Share {
  return schedule.pending.at(-1)?.share ?? schedule.inForce;
}

export function effectiveShare(schedule: ShareSchedule): Share {
  let { capacity, ratePerMillisecond } = schedule.inForce;
  for (const { share } of schedule.pending) {
    capacity = Math.min(capacity, share.capacity);
    ratePerMillisecond = Math.min(ratePerMillisecond, share.ratePerMillisecond);
  }
  return { capacity, ratePerMillisecond };
}

export function isSameShare(left: Share, right: Share): boolean {
  return left.capacity === right.capacity &&
    left.ratePerMillisecond === right.ratePerMillisecond;
}

export function addShare(
  schedule: ShareSchedule,
  added: Pick<PendingShare, "offset" | "share" | "notInForceBefore">,
): ShareSchedule {
  const latest = latestShare(schedule);
  if (isSameShare(latest, added.share)) return schedule;
  const growth = Math.max(0, added.share.capacity - latest.capacity);
  const entry: PendingShare = { ...added, growth, handedOver: 0 };
  return { ...schedule, pending: [...schedule.pending, entry] };
}

/** Puts the records up to the offset in force. */
export function putInForce(
  schedule: ShareSchedule,
  offset: Offset,
): ShareSchedule {
  const reached = schedule.pending.filter((entry) => entry.offset <= offset);
  const newest = reached.at(-1);
  if (!newest) return schedule;
  return {
    inForce: newest.share,
    pending: schedule.pending.slice(reached.length),
  };
}

/**
 * Accepts tokens that another holder lost by the record. Once the record is in force the grown
 * capacity can be filled otherwise, here or at other holders, and the tokens are void.
 */
export function acceptHandover(
  schedule: ShareSchedule,
  handover: { readonly offset: Offset; readonly amount: number },
  now: number,
): { schedule: ShareSchedule; accepted: number } {
  const refused = { schedule, accepted: 0 };
  const { offset, amount } = handover;
  const target = schedule.pending.find((entry) => entry.offset === offset);
  if (!target || now >= target.notInForceBefore) return refused;
  const accepted = Math.min(amount, target.growth - target.handedOver);
  if (!(accepted > 0)) return refused;
  const pending = schedule.pending.map((entry) =>
    entry === target
      ? { ...entry, handedOver: entry.handedOver + accepted }
      : entry
  );
  return { schedule: { ...schedule, pending }, accepted };
}
