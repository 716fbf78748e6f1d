/** Chooses a server for an item from what online requests leave free. */

import type { InstanceId } from "../common/ids.ts";
import {
  freeSlots,
  healthWeight,
  type ServerCandidate,
} from "../gateway/choose-server.ts";

export function chooseBatchServer(
  candidates: readonly ServerCandidate[],
  slotsKeptFree: number,
): InstanceId | undefined {
  let best: InstanceId | undefined;
  let bestRoom = 0;
  for (const candidate of candidates) {
    if (candidate.isAvoided) continue;
    const room = freeSlots(candidate, slotsKeptFree);
    // Servers of the same zone go first among those with as much room.
    const rank = room > 0
      ? (room + (candidate.isSameZone ? sameZoneBonus : 0)) *
        healthWeight(candidate)
      : 0;
    if (rank > bestRoom) {
      best = candidate.id;
      bestRoom = rank;
    }
  }
  return best;
}

const sameZoneBonus = 0.5;
