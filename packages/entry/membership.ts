/**
 * Follows the member list in the store and maintains this instance's record in it: the record is
 * written at startup, written again if it was removed by mistake, and removed when the instance
 * leaves.
 */

import type { Offset, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import {
  encodeMember,
  type Member,
  type MemberTable,
} from "../fleet/peers/members.ts";
import type {
  KeyedRecord,
  KeyedStore,
  StreamPartition,
} from "../store/keyed-store.ts";
import { relaxedFollowWaitMilliseconds } from "../store/constants.ts";
import { PartitionFollower } from "../store/partition-follower.ts";
import { retryPauseMilliseconds } from "../store/retry-pause.ts";
import {
  memberReadPauseMilliseconds,
  membershipRetryMilliseconds,
} from "./constants.ts";

export interface MembershipOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  readonly self: Member;
  readonly members: MemberTable;
  /**
   * Called after a change. `isSettled`: the list was read for the first time and includes an
   * earlier start of this instance, so that the fleet has been running.
   */
  readonly onChange: (change: { readonly isSettled: boolean }) => void;
  readonly logger: Logger;
}

export class Membership {
  readonly #options: MembershipOptions;
  readonly #target: StreamPartition;
  readonly #follower: PartitionFollower;
  #isRegistering = false;
  #isStopped = false;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#target = {
      stream: options.stream,
      partition: 0 as PartitionNumber,
    };
    this.#follower = new PartitionFollower({
      store: options.store,
      target: this.#target,
      logger: options.logger,
      onRecords: (records, position, isSnapshot) =>
        this.#applyRecords(records, position, isSnapshot),
      pauseMilliseconds: () => memberReadPauseMilliseconds,
      waitMilliseconds: () => relaxedFollowWaitMilliseconds,
    });
  }

  /** True once the member list has been read from the store. */
  get isLoaded(): boolean {
    return this.#follower.position !== undefined;
  }

  /** Reads the list, and writes the record of this instance once it has been read. */
  start(): void {
    this.#follower.start();
  }

  /** Removes the record of a member; a failed write is logged and not retried. */
  async remove(member: Member): Promise<void> {
    try {
      await this.#options.store.append(this.#target, [{
        key: member.instance,
        value: undefined,
      }]);
    } catch (error) {
      this.#options.logger.warn("a member record could not be removed", {
        member: member.instance,
        reason: String(error),
      });
    }
  }

  async leave(): Promise<void> {
    this.#isStopped = true;
    this.#follower.stop();
    await this.remove(this.#options.self);
  }

  #applyRecords(
    records: readonly KeyedRecord[],
    position: Offset,
    isSnapshot: boolean,
  ): void {
    const { members, self, onChange } = this.#options;
    const isFirst = this.#follower.position === undefined;
    if (members.applyRecords(records, position, { isSnapshot })) {
      const own = members.get(self.instance);
      const hasEarlierStart = own !== undefined &&
        own.incarnation !== self.incarnation;
      onChange({ isSettled: isFirst && hasEarlierStart });
    }
    if (members.get(self.instance)?.incarnation !== self.incarnation) {
      void this.#register();
    }
  }

  /** Writes the record of this instance, with retries, unless the list already has it. */
  async #register(): Promise<void> {
    const { store, self, logger, members } = this.#options;
    if (this.#isRegistering) return;
    this.#isRegistering = true;
    for (let attempt = 1; !this.#isStopped; attempt++) {
      if (members.get(self.instance)?.incarnation === self.incarnation) break;
      try {
        await store.append(this.#target, [{
          key: self.instance,
          value: encodeMember(self),
        }]);
        break;
      } catch (error) {
        logger.warn("the member record of this instance could not be written", {
          reason: String(error),
        });
        await delay(
          systemTimers,
          retryPauseMilliseconds(error, {
            attempt,
            baseMilliseconds: membershipRetryMilliseconds,
          }),
        );
      }
    }
    this.#isRegistering = false;
  }
}
