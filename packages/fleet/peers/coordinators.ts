/**
 * Chooses the coordinators of a fleet. Coordinators exchange reports with each other, hold the
 * shared state of loads, limits and batch jobs, and decide for the other instances, their
 * dependents. Their number is bounded, so that the cost of the reports does not grow with the
 * square of the fleet; a small fleet consists of coordinators only.
 */

import { hashNumber, rankByRendezvous } from "../../common/hashing.ts";
import type { InstanceId } from "../../common/ids.ts";
import type { Member } from "./members.ts";

/** Fleets up to this size consist of coordinators only. */
export const maximumCoordinators = 16;
/**
 * Number of coordinators of large fleets. The reports between them are most of what a large fleet
 * costs at rest, and grow with the square of this number.
 */
export const coordinatorsOfLargeFleet = 8;
/** Above the maximum, there is one coordinator less for each of so many further members. */
const membersPerCoordinatorLess = 4;

/** Falls with the size in small steps, so that a member that comes or goes changes few roles. */
export function coordinatorCount(members: number): number {
  const further = Math.max(0, members - maximumCoordinators);
  const fewer = Math.ceil(further / membersPerCoordinatorLess);
  return Math.max(coordinatorsOfLargeFleet, maximumCoordinators - fewer);
}

/**
 * Chooses up to `count` members, evenly over the availability zones and in each zone those with
 * the largest capacity first. The choice depends only on the members, so that instances with the
 * same member list agree on it, and a member that joins or leaves changes it by one at most.
 */
export function chooseCoordinators(
  members: readonly Member[],
  count = coordinatorCount(members.length),
): Member[] {
  if (members.length <= count) return [...members];
  const zones = new Map<string, Member[]>();
  for (const member of members) {
    const zone = zones.get(member.zone) ?? [];
    zone.push(member);
    zones.set(member.zone, zone);
  }
  const rankedZones = [...zones]
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([, zone]) => rankByCapacity(zone));
  const chosen: Member[] = [];
  for (let rank = 0; chosen.length < count; rank++) {
    for (const zone of rankedZones) {
      const member = zone[rank];
      if (member && chosen.length < count) chosen.push(member);
    }
  }
  return chosen;
}

function rankByCapacity(members: readonly Member[]): Member[] {
  return members
    .map((member) => ({ member, tieBreaker: hashNumber(member.instance) }))
    .sort((left, right) =>
      right.member.capacity - left.member.capacity ||
      right.tieBreaker - left.tieBreaker
    )
    .map(({ member }) => member);
}

/** The coordinators in the order in which a dependent asks them: those of its own zone first. */
export function rankCoordinators(
  dependent: { readonly instance: InstanceId; readonly zone: string },
  coordinators: readonly Member[],
): InstanceId[] {
  const rank = (members: readonly Member[]) =>
    rankByRendezvous(
      dependent.instance,
      members.map(({ instance }) => instance),
    );
  const isNear = ({ zone }: Member) => zone === dependent.zone;
  return [
    ...rank(coordinators.filter(isNear)),
    ...rank(coordinators.filter((member) => !isNear(member))),
  ];
}
