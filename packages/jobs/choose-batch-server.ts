/** Chooses a server for an item from what online requests leave free. */

import type { InstanceId } from "../common/ids.ts";
import type { ServerCandidate } from "../gateway/choose-server.ts";

/** Slots of the server that a further batch run may use. */
export function batchRoom(
  candidate: ServerCandidate,
  slotsKeptFree: number,
): number {
  if (candidate.isAvoided) return 0;
  return Math.max(
    0,
    candidate.slots - slotsKeptFree - candidate.online - candidate.batch,
  );
}

export function chooseBatchServer(
  candidates: readonly ServerCandidate[],
  slotsKeptFree: number,
): InstanceId | undefined {
  let best: InstanceId | undefined;
  let bestRoom = 0;
  for (const candidate of candidates) {
    const room = batchRoom(candidate, slotsKeptFree);
    // Servers of the same zone go first among those with as much room.
    const rank = room > 0
      ? room + (candidate.isSameZone ? sameZoneBonus : 0)
      : 0;
    if (rank > bestRoom) {
      best = candidate.id;
      bestRoom = rank;
    }
  }
  return best;
}

const sameZoneBonus = 0.5;
