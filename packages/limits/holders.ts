/** Computes the holders of a workspace's buckets and their shares of its rate and burst. */

import type { Incarnation, InstanceId } from "../common/ids.ts";
import type { ControlState } from "../control/control-state.ts";
import { maximumHolders } from "./constants.ts";

export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Rate and burst of one holder. */
export interface Share {
  readonly capacity: number;
  readonly ratePerMillisecond: number;
}

export const emptyShare: Share = { capacity: 0, ratePerMillisecond: 0 };

export function holderCount(memberCount: number, burst: number): number {
  return Math.min(memberCount, maximumHolders, Math.max(2, Math.floor(burst)));
}

/** Computes the share of each holder; all holders of a workspace have equal shares. */
export function shareOf(
  limit: WorkspaceLimit | undefined,
  holders: readonly InstanceId[],
): Share {
  if (!limit || holders.length === 0) return emptyShare;
  return {
    capacity: limit.burst / holders.length,
    ratePerMillisecond: limit.ratePerSecond / 1_000 / holders.length,
  };
}

/** Members that may hold buckets; a leaving member hands its tokens over. */
export function eligibleMembers(state: ControlState): InstanceId[] {
  const members: InstanceId[] = [];
  for (const member of state.members.values()) {
    if (member.state === "active") members.push(member.instance);
  }
  return members.sort();
}

/** Whether the instance is a member with this incarnation, not with an earlier one. */
export function isOwnMember(
  state: ControlState,
  instance: InstanceId,
  incarnation: Incarnation,
): boolean {
  return state.members.get(instance)?.incarnation === incarnation;
}

/** A workspace's holders and limit in one control state. */
export interface Allocation {
  readonly limit: WorkspaceLimit | undefined;
  readonly holders: readonly InstanceId[];
}

/** Tokens that a holder hands over to one receiver. */
export interface HandoverPart {
  readonly receiver: InstanceId;
  readonly amount: number;
}

/**
 * Splits the tokens that a holder gives up among the holders whose share grows, in proportion to
 * their growth. Together, all senders give a receiver no more than the growth of its capacity.
 */
export function splitHandover(
  before: Allocation,
  after: Allocation,
  surplus: number,
): HandoverPart[] {
  const capacityBefore = shareOf(before.limit, before.holders).capacity;
  const capacityAfter = shareOf(after.limit, after.holders).capacity;
  const growth = new Map<InstanceId, number>();
  let growthTotal = 0;
  let lossTotal = 0;
  for (const holder of new Set([...before.holders, ...after.holders])) {
    const change = (after.holders.includes(holder) ? capacityAfter : 0) -
      (before.holders.includes(holder) ? capacityBefore : 0);
    if (change > 0) {
      growth.set(holder, change);
      growthTotal += change;
    } else lossTotal -= change;
  }
  const divisor = Math.max(growthTotal, lossTotal);
  if (divisor <= 0 || surplus <= 0) return [];
  return [...growth].map(([receiver, change]) => ({
    receiver,
    amount: surplus * change / divisor,
  }));
}
