/**
 * Assigns partitions, coordinators and limiter shares to members by rendezvous hashing. Only
 * active members are owners. Results are cached for as long as the members stay the same.
 */

import { pickByRendezvous, rankByRendezvous } from "../common/hashing.ts";
import type { InstanceId, PartitionNumber } from "../common/ids.ts";
import type {
  ControlState,
  Member,
  OwnerLookup,
  PartitionOwnerLookup,
} from "./control-state.ts";

/**
 * Owners in the cache, which is cleared when it is full. The limit is enough for the owners of
 * 1,000 engines and 4,096 partitions.
 */
const maximumCachedItems = 20_000;
/** Rankings in the cache. Each one lists every active member, so fewer are kept. */
const maximumCachedRankings = 2_000;

interface OwnerCache {
  readonly active: readonly InstanceId[];
  readonly owners: Map<string, InstanceId | undefined>;
  readonly rankings: Map<string, readonly InstanceId[]>;
}

/** Caches by map of members, which the reducer replaces only when the members change. */
const caches = new WeakMap<ReadonlyMap<InstanceId, Member>, OwnerCache>();

function getCache(members: ReadonlyMap<InstanceId, Member>): OwnerCache {
  let cache = caches.get(members);
  if (!cache) {
    const active = [...members.values()]
      .filter((member) => member.state === "active")
      .map((member) => member.instance)
      .sort();
    cache = { active, owners: new Map(), rankings: new Map() };
    caches.set(members, cache);
  }
  return cache;
}

function getOrCompute<Value>(
  map: Map<string, Value>,
  limit: number,
  key: string,
  compute: () => Value,
): Value {
  const cached = map.get(key);
  if (cached !== undefined) return cached;
  const value = compute();
  if (map.size >= limit) map.clear();
  map.set(key, value);
  return value;
}

export const ownerOf: OwnerLookup = (state, item) => {
  const { active, owners } = getCache(state.members);
  return getOrCompute(
    owners,
    maximumCachedItems,
    item,
    () => pickByRendezvous(item, active),
  );
};

export const partitionOwner: PartitionOwnerLookup = (
  state,
  partition: PartitionNumber,
) => ownerOf(state, `partition/${partition}`);

/** Active members by descending rendezvous score for the item; the first one is the owner. */
export function rankedMembers(
  state: ControlState,
  item: string,
): readonly InstanceId[] {
  const { active, rankings } = getCache(state.members);
  return getOrCompute(
    rankings,
    maximumCachedRankings,
    item,
    () => rankByRendezvous(item, active),
  );
}
