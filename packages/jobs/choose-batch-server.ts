/** Chooses a server for an item from what online requests leave free. */

import type { InstanceId } from "../common/ids.ts";
import {
  freeSlots,
  type ServerCandidate,
  trustOf,
} from "../gateway/choose-server.ts";

export function chooseBatchServer(
  candidates: readonly ServerCandidate[],
  slotsKeptFree: number,
): InstanceId | undefined {
  let best: InstanceId | undefined;
  let bestScore = 0;
  for (const candidate of candidates) {
    if (candidate.isAvoided) continue;
    const free = freeSlots(candidate, slotsKeptFree);
    // Servers of the same zone go first among those with as much room.
    const score = free > 0
      ? (free + (candidate.isSameZone ? sameZoneBonus : 0)) * trustOf(candidate)
      : 0;
    if (score > bestScore) {
      best = candidate.id;
      bestScore = score;
    }
  }
  return best;
}

const sameZoneBonus = 0.5;
