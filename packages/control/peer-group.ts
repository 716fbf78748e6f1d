/**
 * Who exchanges heartbeats with whom. Up to 16 members everybody does; above that, three relays
 * of each availability zone stand for their zone. All of it follows from the members alone.
 */

import { rankByRendezvous } from "../common/hashing.ts";
import type { Incarnation, InstanceId, ZoneId } from "../common/ids.ts";
import { maximumFullMeshMembers, relaysPerZone } from "./constants.ts";
import type { Member } from "./control-state.ts";

export type Members = ReadonlyMap<InstanceId, Member>;

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
  /** Members that the instance must hear from, by their heartbeats or answers. */
  readonly watched: readonly InstanceId[];
}

interface Topology {
  readonly isFullMesh: boolean;
  readonly voters: readonly InstanceId[];
  readonly relays: ReadonlyMap<ZoneId, readonly InstanceId[]>;
}

/** The reducer replaces the map of members only when the members change. */
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

/** Leaving members are relays only while no other members are there. */
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

/** Zones with a silent relay. */
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
 * Members whose reports decide whether the suspect is evicted; never the suspect itself. For a
 * leaf they are the relays of its zone, unless these are silent themselves.
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

/** Names one incarnation of a member. */
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
