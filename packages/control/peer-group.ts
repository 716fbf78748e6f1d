/**
 * Determines which members exchange heartbeats. Up to 16 members form a full mesh. Above that,
 * three relays of each availability zone exchange heartbeats with all other relays and with the
 * members of their zone, which are leaves. The result depends on the members only.
 */

import { rankByRendezvous } from "../common/hashing.ts";
import type { Incarnation, InstanceId, ZoneId } from "../common/ids.ts";
import { maximumFullMeshMembers, relaysPerZone } from "./constants.ts";
import type { Member } from "./control-state.ts";

export type Members = ReadonlyMap<InstanceId, Member>;

/** The heartbeat peers of one instance. */
export interface PeerGroup {
  /**
   * `full`: exchanges heartbeats with all members; `relay`: with the relays of all zones;
   * `leaf`: with the relays of its own zone; `outside`: not a member.
   */
  readonly role: "full" | "relay" | "leaf" | "outside";
  /** Members whose majority decides what is in force. */
  readonly voters: readonly InstanceId[];
  /** Members to which the instance sends heartbeats. */
  readonly contacts: readonly InstanceId[];
  /** Members that must send heartbeats or replies to the instance, or are reported silent. */
  readonly watched: readonly InstanceId[];
}

/** Heartbeat topology of the whole fleet, which the peer group of each member is taken from. */
interface Topology {
  readonly isFullMesh: boolean;
  readonly voters: readonly InstanceId[];
  readonly relays: ReadonlyMap<ZoneId, readonly InstanceId[]>;
}

/** Topologies by map of members, which the reducer replaces only when the members change. */
const topologies = new WeakMap<Members, Topology>();

function getTopology(members: Members): Topology {
  let topology = topologies.get(members);
  if (!topology) {
    topology = createTopology(members);
    topologies.set(members, topology);
  }
  return topology;
}

function createTopology(members: Members): Topology {
  const sortedInstances = [...members.keys()].sort();
  if (members.size <= maximumFullMeshMembers) {
    return { isFullMesh: true, voters: sortedInstances, relays: new Map() };
  }
  const zones = new Map<ZoneId, Member[]>();
  for (const member of members.values()) {
    const zoneMembers = zones.get(member.zone);
    if (zoneMembers) zoneMembers.push(member);
    else zones.set(member.zone, [member]);
  }
  const relays = new Map(
    [...zones].map((
      [zone, zoneMembers],
    ) => [zone, pickRelays(zone, zoneMembers)]),
  );
  return {
    isFullMesh: false,
    voters: [...relays.values()].flat().sort(),
    relays,
  };
}

/** Picks relays by rendezvous ranking; leaving members only if there are too few active ones. */
function pickRelays(
  zone: ZoneId,
  zoneMembers: readonly Member[],
): InstanceId[] {
  const rank = (state: Member["state"]) =>
    rankByRendezvous(
      `relay/${zone}`,
      zoneMembers.filter((member) => member.state === state)
        .map((member) => member.instance),
    );
  return [...rank("active"), ...rank("leaving")].slice(0, relaysPerZone);
}

/** Members whose majority decides what is in force. */
export function votersOf(members: Members): readonly InstanceId[] {
  return getTopology(members).voters;
}

export function createPeerGroup(members: Members, self: InstanceId): PeerGroup {
  const { isFullMesh, voters, relays } = getTopology(members);
  const own = members.get(self);
  const withoutSelf = (instances: readonly InstanceId[]) =>
    instances.filter((instance) => instance !== self);
  if (!own) return { role: "outside", voters, contacts: voters, watched: [] };
  if (isFullMesh) {
    const others = withoutSelf(voters);
    return { role: "full", voters, contacts: others, watched: others };
  }
  const ownRelays = relays.get(own.zone) ?? [];
  if (!ownRelays.includes(self)) {
    return { role: "leaf", voters, contacts: ownRelays, watched: [] };
  }
  const otherRelays = withoutSelf(voters);
  const leaves = [...members.values()]
    .filter(({ zone, instance }) =>
      zone === own.zone && !ownRelays.includes(instance)
    )
    .map((member) => member.instance);
  return {
    role: "relay",
    voters,
    contacts: otherRelays,
    watched: [...otherRelays, ...leaves],
  };
}

/** Zones in which at least one relay is silent. */
export function zonesWithSilentRelays(
  members: Members,
  silent: ReadonlySet<InstanceId>,
): ZoneId[] {
  if (silent.size === 0) return [];
  return [...getTopology(members).relays]
    .filter(([, relays]) => relays.some((relay) => silent.has(relay)))
    .map(([zone]) => zone);
}

/**
 * Members whose reports decide whether the suspect is proposed for eviction; never the suspect
 * itself. For a leaf they are the relays of its zone, or all voters if those are all silent.
 */
export function watchersOf(
  members: Members,
  suspect: InstanceId,
  silent: ReadonlySet<InstanceId>,
): readonly InstanceId[] {
  const { voters, relays } = getTopology(members);
  const member = members.get(suspect);
  const regularWatchers = member && !voters.includes(suspect)
    ? relays.get(member.zone) ?? []
    : voters;
  const watchers = regularWatchers.every((instance) => silent.has(instance))
    ? voters
    : regularWatchers;
  return watchers.filter((instance) => instance !== suspect);
}

/** Key that identifies one incarnation of a member. */
export function incarnationKey(
  { instance, incarnation }: {
    instance: InstanceId;
    incarnation: Incarnation;
  },
): string {
  return `${instance}\n${incarnation}`;
}

export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
