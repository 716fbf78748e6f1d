/** Sizes and times of the limits on what an instance holds for others. */

/** Resident memory of an instance under ordinary load without held bytes; measured as 92 to 96 MB. */
export const ordinaryResidentBytes = 100_000_000;
/**
 * Share of the remaining memory that may be held. The rest is for garbage: buffers that are no
 * longer used stay resident until the next garbage collection.
 */
export const heldShare = 0.35;
/** Enough for one body of the largest usual size (4 MiB) and the copies that a submission makes. */
export const minimumHeldBytes = 24 * 1024 * 1024;
/** Above this share of the machine's memory, garbage is collected before more is read. */
export const collectionResidentShare = 0.66;
/** Above this share, only small bodies and one large holding of each kind go on. */
export const tightResidentShare = 0.76;
/** Buffers that are not held for others are collected as garbage above this size. */
export const collectedGarbageBytes = 12 * 1024 * 1024;
/**
 * Resident memory is measured after so many received or held bytes, and at this interval; a measurement
 * takes up to a millisecond.
 */
export const measuredReceivedBytes = 4 * 1024 * 1024;
export const measureIntervalMilliseconds = 1_000;
/** Shortest pause between two forced garbage collections, each of which takes 10 to 20 ms. */
export const collectionPauseMilliseconds = 50;

/** Largest holding that counts as small: what one read of a socket delivers. */
export const smallHoldingBytes = 64 * 1024;
/** Bodies up to this size are not held if they arrive with their head, as nearly all do. */
export const uncountedBodyBytes = 4 * 1024;
/** Answers up to this size, which nearly all are, are not held. */
export const uncountedAnswerBytes = 4 * 1024;
/**
 * What a request takes that waits for an earlier answer on its connection: the message, its state,
 * and a small answer. A caller can send hundreds of requests in one read of its connection.
 */
export const waitingRequestBytes = 8 * 1024;
/** Share of the budget that is kept for small holdings. */
export const smallHoldingsShare = 1 / 8;
/** Largest share of the budget that bytes which have to be kept take from all others. */
export const maximumKeptShare = 3 / 4;
/** A client is asked to give up bytes to others only above this share of the budget. */
export const protectedClientShare = 1 / 4;
/** Bytes that each received chunk is charged beyond its content. */
export const chunkOverheadBytes = 16;
/** Size of the blocks into which received chunks are copied. */
export const blockBytes = 64 * 1024;
/** Free blocks that are kept for the next bodies; 4 MB. */
export const maximumFreeBlocks = 64;

/** Interval at which holdings are checked for progress. */
export const sweepIntervalMilliseconds = 250;
/** Under pressure, a holding without progress for this time is evicted. */
export const stallUnderPressureMilliseconds = 1_000;
/** Longest time in total for which a body is not read since the budget is exhausted. */
export const maximumWaitMilliseconds = 5_000;
/** Bodies that may wait for the budget; up to one read of the socket of each is held besides. */
export const maximumWaitingHoldings = 64;
/**
 * Longest pause in a body until a configuration is known; afterwards its idle timeout, which is
 * the longest pause that callers are allowed.
 */
export const defaultIdleTimeoutMilliseconds = 15_000;

/**
 * Share of the descriptors that is kept for the store, peers, operators and files. Half of it is
 * for peers: in a fleet of 390 instances all others may ask the same coordinator for a while.
 */
export const reservedDescriptorShare = 1 / 3;
export const minimumReservedDescriptors = 64;
export const maximumReservedDescriptors = 1_400;
/** A caller's connection and the one to the server that answers it. */
export const descriptorsPerCaller = 2;
/** Share of the memory for the connections of callers, and what an open one takes. */
export const connectionMemoryShare = 0.12;
export const connectionBytes = 20_000;
/** A new connection is given this time to send a request before it may be evicted for others. */
export const newConnectionGraceMilliseconds = 1_000;
/** Share of the connections that are closed at once when the limit is reached. */
export const evictedConnectionShare = 1 / 64;
/** Connections to the metrics and readiness listeners. */
export const maximumOperatorConnections = 32;
