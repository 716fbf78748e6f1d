/**
 * The rules by which the volume of the store decides: how long bodies of listed items are kept, and
 * whether a new job is accepted.
 */

import type { PartitionNumber } from "../common/ids.ts";
import {
  earlyBodyRemovalFill,
  immediateBodyRemovalFill,
  minimumBodyGraceMilliseconds,
  refusalFill,
} from "./constants.ts";

/** What an instance tells the others of the volume. */
export interface VolumeReport {
  readonly ownedPartitions: readonly PartitionNumber[];
  /** Live bytes of the owned partitions that are older than the history; undefined if unknown. */
  readonly storedBytes?: number | undefined;
  /** Bytes that the instance has written within the history. */
  readonly writtenBytes?: number | undefined;
}

/**
 * The stored volume: live records that are older than the history, by the owners of their partitions,
 * and everything that was written within the history. The volume of a partition that no instance
 * reports is estimated by `volumeOf`.
 */
export function estimateVolume(
  reports: readonly VolumeReport[],
  { partitions, volumeOf }: {
    readonly partitions: readonly PartitionNumber[];
    readonly volumeOf: (partition: PartitionNumber) => number;
  },
): number {
  const reported = new Set<PartitionNumber>();
  let volume = 0;
  for (const { ownedPartitions, storedBytes, writtenBytes = 0 } of reports) {
    volume += writtenBytes;
    if (storedBytes === undefined) continue;
    volume += storedBytes;
    for (const partition of ownedPartitions) reported.add(partition);
  }
  for (const partition of partitions) {
    if (!reported.has(partition)) volume += volumeOf(partition);
  }
  return volume;
}

/** How long the body of a listed item is kept; the fuller the store, the shorter. */
export function bodyGraceMilliseconds(
  fill: number,
  lifetimeMilliseconds: number,
): number {
  if (fill <= earlyBodyRemovalFill) return Number.POSITIVE_INFINITY;
  const share = (immediateBodyRemovalFill - fill) /
    (immediateBodyRemovalFill - earlyBodyRemovalFill);
  return Math.max(minimumBodyGraceMilliseconds, share * lifetimeMilliseconds);
}

export interface RoomDemand {
  readonly volumeBytes: number;
  /** Bytes that the results of accepted jobs are expected to need. */
  readonly expectedBytes: number;
  readonly jobBytes: number;
  readonly capacityBytes: number;
}

export function hasRoom(
  { volumeBytes, expectedBytes, jobBytes, capacityBytes }: RoomDemand,
): boolean {
  return volumeBytes + expectedBytes + jobBytes <= capacityBytes * refusalFill;
}
