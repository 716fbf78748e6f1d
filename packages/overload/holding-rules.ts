/** Decides which holdings may grow and which are evicted. Pure functions. */

import type { ClientId } from "../common/ids.ts";
import {
  maximumKeptShare,
  protectedClientShare,
  smallHoldingBytes,
  smallHoldingsShare,
  stallUnderPressureMilliseconds,
} from "./constants.ts";

export interface GrowthQuestion {
  readonly limitBytes: number;
  /** Of all holdings. */
  readonly heldBytes: number;
  /** Of the holding that asks. */
  readonly ownBytes: number;
  readonly requestedBytes: number;
  /** The resident memory of the process is close to that of the machine. */
  readonly isMemoryTight: boolean;
}

/** Small holdings may use all of the budget, others leave a share of it to them. */
export function mayGrow(
  { limitBytes, heldBytes, ownBytes, requestedBytes, isMemoryTight }:
    GrowthQuestion,
): boolean {
  const isSmall = ownBytes + requestedBytes <= smallHoldingBytes;
  if (isMemoryTight && !isSmall) return false;
  const limit = isSmall ? limitBytes : limitBytes * (1 - smallHoldingsShare);
  return heldBytes + requestedBytes <= limit;
}

export interface HeldSums {
  readonly limitBytes: number;
  readonly heldBytes: number;
  /** Those of them that are not refused. */
  readonly keptBytes: number;
}

/**
 * The bytes that count against the budget. Bytes that have to be kept leave a share of it to others:
 * without that, the results of jobs could keep all requests from being read until they expire.
 */
export function countedBytes(
  { limitBytes, heldBytes, keptBytes }: HeldSums,
): number {
  return heldBytes - Math.max(0, keptBytes - limitBytes * maximumKeptShare);
}

export interface EvictionCandidate {
  readonly client: ClientId;
  readonly bytes: number;
  /** Monotonic milliseconds. */
  readonly lastProgressAt: number;
  /** Progress in the last interval. */
  readonly bytesPerSecond: number;
  /** The instance itself does not read it at present, so that it cannot make progress. */
  readonly isWaiting: boolean;
}

export interface EvictionQuestion<Candidate extends EvictionCandidate> {
  /** Holdings that can be evicted; complete bodies, whose requests may run, are not among them. */
  readonly candidates: Iterable<Candidate>;
  readonly now: number;
  /** The client that needs room; without it only holdings without progress are evicted. */
  readonly requester?: {
    readonly client: ClientId;
    readonly requestedBytes: number;
  };
  readonly limitBytes: number;
}

/**
 * Returns the holding to evict next, or undefined if none should be. Holdings without progress
 * come first, of the client that holds most; otherwise a client that holds more than its protected
 * share, and much more than the requester, gives up its slowest and largest holding.
 */
export function chooseEviction<Candidate extends EvictionCandidate>(
  { candidates, now, requester, limitBytes }: EvictionQuestion<Candidate>,
): Candidate | undefined {
  const all = [...candidates].filter(({ bytes }) => bytes > 0);
  const bytesByClient = sumByClient(all);
  const bytesOf = (client: ClientId) => bytesByClient.get(client) ?? 0;
  const compare = (left: Candidate, right: Candidate) =>
    bytesOf(right.client) - bytesOf(left.client) ||
    left.bytesPerSecond - right.bytesPerSecond || right.bytes - left.bytes;
  const stalled = all.filter(({ isWaiting, lastProgressAt }) =>
    !isWaiting && now - lastProgressAt >= stallUnderPressureMilliseconds
  );
  if (stalled.length > 0) return firstOf(stalled, compare);
  if (!requester) return undefined;
  const ownBytes = bytesOf(requester.client) + requester.requestedBytes;
  const excessive = all.filter(({ client }) =>
    client !== requester.client &&
    bytesOf(client) > limitBytes * protectedClientShare &&
    bytesOf(client) > 2 * ownBytes
  );
  return firstOf(excessive, compare);
}

/** The client that holds most; undefined if there is none. */
export function largestClientOf(
  candidates: Iterable<EvictionCandidate>,
): ClientId | undefined {
  const sums = [...sumByClient(candidates)];
  return firstOf(sums, ([, left], [, right]) => right - left)?.[0];
}

function sumByClient(
  candidates: Iterable<EvictionCandidate>,
): Map<ClientId, number> {
  const sums = new Map<ClientId, number>();
  for (const { client, bytes } of candidates) {
    sums.set(client, (sums.get(client) ?? 0) + bytes);
  }
  return sums;
}

/** The first element in the given order, without sorting all. */
function firstOf<Item>(
  items: readonly Item[],
  compare: (left: Item, right: Item) => number,
): Item | undefined {
  let first = items[0];
  for (const item of items) if (compare(item, first!) < 0) first = item;
  return first;
}
