/**
 * The zones that operators have evacuated: nothing new is sent to their servers. The records are in
 * the operators' stream, which every instance follows and peers pass on to each other.
 */

import type { ZoneId } from "../../common/ids.ts";

export interface EvacuatedZone {
  readonly zone: ZoneId;
  /** When this instance learnt of the evacuation; wall-clock milliseconds. */
  readonly since: number;
}

export class EvacuatedZones {
  readonly #since = new Map<ZoneId, number>();

  has(zone: ZoneId): boolean {
    return this.#since.has(zone);
  }

  all(): EvacuatedZone[] {
    return [...this.#since].map(([zone, since]) => ({ zone, since }));
  }

  /** Returns false if the evacuation of the zone is known already. */
  begin(zone: ZoneId, wallNow: number): boolean {
    if (this.#since.has(zone)) return false;
    this.#since.set(zone, wallNow);
    return true;
  }

  /** Returns false if the zone is not evacuated. */
  end(zone: ZoneId): boolean {
    return this.#since.delete(zone);
  }
}
