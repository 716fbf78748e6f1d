/**
 * Keeps the instance a member for as long as it wants to be one: appends its membership records
 * and joins again with a new incarnation after an eviction.
 */

import { RosemaryrudderError } from "../common/errors.ts";
import type { Clock } from "../common/clock.ts";
import type { Incarnation, InstanceId, Offset, ZoneId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import {
  rejoinPollMilliseconds,
  rejoinResetAfterMilliseconds,
  rejoinUnreachableTimeoutMilliseconds,
} from "./constants.ts";
import type { Members } from "./peer-group.ts";
import { rejoinDelay } from "./schedules.ts";

export interface ControlIdentity {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  /** Address for frames from peers. */
  readonly host: string;
  readonly port: number;
  readonly metricsUrl: string;
}

export interface MembershipOptions {
  identity: ControlIdentity;
  incarnation: Incarnation;
  clock: Clock;
  logger: Logger;
  append: (entry: unknown) => Promise<Offset>;
  /** Whether the instance follows the log and reaches a majority of the voters. */
  canServe: () => boolean;
  /** Returns the incarnation with which to join again. */
  renewIncarnation: (
    previous: Incarnation,
  ) => Incarnation | Promise<Incarnation>;
  /** The instance has read its own eviction. */
  onEvicted: () => void;
  /** Another process has joined under the same instance id; this one must stop. */
  onReplaced: () => void;
}

interface PendingJoin {
  /** Offset of the record, once the log has named it. */
  offset: Offset | undefined;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

export class Membership {
  readonly #options: MembershipOptions;
  readonly #pendingJoins = new Set<PendingJoin>();
  #incarnation: Incarnation;
  #isMember = false;
  #isLeaving = false;
  #isStopped = false;
  #joinedAt = 0;
  #appliedOffset = -1;
  #consecutiveEvictions = 0;
  rejoins = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#incarnation = options.incarnation;
  }

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  get isMember(): boolean {
    return this.#isMember;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Appends the join and resolves when it was read back. */
  join(): Promise<void> {
    return new Promise((resolve, reject) => {
      const pending: PendingJoin = { offset: undefined, resolve, reject };
      this.#pendingJoins.add(pending);
      this.#options.append({
        type: "member-joined",
        ...this.#options.identity,
        incarnation: this.#incarnation,
      }).then((offset) => {
        pending.offset = offset;
        this.handleAppliedOffset(this.#appliedOffset);
      }, (error) => {
        this.#pendingJoins.delete(pending);
        reject(error);
      });
    });
  }

  /** A join that was applied without effect used an incarnation that has ended already. */
  handleAppliedOffset(offset: number): void {
    this.#appliedOffset = offset;
    for (const pending of this.#pendingJoins) {
      if (pending.offset === undefined || pending.offset > offset) continue;
      this.#pendingJoins.delete(pending);
      pending.reject(
        new RosemaryrudderError(
          "join_refused",
          `the incarnation ${this.#incarnation} cannot join again`,
        ),
      );
    }
  }

  /** From the record on the instance owns nothing. */
  announceLeaving(): Promise<Offset> {
    this.#isLeaving = true;
    return this.#appendMembershipRecord("member-leaving");
  }

  leave(): Promise<Offset> {
    this.#isLeaving = true;
    return this.#appendMembershipRecord("member-left");
  }

  /** Looks for the own incarnation after each change of the members. */
  handleMembersChange(members: Members): void {
    const own = members.get(this.#options.identity.instance);
    const wasMember = this.#isMember;
    this.#isMember = own?.incarnation === this.#incarnation;
    if (this.#isMember && !wasMember) {
      this.#joinedAt = this.#options.clock.monotonicNow();
      for (const pending of this.#pendingJoins) pending.resolve();
      this.#pendingJoins.clear();
    }
    if (!wasMember || this.#isMember || this.#isStopped) return;
    if (own) {
      this.#options.logger.error(
        "another process has joined under this instance id",
        { otherIncarnation: own.incarnation },
      );
      this.#options.onReplaced();
    } else if (!this.#isLeaving) {
      this.#options.onEvicted();
      void this.#rejoin();
    }
  }

  async #rejoin(): Promise<void> {
    const { clock, logger, canServe, renewIncarnation } = this.#options;
    const evictedAt = clock.monotonicNow();
    const startsNewSeries =
      evictedAt - this.#joinedAt > rejoinResetAfterMilliseconds;
    this.#consecutiveEvictions = startsNewSeries
      ? 1
      : this.#consecutiveEvictions + 1;
    const delay = rejoinDelay(this.#consecutiveEvictions);
    logger.warn("the instance was evicted and will join again", {
      evictions: this.#consecutiveEvictions,
      delayMilliseconds: delay,
    });
    const isAborted = () => this.#isStopped || this.#isLeaving;
    while (!isAborted()) {
      const waited = clock.monotonicNow() - evictedAt;
      const isReady = waited >= delay && canServe();
      if (
        isReady || waited >= delay + rejoinUnreachableTimeoutMilliseconds
      ) break;
      await new Promise((resolve) =>
        setTimeout(resolve, rejoinPollMilliseconds)
      );
    }
    if (isAborted()) return;
    try {
      this.#incarnation = await renewIncarnation(this.#incarnation);
      this.rejoins += 1;
      await this.join();
    } catch (error) {
      logger.error("the instance could not join again", {
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #appendMembershipRecord(
    type: "member-leaving" | "member-left",
  ): Promise<Offset> {
    return this.#options.append({
      type,
      instance: this.#options.identity.instance,
      incarnation: this.#incarnation,
    });
  }
}
