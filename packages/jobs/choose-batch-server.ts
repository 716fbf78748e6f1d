/** Chooses a server for a batch item among those with slots that online requests leave free. */

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
  let bestScore = 0;
  for (const candidate of candidates) {
    if (candidate.isAvoided) continue;
    const free = freeSlots(candidate, slotsKeptFree);
    // Of two servers with equally many free slots, the one in the same zone is preferred.
    const score = free > 0
      ? (free + (candidate.isSameZone ? sameZoneBonus : 0)) *
        healthWeight(candidate)
      : 0;
    if (score > bestScore) {
      best = candidate.id;
      bestScore = score;
    }
  }
  return best;
}

/** Added to the free slots of a server in the zone of this instance. */
const sameZoneBonus = 0.5;
