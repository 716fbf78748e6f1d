/** Derives the limits of an instance from the size of its machine. */

import {
  collectionResidentShare,
  connectionBytes,
  connectionMemoryShare,
  descriptorsPerCaller,
  heldShare,
  maximumReservedDescriptors,
  minimumHeldBytes,
  minimumReservedDescriptors,
  ordinaryResidentBytes,
  reservedDescriptorShare,
  tightResidentShare,
} from "./constants.ts";

export interface MachineResources {
  /** A process whose resident memory exceeds this is killed. */
  readonly memoryBytes: number;
  readonly maximumDescriptors: number;
}

export interface ResourceLimits {
  /** Bytes that may be held for others at the same time. */
  readonly heldBytes: number;
  /** Resident memory above which garbage is collected. */
  readonly collectionResidentBytes: number;
  /** Resident memory above which large bodies are not read. */
  readonly tightResidentBytes: number;
  readonly callerConnections: number;
  readonly peerConnections: number;
}

/** Limits of a process that does not know its machine, as in tests with several instances. */
export const unknownMachineLimits: ResourceLimits = {
  heldBytes: 512 * 1024 * 1024,
  collectionResidentBytes: Number.POSITIVE_INFINITY,
  tightResidentBytes: Number.POSITIVE_INFINITY,
  callerConnections: 4_096,
  peerConnections: 1_024,
};

export function limitsOf(
  { memoryBytes, maximumDescriptors }: MachineResources,
): ResourceLimits {
  const reserved = Math.min(
    maximumReservedDescriptors,
    Math.max(
      minimumReservedDescriptors,
      Math.floor(maximumDescriptors * reservedDescriptorShare),
    ),
  );
  return {
    heldBytes: Math.max(
      minimumHeldBytes,
      Math.floor((memoryBytes - ordinaryResidentBytes) * heldShare),
    ),
    collectionResidentBytes: memoryBytes * collectionResidentShare,
    tightResidentBytes: memoryBytes * tightResidentShare,
    callerConnections: Math.max(
      1,
      Math.min(
        Math.floor((maximumDescriptors - reserved) / descriptorsPerCaller),
        Math.floor(memoryBytes * connectionMemoryShare / connectionBytes),
      ),
    ),
    // Peers and the store share the reserve.
    peerConnections: Math.floor(reserved / 2),
  };
}
