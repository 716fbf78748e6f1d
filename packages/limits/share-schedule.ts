/**
 * Schedules changes of an instance's share. Decreases take effect at once, increases when their
 * control record is in force. The effective share is the minimum of the last share in force and of
 * all pending ones. Every fresh instance has applied the newest record in force anywhere, so each
 * of them stays within its share by that same record.
 */

import type { Offset } from "../common/ids.ts";
import { emptyShare, type Share } from "./holders.ts";

/** A share by a control record that is applied but not in force yet. */
export interface PendingShare {
  /** Offset of the control record that set the share. */
  readonly offset: Offset;
  readonly share: Share;
  /** Growth of the capacity over the preceding share; handovers may fill it early. */
  readonly growth: number;
  /** Tokens accepted from handovers of the record. */
  readonly handedOver: number;
  /** Monotonic milliseconds before which no instance can have a larger share by the record. */
  readonly notInForceBefore: number;
}

export interface ShareSchedule {
  readonly inForce: Share;
  /** Shares by later records, in order of offset. */
  readonly pending: readonly PendingShare[];
}

export function createSchedule(inForce: Share = emptyShare): ShareSchedule {
  return { inForce, pending: [] };
}

/** The share by the last record that was applied. */
export function latestShare(schedule: ShareSchedule): Share {
  return schedule.pending.at(-1)?.share ?? schedule.inForce;
}

/** The minimum of the share in force and all pending ones. */
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

/** Puts the shares of all records up to the offset in force. */
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
 * Accepts tokens that another holder gave up because of the record, up to the growth of this
 * share. Once the record may be in force, other tokens may fill the grown capacity, here or at
 * other holders, so handovers are refused from then on.
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
