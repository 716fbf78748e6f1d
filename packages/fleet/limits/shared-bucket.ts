/**
 * One instance's copy of a token bucket that the whole fleet shares. Every instance counts its
 * own admissions and hears the counts of its peers, so all copies agree after one report
 * interval. While the demand of the fleet exceeds the rate, an instance spends between two reports
 * only its part of the level, in proportion to its part of the demand, so that the sum of what all
 * spend stays within the level. A peer that is not heard is assumed to spend its even part of the
 * rate.
 */

import type { InstanceId } from "../../common/ids.ts";
import {
  contentionDemandRatio,
  demandFloorPerSecond,
  demandSmoothingMilliseconds,
  reportLagSeconds,
  toleratedOverdraftRequests,
} from "./constants.ts";

export interface BucketLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What an instance tells of its use of a bucket. Counts only rise within an incarnation. */
export interface BucketUsage {
  readonly admitted: number;
  readonly demandPerSecond: number;
}

/** The state of a bucket at an admission. */
export interface BucketState extends FleetView {
  readonly level: number;
  readonly allowance: number;
  readonly ratePerSecond: number;
  readonly ownDemandPerSecond: number;
  readonly fleetDemandPerSecond: number;
}

/** Which part of the fleet an instance hears. */
export interface FleetView {
  /** Members with this instance. */
  readonly members: number;
  /** Members that are heard, with this instance. */
  readonly heard: number;
}

export interface BucketOptions {
  readonly now: number;
  /** The bucket starts full; otherwise with `startLevel`. */
  readonly startsFull: boolean;
  readonly initialLevel?: number;
  /** Gives a number from 0 to 1. */
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
  #limit: BucketLimit;
  #level: number;
  #updatedAt: number;
  #admitted = 0;
  #demandPerSecond = 0;
  #demandUpdatedAt: number;
  #allowance = 0;
  #heardShare = 1;
  readonly #peers = new Map<InstanceId, PeerUsage>();

  constructor(
    limit: BucketLimit,
    {
      now,
      startsFull: isFull,
      initialLevel: startLevel = 0,
      random = Math.random,
    }: BucketOptions,
  ) {
    this.#random = random;
    this.#limit = limit;
    this.#level = isFull ? limit.burst : Math.min(startLevel, limit.burst);
    this.#updatedAt = now;
    this.#demandUpdatedAt = now;
  }

  get level(): number {
    return this.#level;
  }

  setLimit(limit: BucketLimit, now: number): void {
    this.#refill(now);
    this.#limit = limit;
    this.#level = Math.min(this.#level, limit.burst);
  }

  /** Takes a token if this instance may; counts the demand in either case. */
  take(now: number): boolean {
    this.#countDemand(now);
    if (this.#allowance < 1) return false;
    this.#allowance -= 1;
    this.#level -= 1;
    this.#admitted += 1;
    return true;
  }

  /** Renews what this instance may spend until the next report interval. */
  refresh(now: number, view: FleetView): void {
    const heardShare = view.heard / Math.max(1, view.members);
    // The rest of the level belongs to those that are not heard any more.
    if (heardShare < this.#heardShare && this.#level > 0) {
      this.#level *= heardShare / this.#heardShare;
    }
    this.#heardShare = heardShare;
    this.#refill(now);
    this.#decayDemand(now);
    const level = Math.max(0, this.#level);
    this.#allowance = this.#isContended(view)
      ? stochasticRound(level * this.#ownShare(view), this.#random)
      : level;
  }

  /** What decided the last admission, for the logs. */
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
    };
  }

  /** Takes the use that a peer reports into account. */
  recordPeerUsage(
    peer: InstanceId,
    incarnation: string,
    usage: BucketUsage,
  ): void {
    const known = this.#peers.get(peer);
    if (known?.incarnation !== incarnation) {
      this.#peers.set(peer, { incarnation, ...usage });
      return;
    }
    const spent = Math.max(0, usage.admitted - known.admitted);
    known.admitted = Math.max(known.admitted, usage.admitted);
    known.demandPerSecond = usage.demandPerSecond;
    this.#level -= spent;
  }

  forgetPeer(peer: InstanceId): void {
    this.#peers.delete(peer);
  }

  /** Time until a refused request may be admitted. */
  retryAfterMilliseconds(view: FleetView): number {
    const missingTokens = Math.max(1, 1 / this.#ownShare(view) - this.#level);
    const rate = Math.max(this.#limit.ratePerSecond * this.#heardShare, 0.1);
    return Math.min(
      missingTokens / rate * millisecondsPerSecond,
      maximumRetryAfterMilliseconds,
    );
  }

  #refill(now: number): void {
    const seconds = Math.max(0, now - this.#updatedAt) / millisecondsPerSecond;
    this.#updatedAt = now;
    const gained = seconds * this.#limit.ratePerSecond * this.#heardShare;
    this.#level = Math.min(this.#limit.burst, this.#level + gained);
  }

  #ownShare({ heard }: FleetView): number {
    return (this.#demandPerSecond + demandFloorPerSecond) /
      (this.#totalDemand() + demandFloorPerSecond * Math.max(1, heard));
  }

  /** More is asked for than the rate allows, so that instances compete for the level. */
  #isContended({ heard }: FleetView): boolean {
    const total = this.#totalDemand() + demandFloorPerSecond * heard;
    // What arrives in one report interval is the most by which the level can be overdrawn.
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

/** Rounds up with the probability of the fraction, so that the mean stays exact. */
function stochasticRound(value: number, random: () => number): number {
  const whole = Math.floor(value);
  return whole + (random() < value - whole ? 1 : 0);
}

const maximumRetryAfterMilliseconds = 2_000;
