/**
 * The requests per second that servers state to take from all instances together. Each limit is a
 * bucket that the coordinators share, like that of a workspace; it begins empty. An instance that
 * hears no coordinator spends only its even part.
 */

import type { InstanceId } from "../../common/ids.ts";
import type { StatementEvidence } from "../server-statement.ts";
import type { ServerLifetime } from "../upstreams.ts";
import {
  burstRequests,
  burstSeconds,
  endedLimitLifetimeMilliseconds,
  minimumSendsPerSecond,
  unusedLimitsLifetimeMilliseconds,
} from "./constants.ts";
import {
  type BucketLimit,
  type BucketUsage,
  type FleetView,
  SharedBucket,
} from "./shared-bucket.ts";

/** The newest statement of a server that is known, as instances tell it to each other. */
export interface KnownLimit {
  readonly server: InstanceId;
  /** Start of the server's lifetime in which it made the statement. */
  readonly serverStartedAt: number;
  /** Null if the server has stated a limit before and does not any more. */
  readonly limitPerSecond: number | null;
  readonly ageMilliseconds: number;
  /** Learnt from another coordinator, and not from an answer to this instance or a dependent. */
  readonly isRelayed: boolean;
}

export interface LimitChange {
  readonly server: InstanceId;
  readonly limitPerSecond: number | null;
  readonly previous: number | null;
}

/** Usage of a server's bucket, as it is reported to peers. */
export interface ServerUsage extends BucketUsage {
  readonly server: InstanceId;
  readonly serverStartedAt: number;
}

/** What is left of a limit, as far as it is known to the instance that decides. */
export interface SendBudget {
  readonly limitPerSecond: number;
  /** Time since the server stated the limit. */
  readonly ageMilliseconds: number;
  /** Requests that this instance may send now. */
  readonly allowance: number;
  /** Requests that all instances together may send now; below 0 if more were sent. */
  readonly level: number;
  /** Largest value of the level. */
  readonly burst: number;
  /** Time until the fleet may send the next request. */
  readonly waitMilliseconds: number;
}

interface LimitRecord {
  readonly serverStartedAt: number;
  limitPerSecond: number | null;
  /** Monotonic milliseconds, here and in all parameters. */
  statedAt: number;
  isRelayed: boolean;
  readonly bucket: SharedBucket;
}

const millisecondsPerSecond = 1_000;

export class ServerLimits {
  readonly #records = new Map<InstanceId, LimitRecord>();
  readonly #random: () => number;
  #refreshedAt = Number.NEGATIVE_INFINITY;
  #changes = 0;

  constructor({ random = Math.random }: { random?: () => number } = {}) {
    this.#random = random;
  }

  /** Rises with each change of a limit. */
  get changes(): number {
    return this.#changes;
  }

