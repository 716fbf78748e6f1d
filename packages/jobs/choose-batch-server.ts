/**
 * Chooses a server for a batch item among those with slots that online requests leave free. Answers
 * the load of more items than the free slots can run: few slots are kept free for online requests,
 * which displace a run where they find none.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  freeSlots,
  healthWeight,
  type ServerCandidate,
  slotsWithinLimit,
  speedWeight,
} from "../gateway/choose-server.ts";
import { negligibleFailureShare } from "../gateway/constants.ts";
import { slotsKeptFree, urgentSlackMilliseconds } from "./constants.ts";

/**
 * Slots of each server that the item leaves free for the next online requests: none when it has to
 * start now to be in time. The slack is the time left until it is due beyond what it still needs.
 */
export function slotsKeptFreeFor(slackMilliseconds: number): number {
  const isUrgent = slackMilliseconds > 0 &&
    slackMilliseconds < urgentSlackMilliseconds;
  return isUrgent ? 0 : slotsKeptFree;
}

/**
 * The servers for an item whose runs have failed: those at which it has not failed and which have
 * hardly failed anything recently, or else the most suitable ones. Answers the load of several
 * servers that fail every run at once and so have the most free slots: the next attempt of an item
 * may be its last.
 */
export function selectForRetry(
  candidates: readonly ServerCandidate[],
  failedAt: ReadonlySet<InstanceId>,
): readonly ServerCandidate[] {
  if (failedAt.size === 0) return candidates;
  const untried = candidates.filter(({ id }) => !failedAt.has(id));
  const sound = untried.filter(({ failureShare }) =>
    failureShare < negligibleFailureShare
  );
  if (sound.length > 0) return sound;
  return untried.length > 0 ? untried : candidates;
}

/**
 * Slots of the server that an item may use. The limit that a server states bounds them too; most of
 * the sends that it allows at once are left to online requests, unless the item is urgent.
 */
function slotsForItem(
  candidate: ServerCandidate,
  slotsKeptFree: number,
): number {
  const free = freeSlots(candidate, slotsKeptFree);
  const { sendBudget } = candidate;
  if (!sendBudget) return slotsWithinLimit(candidate, free);
  const { allowance, level, burst } = sendBudget;
  const sendsKept = slotsKeptFree > 0 ? (burst - 1) * sendShareKept : 0;
  return allowance < 1 || level < 1 + sendsKept ? 0 : Math.min(free, level);
}

export function chooseBatchServer(
  candidates: readonly ServerCandidate[],
  slotsKeptFree: number,
): InstanceId | undefined {
  let best: InstanceId | undefined;
  let bestScore = 0;
  for (const candidate of candidates) {
    if (candidate.isAvoided) continue;
    const free = slotsForItem(candidate, slotsKeptFree);
    // Of two servers with equally many free slots, the one in the same zone is preferred.
    const score = free > 0
      ? (free + (candidate.isSameZone ? sameZoneBonus : 0)) *
        healthWeight(candidate) * speedWeight(candidate)
      : 0;
    if (score > bestScore) {
      best = candidate.id;
      bestScore = score;
    }
  }
  return best;
}

/** Share of the sends that a server allows at once which items with time leave to online requests. */
const sendShareKept = 0.7;
/** Added to the free slots of a server in the zone of this instance. */
const sameZoneBonus = 0.5;
