/**
 * Tracks availability zones that may be lost as a whole. Once a relay of a zone is silent, the
 * relays of the other zones contact all members of the zone directly for a while. Without this,
 * each dead relay is evicted and replaced by another dead member in turn, which took 33 s for
 * 20 members.
 */

import type { InstanceId, ZoneId } from "../common/ids.ts";
import { lostZoneWatchMilliseconds } from "./constants.ts";
import { type Members, zonesWithSilentRelays } from "./peer-group.ts";

export class LostZones {
  readonly #watchedUntil = new Map<ZoneId, number>();

  /** Members to contact directly. A zone stays watched while any of its members is silent. */
  membersToContact(
    members: Members,
    silent: ReadonlySet<InstanceId>,
    now: number,
  ): InstanceId[] {
    const zonesStillSilent = [...silent].flatMap((instance) => {
      const zone = members.get(instance)?.zone;
      return zone !== undefined && this.#watchedUntil.has(zone) ? [zone] : [];
    });
    for (
      const zone of [
        ...zonesWithSilentRelays(members, silent),
        ...zonesStillSilent,
      ]
    ) {
      this.#watchedUntil.set(zone, now + lostZoneWatchMilliseconds);
    }
    for (const [zone, until] of this.#watchedUntil) {
      if (now > until) this.#watchedUntil.delete(zone);
    }
    if (this.#watchedUntil.size === 0) return [];
    return [...members.values()].filter(({ zone }) =>
      this.#watchedUntil.has(zone)
    )
      .map((member) => member.instance);
  }
}
