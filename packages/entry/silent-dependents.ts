/**
 * Removes dependents that no longer live from the member list. Each coordinator watches the
 * dependents that would ask it first. One that has not reported to it for a while may be attached
 * to another coordinator, so it is asked before its record is removed.
 */

import { pingTimeoutMilliseconds } from "../coordination/constants.ts";
import { pingMessage } from "../coordination/messages.ts";
import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Member } from "../fleet/peers/members.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { memberSilenceTimeoutMilliseconds } from "./constants.ts";

export interface SilentDependentsOptions {
  readonly network: PeerNetwork;
  /** Members that are no coordinators and would ask this instance first. */
  readonly watched: () => readonly Member[];
  /** Whether the instance is attached to this coordinator. */
  readonly isAttached: (instance: InstanceId) => boolean;
  readonly remove: (member: Member) => void;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly logger: Logger;
}

export class SilentDependents {
  readonly #options: SilentDependentsOptions;
  /** Since when each watched member has been neither attached nor found alive. */
  readonly #silentSince = new Map<InstanceId, number>();

  constructor(options: SilentDependentsOptions) {
    this.#options = options;
  }

  sweep(): void {
    const { watched, isAttached, now } = this.#options;
    const time = now();
    const members = watched();
    const known = new Set(members.map(({ instance }) => instance));
    for (const instance of this.#silentSince.keys()) {
      if (!known.has(instance)) this.#silentSince.delete(instance);
    }
    for (const member of members) {
      const { instance } = member;
      const since = this.#silentSince.get(instance);
      if (isAttached(instance)) this.#silentSince.delete(instance);
      else if (since === undefined) this.#silentSince.set(instance, time);
      else if (time - since > memberSilenceTimeoutMilliseconds) {
        void this.#check(member);
      }
    }
  }

  async #check(member: Member): Promise<void> {
    const { network, remove, logger } = this.#options;
    const { instance } = member;
    this.#silentSince.delete(instance);
    try {
      await network.request(instance, pingMessage, null, {
        deadlineMilliseconds: pingTimeoutMilliseconds,
      });
    } catch (error) {
      logger.info("a silent dependent is removed from the member list", {
        member: instance,
        reason: String(error),
      });
      remove(member);
    }
  }
}
