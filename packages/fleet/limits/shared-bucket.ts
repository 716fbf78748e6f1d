/**
 * One instance's copy of a token bucket that the whole fleet shares. Every instance counts its
 * own admissions and receives the counts of its peers, so all copies agree after one report
 * interval. While the demand of the fleet exceeds the rate, an instance spends between two
 * reports only its share of the level, in proportion to its share of the demand, so that all
 * instances together stay within the level. A member that this instance no longer hears from is
 * assumed to spend an equal share of the rate. A bucket of few tokens is always shared in this way,
 * in whole tokens.
 */

import type { InstanceId } from "../../common/ids.ts";
import {
  contentionDemandRatio,
  demandFloorPerSecond,
  demandSmoothingMilliseconds,
  reportLagSeconds,
  toleratedOverdraftRequests,
} from "./constants.ts";

/** A token bucket's refill rate and its capacity `burst`, in requests. */
export interface BucketLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** An instance's usage of a bucket, as it reports it to its peers. */
export interface BucketUsage {
  /** Requests admitted so far; never decreases within an incarnation. */
  readonly admitted: number;
  /** Requests per second, admitted or refused. */
  readonly demandPerSecond: number;
  /** Tokens left for the whole fleet, by this instance's copy of the bucket. */
  readonly level: number;
}

/** The inputs of an admission decision, for the logs. */
export interface BucketState extends FleetView {
  /** Tokens left for the whole fleet; below 0 if the fleet has overdrawn the bucket. */
  readonly level: number;
  /** Tokens that this instance may spend until the next refresh. */
  readonly allowance: number;
  readonly ratePerSecond: number;
  readonly ownDemandPerSecond: number;
  readonly fleetDemandPerSecond: number;
}

/** How much of the fleet an instance currently hears from. */
export interface FleetView {
  /** All members, including this instance. */
  readonly members: number;
  /** Members heard from recently, including this instance. */
  readonly heard: number;
}

export interface BucketOptions {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** The bucket starts with `burst` tokens; otherwise with `initialLevel`. */
  readonly startsFull: boolean;
  readonly initialLevel?: number;
  /** Requests that earlier buckets of this incarnation for the same limit have admitted. */
  readonly admitted?: number;
  /** When the level is divided among the instances; otherwise each may spend all of it. */
  readonly sharing?: "under_contention" | "always";
  /** Returns a number from 0 (inclusive) to 1 (exclusive), like `Math.random`. */
  readonly random?: () => number;
}

interface PeerUsage {
  readonly incarnation: string;
  admitted: number;
  demandPerSecond: number;
}

const millisecondsPerSecond = 1_000;

export class SharedBucket {
  readonly #random: () => number;
  readonly #sharing: "under_contention" | "always";
  #limit: BucketLimit;
  #level: number;
  /** False until the level of the fleet is known to a copy that did not start full. */
  #hasLevel: boolean;
  #refilledAt: number;
  #admitted: number;
  /** Exponential moving average of the requests per second. */
  #demandPerSecond = 0;
  #demandUpdatedAt: number;
  #allowance = 0;
  /** Share of the members that this instance heard from at the last refresh. */
  #heardShare = 1;
  readonly #peers = new Map<InstanceId, PeerUsage>();

  constructor(
    limit: BucketLimit,
    {
      now,
      startsFull,
      initialLevel = 0,
      admitted = 0,
      sharing = "under_contention",
      random = Math.random,
    }: BucketOptions,
  ) {
    this.#random = random;
    this.#sharing = sharing;
    this.#limit = limit;
    this.#admitted = admitted;
    this.#hasLevel = startsFull;
    this.#level = startsFull
      ? limit.burst
      : Math.min(initialLevel, limit.burst);
    this.#refilledAt = now;
    this.#demandUpdatedAt = now;
  }

  get level(): number {
    return this.#level;
  }

  /** Requests that this instance may admit until the next refresh. */
  get allowance(): number {
    return this.#allowance;
  }

  setLimit(limit: BucketLimit, now: number): void {
    this.#refill(now);
    this.#limit = limit;
    this.#level = Math.min(this.#level, limit.burst);
  }

  /** Takes a token if the allowance permits it; counts the request as demand in either case. */
  take(now: number): boolean {
    if (this.#allowance < 1) {
      this.#countDemand(now);
      return false;
    }
    this.spend(now);
    return true;
  }

  /** Takes a token whatever the allowance. */
  spend(now: number): void {
    this.#countDemand(now);
    this.#allowance -= 1;
    this.#level -= 1;
    this.#admitted += 1;
  }

  /** Returns a token that was taken for nothing. Peers learn of it by the next one that is taken. */
  giveBack(): void {
    this.#allowance += 1;
    this.#level = Math.min(this.#level + 1, this.#limit.burst);
    this.#admitted = Math.max(0, this.#admitted - 1);
  }