  /** Records a statement in an answer to this instance; returns the change that it means. */
  record(
    server: ServerLifetime,
    limitPerSecond: number | null,
    { sentAt, statedAt }: Pick<StatementEvidence, "sentAt" | "statedAt">,
  ): LimitChange | undefined {
    return this.#apply(server, limitPerSecond, statedAt, {
      notBefore: sentAt,
      statedAt,
      isRelayed: false,
    });
  }

  /**
   * Records what another instance knows; a relayed limit only where this instance knows none.
   * `isDependent` means that this instance has to pass on what the other one has heard.
   */
  recordKnown(
    known: KnownLimit,
    now: number,
    { isDependent }: { readonly isDependent: boolean },
  ): LimitChange | undefined {
    const statedAt = now - known.ageMilliseconds;
    const record = this.#records.get(known.server);
    const isKnown = record?.serverStartedAt === known.serverStartedAt;
    if (known.isRelayed && isKnown) return undefined;
    return this.#apply(
      { id: known.server, startedAtMilliseconds: known.serverStartedAt },
      known.limitPerSecond,
      now,
      { notBefore: statedAt, statedAt, isRelayed: !isDependent },
    );
  }

  /** Limits in force, and those that have ended so recently that a peer may not know it. */
  known(now: number): KnownLimit[] {
    const known: KnownLimit[] = [];
    for (const [server, record] of this.#records) {
      const { serverStartedAt, limitPerSecond, statedAt, isRelayed } = record;
      const ageMilliseconds = Math.max(0, Math.round(now - statedAt));
      if (
        limitPerSecond === null &&
        ageMilliseconds > endedLimitLifetimeMilliseconds
      ) continue;
      known.push({
        server,
        serverStartedAt,
        limitPerSecond,
        ageMilliseconds,
        isRelayed,
      });
    }
    return known;
  }

  /** Limits that servers have stated to this instance since the given time. */
  heardSince(time: number, now: number): KnownLimit[] {
    return this.known(now).filter(({ isRelayed, ageMilliseconds }) =>
      !isRelayed && now - ageMilliseconds > time
    );
  }

  /** Number of limits in force. */
  get inForce(): number {
    let count = 0;
    for (const { limitPerSecond } of this.#records.values()) {
      if (limitPerSecond !== null) count += 1;
    }
    return count;
  }

  /** Undefined if the server has no limit. */
  budgetOf(server: ServerLifetime, now: number): SendBudget | undefined {
    const record = this.#recordInForce(server);
    if (!record) return undefined;
    const { bucket, limitPerSecond, statedAt } = record;
    const { ratePerSecond, burst } = bucketLimit(limitPerSecond);
    const missing = Math.max(0, 1 - bucket.level);
    return {
      limitPerSecond,
      ageMilliseconds: Math.max(0, Math.round(now - statedAt)),
      allowance: bucket.allowance,
      level: bucket.level,
      burst,
      waitMilliseconds: missing / ratePerSecond * millisecondsPerSecond,
    };
  }

  /** Counts a request that is about to be sent; each send counts, whatever its kind. */
  take(server: ServerLifetime, now: number): void {
    this.#recordInForce(server)?.bucket.spend(now);
  }

  /** Returns the token of a request that was not sent after all. */
  giveBack(server: InstanceId): void {
    this.#records.get(server)?.bucket.giveBack();
  }

  /** Recomputes all allowances; called once per report interval, or before a decision. */
  refresh(now: number, view: FleetView): void {
    const isStale = now - this.#refreshedAt > unusedLimitsLifetimeMilliseconds;
    this.#refreshedAt = now;
    for (const { bucket } of this.#records.values()) {
      // Tokens from a time in which this instance did not decide belong to others.
      if (isStale) bucket.empty(now);
      bucket.refresh(now, view);
    }
  }

  ownUsages(): ServerUsage[] {
    const usages: ServerUsage[] = [];
    for (const [server, record] of this.#records) {
      const { limitPerSecond, serverStartedAt, bucket } = record;
      if (limitPerSecond === null) continue;
      usages.push({ server, serverStartedAt, ...bucket.ownUsage() });
    }
    return usages;
  }

  recordPeerUsages(
    peer: InstanceId,
    incarnation: string,
    usages: readonly ServerUsage[],
  ): void {
    for (const usage of usages) {
      const record = this.#records.get(usage.server);
      if (record?.serverStartedAt !== usage.serverStartedAt) continue;
      record.bucket.recordPeerUsage(peer, incarnation, usage);
    }
  }

  forgetPeer(peer: InstanceId): void {
    for (const { bucket } of this.#records.values()) bucket.forgetPeer(peer);
  }

  /** Drops what was stated in another lifetime of the server. */
  startLifetime({ id, startedAtMilliseconds }: ServerLifetime): void {
    const record = this.#records.get(id);
    if (!record || record.serverStartedAt === startedAtMilliseconds) return;
    this.#records.delete(id);
    this.#changes += 1;
  }

  /** Drops the limits of servers that are no longer known. */
  retain(isKnown: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!isKnown(id)) this.#records.delete(id);
    }
  }

  #recordInForce({ id, startedAtMilliseconds }: ServerLifetime) {
    const record = this.#records.get(id);
    if (!record || record.limitPerSecond === null) return undefined;
    if (record.serverStartedAt !== startedAtMilliseconds) return undefined;
    return record as LimitRecord & { readonly limitPerSecond: number };
  }

  #apply(
    { id, startedAtMilliseconds }: ServerLifetime,
    limitPerSecond: number | null,
    now: number,
    statement: {
      readonly notBefore: number;
      readonly statedAt: number;
      readonly isRelayed: boolean;
    },
  ): LimitChange | undefined {
    this.startLifetime({ id, startedAtMilliseconds });
    const record = this.#records.get(id);
    const previous = record?.limitPerSecond ?? null;
    if (!record) {
      if (limitPerSecond === null) return undefined;
      this.#records.set(id, {
        serverStartedAt: startedAtMilliseconds,
        limitPerSecond,
        statedAt: statement.statedAt,
        isRelayed: statement.isRelayed,
        bucket: this.#createBucket(limitPerSecond, now),
      });
    } else {
      if (!supersedes({ limitPerSecond, ...statement }, record)) {
        return undefined;
      }
      const hadEnded = record.limitPerSecond === null;
      record.limitPerSecond = limitPerSecond;
      record.statedAt = statement.statedAt;
      record.isRelayed = statement.isRelayed;
      if (limitPerSecond !== null) {
        record.bucket.setLimit(bucketLimit(limitPerSecond), now);
        if (hadEnded) record.bucket.empty(now);
      }
    }
    if (limitPerSecond === previous) return undefined;
    this.#changes += 1;
    return { server: id, limitPerSecond, previous };
  }

  #createBucket(limitPerSecond: number, now: number): SharedBucket {
    return new SharedBucket(bucketLimit(limitPerSecond), {
      now,
      startsFull: false,
      sharing: "always",
      random: this.#random,
    });
  }
}

/**
 * Whether a statement replaces the known one. Answers overtake each other, so that a higher limit,
 * or the end of one, counts only if the server surely spoke later; a lower one is taken at once.
 */
export function supersedes(
  statement: {
    readonly limitPerSecond: number | null;
    /** Before this time the server cannot have spoken. */
    readonly notBefore: number;
    readonly statedAt: number;
  },
  known: {
    readonly limitPerSecond: number | null;
    readonly statedAt: number;
  },
): boolean {
  const orderOf = (limit: number | null) => limit ?? Number.POSITIVE_INFINITY;
  const isHigher =
    orderOf(statement.limitPerSecond) > orderOf(known.limitPerSecond);
  return isHigher
    ? statement.notBefore > known.statedAt
    : statement.statedAt > known.statedAt;
}

/** A server with a tiny limit, or none to spare, is still asked now and then whether it has ended. */
function bucketLimit(limitPerSecond: number): BucketLimit {
  const ratePerSecond = Math.max(limitPerSecond, minimumSendsPerSecond);
  return { ratePerSecond, burst: burstRequests + ratePerSecond * burstSeconds };
}
