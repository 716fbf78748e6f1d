/**
 * Manages the membership of this instance: appends its join and leave records and joins again
 * with a new incarnation after an eviction.
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

/** Identity and addresses with which the instance joins. */
export interface ControlIdentity {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  /** Host and port for connections from peers. */
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
  /** Whether the instance is fresh and reaches a majority of the voters. */
  canServe: () => boolean;
  /** Returns the incarnation with which to join again. */
  renewIncarnation: (
    previous: Incarnation,
  ) => Incarnation | Promise<Incarnation>;
  /** Called when the instance has applied its own eviction. */
  onEvicted: () => void;
  /** Called when another process has joined under this instance id; this one must stop. */
  onReplaced: () => void;
}

interface PendingJoin {
  /** Offset of the join record, once the log has accepted it. */
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

  /** Appends the join record and resolves when it was applied. */
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

  /**
   * Rejects pending joins whose record was applied without effect: their incarnation has already
   * ended.
   */
  handleAppliedOffset(offset: number): void {
    this.#appliedOffset = offset;
    for (const pending of this.#pendingJoins) {
      if (pending.offset === undefined || pending.offset > offset) continue;
      this.#pendingJoins.delete(pending);
      pending.reject(
        new RosemaryrudderError(
          "join_refused",
          `the incarnation ${this.#incarnation} has ended and cannot join again`,
        ),
      );
    }
  }

  /** Marks the instance as leaving. It owns nothing once the record is applied. */
  announceLeaving(): Promise<Offset> {
    this.#isLeaving = true;
    return this.#appendMembershipRecord("member-leaving");
  }

  leave(): Promise<Offset> {
    this.#isLeaving = true;
    return this.#appendMembershipRecord("member-left");
  }

  /** Checks after each change of the members whether this incarnation is still one of them. */
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