  /** Discards all tokens. */
  empty(now: number): void {
    this.#level = Math.min(this.#level, 0);
    this.#allowance = 0;
    this.#refilledAt = Math.max(now, this.#refilledAt);
  }

  /** Recomputes the allowance; called once per report interval. */
  refresh(now: number, view: FleetView): void {
    const heardShare = view.heard / Math.max(1, view.members);
    // The rest of the level is left to the members that are no longer heard from.
    if (heardShare < this.#heardShare && this.#level > 0) {
      this.#level *= heardShare / this.#heardShare;
    }
    this.#heardShare = heardShare;
    this.#refill(now);
    this.#decayDemand(now);
    const level = Math.max(0, this.#level);
    if (this.#sharing === "always") {
      this.#allowance = stochasticRound(
        Math.floor(level) * this.#ownShare(view),
        this.#random,
      );
      return;
    }
    this.#allowance = this.#isContended(view)
      ? stochasticRound(level * this.#ownShare(view), this.#random)
      : level;
  }

  /** The inputs of the last admission decision, for the logs. */
  describe(view: FleetView): BucketState {
    return {
      level: this.#level,
      allowance: this.#allowance,
      ratePerSecond: this.#limit.ratePerSecond,
      ownDemandPerSecond: this.#demandPerSecond,
      fleetDemandPerSecond: this.#totalDemand(),
      ...view,
    };
  }

  ownUsage(): BucketUsage {
    return {
      admitted: this.#admitted,
      demandPerSecond: this.#demandPerSecond,
      level: this.#level,
    };
  }

  /**
   * Deducts what a peer has admitted since its previous report. The first report of an
   * incarnation only sets the baseline. A copy that did not start full takes its level from the
   * first peer that reports one, and returns true then.
   */
  recordPeerUsage(
    peer: InstanceId,
    incarnation: string,
    usage: BucketUsage,
  ): boolean {
    const takesLevel = !this.#hasLevel;
    if (takesLevel) {
      this.#hasLevel = true;
      this.#level = Math.min(usage.level, this.#limit.burst);
    }
    const known = this.#peers.get(peer);
    if (known?.incarnation !== incarnation) {
      const { admitted, demandPerSecond } = usage;
      this.#peers.set(peer, { incarnation, admitted, demandPerSecond });
      return takesLevel;
    }
    const spent = Math.max(0, usage.admitted - known.admitted);
    known.admitted = Math.max(known.admitted, usage.admitted);
    known.demandPerSecond = usage.demandPerSecond;
    this.#level -= spent;
    return takesLevel;
  }

  forgetPeer(peer: InstanceId): void {
    this.#peers.delete(peer);
  }

  /** Estimated time until a refused request may be admitted. */
  retryAfterMilliseconds(view: FleetView): number {
    const missingTokens = Math.max(1, 1 / this.#ownShare(view) - this.#level);
    const rate = Math.max(this.#limit.ratePerSecond * this.#heardShare, 0.1);
    return Math.min(
      missingTokens / rate * millisecondsPerSecond,
      maximumRetryAfterMilliseconds,
    );
  }

  #refill(now: number): void {
    const seconds = Math.max(0, now - this.#refilledAt) / millisecondsPerSecond;
    this.#refilledAt = Math.max(now, this.#refilledAt);
    const gained = seconds * this.#limit.ratePerSecond * this.#heardShare;
    this.#level = Math.min(this.#limit.burst, this.#level + gained);
  }

  #ownShare({ heard }: FleetView): number {
    return (this.#demandPerSecond + demandFloorPerSecond) /
      (this.#totalDemand() + demandFloorPerSecond * Math.max(1, heard));
  }

  /** Whether more is demanded than the rate allows, so that instances compete for the level. */
  #isContended({ heard }: FleetView): boolean {
    const total = this.#totalDemand() + demandFloorPerSecond * heard;
    // The level can be overdrawn by at most the requests that arrive within the report lag.
    const possibleOverdraft = this.#totalDemand() * reportLagSeconds;
    return possibleOverdraft > toleratedOverdraftRequests &&
      total > this.#limit.ratePerSecond * contentionDemandRatio;
  }

  #totalDemand(): number {
    let total = this.#demandPerSecond;
    for (const peer of this.#peers.values()) total += peer.demandPerSecond;
    return total;
  }

  #countDemand(now: number): void {
    this.#decayDemand(now);
    this.#demandPerSecond += millisecondsPerSecond /
      demandSmoothingMilliseconds;
  }

  #decayDemand(now: number): void {
    const elapsed = Math.max(0, now - this.#demandUpdatedAt);
    this.#demandUpdatedAt = now;
    this.#demandPerSecond *= Math.exp(-elapsed / demandSmoothingMilliseconds);
  }
}

/** Rounds up with a probability equal to the fraction, so that the mean stays exact. */
function stochasticRound(value: number, random: () => number): number {
  const whole = Math.floor(value);
  return whole + (random() < value - whole ? 1 : 0);
}

const maximumRetryAfterMilliseconds = 2_000;
