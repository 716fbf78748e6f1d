/** Which instances hold a workspace's buckets, and the share of rate and burst of each. */

import type { Incarnation, InstanceId } from "../common/ids.ts";
import type { ControlState } from "../control/control-state.ts";
import { maximumHolders } from "./constants.ts";

export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

export interface Share {
  readonly capacity: number;
  readonly ratePerMillisecond: number;
}

export const emptyShare: Share = { capacity: 0, ratePerMillisecond: 0 };

export function holderCount(memberCount: number, burst: number): number {
  return Math.min(memberCount, maximumHolders, Math.max(2, Math.floor(burst)));
}

/** The share of each holder; all shares of a workspace are equal. */
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

/** Members that may hold buckets. A leaving member hands its buckets over. */
export function eligibleMembers(state: ControlState): InstanceId[] {
  const members: InstanceId[] = [];
  for (const member of state.members.values()) {
    if (member.state === "active") members.push(member.instance);
  }
  return members.sort();
}

/** Whether this run of the instance, not an earlier one, is a member. */
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

export interface HandoverPart {
  readonly receiver: InstanceId;
  readonly amount: number;
}

/**
 * Splits the tokens that a holder loses among the holders that grow, in proportion to their
 * growth. No receiver can get more from all senders together than its capacity grows by.
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
