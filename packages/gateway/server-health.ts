/**
 * Passive health of the servers, derived from the outcomes of this instance's requests and from
 * the failure shares that peers report. A server that failed is avoided for a time that doubles
 * with each further failure. After that it is chosen less often, according to the share of its
 * recent requests that failed. A server that fails only some requests while it reports itself
 * healthy therefore gets few requests, and gets more again as they succeed.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  crashAvoidanceMilliseconds,
  failureShareDecayMilliseconds,
  failureSmoothingFactor,
  initialAvoidanceMilliseconds,
  maximumAvoidanceMilliseconds,
  negligibleFailureShare,
  peerFailureWeight,
  reportedFailureShare,
} from "./constants.ts";

interface ServerRecord {
  /** Avoidance periods since the last success. */
  avoidances: number;
  /** Monotonic milliseconds, as the next one. */
  avoidedUntil: number;
  /** The server has crashed and may be down until then. */
  crashedUntil: number;
  ownShare: DecayingShare;
  /** The largest failure share that a peer reported, multiplied by `peerFailureWeight`. */
  peerShare: DecayingShare;
}

/** A share of failed requests that decays exponentially from the time of its last update. */
interface DecayingShare {
  /** From 0 to 1. */
  value: number;
  /** Monotonic milliseconds. */
  updatedAt: number;
}

export class ServerHealth {
  readonly #records = new Map<InstanceId, ServerRecord>();
  readonly #unreportedFailures = new Map<InstanceId, number>();

  isAvoided(server: InstanceId, now: number): boolean {
    const record = this.#records.get(server);
    return record !== undefined && now < record.avoidedUntil;
  }

  /** Whether the server has crashed and is not known to have started again. */
  hasCrashed(server: InstanceId, now: number): boolean {
    const record = this.#records.get(server);
    return record !== undefined && now < record.crashedUntil;
  }

  avoidedServers(now: number): InstanceId[] {
    return [...this.#records.keys()].filter((id) => this.isAvoided(id, now));
  }

  /** Share of the server's recent requests that failed; it decays while none are sent. */
  failureShare(server: InstanceId, now: number): number {
    const record = this.#records.get(server);
    return record
      ? Math.max(decayed(record.ownShare, now), decayed(record.peerShare, now))
      : 0;
  }

  /** Servers that failed many requests of this instance, to be reported to its peers. */
  reportedFailureShares(now: number): { server: InstanceId; share: number }[] {
    return [...this.#records]
      .map(([server, { ownShare }]) => ({
        server,
        share: decayed(ownShare, now),
      }))
      .filter(({ share }) => share >= reportedFailureShare);
  }

  /**
   * Failures since the last call, to be reported to the coordinator. An instance of a large fleet
   * meets a server too rarely to judge it alone.
   */
  takeFailureCounts(): { server: InstanceId; count: number }[] {
    const counts = [...this.#unreportedFailures]
      .map(([server, count]) => ({ server, count }));
    this.#unreportedFailures.clear();
    return counts;
  }

  /**
   * Raises the failure share without avoiding the server: for failures that a dependent met, or
   * that may be due to the request.
   */
  countFailures(server: InstanceId, count: number, now: number): void {
    const record = this.#recordOf(server, now);
    const kept = (1 - failureSmoothingFactor) ** count;
    record.ownShare = {
      value: 1 - (1 - decayed(record.ownShare, now)) * kept,
      updatedAt: now,
    };
  }

  /** A peer's report counts less than own outcomes; the server may fail only for some callers. */
  recordPeerFailureShare(server: InstanceId, share: number, now: number): void {
    const { peerShare } = this.#recordOf(server, now);
    const value = share * peerFailureWeight;
    if (value < decayed(peerShare, now)) return;
    peerShare.value = value;
    peerShare.updatedAt = now;
  }

  addFailure(server: InstanceId, now: number): void {
    const unreported = this.#unreportedFailures.get(server) ?? 0;
    this.#unreportedFailures.set(server, unreported + 1);
    const record = this.#recordOf(server, now);
    const share = decayed(record.ownShare, now);
    record.ownShare = {
      value: share + (1 - share) * failureSmoothingFactor,
      updatedAt: now,
    };
    // Requests that fail together count once: failures while avoided do not prolong the period.
    if (now < record.avoidedUntil) return;
    record.avoidances += 1;
    const factor = 2 ** (record.avoidances - 1);
    record.avoidedUntil = now +
      Math.min(
        initialAvoidanceMilliseconds * factor,
        maximumAvoidanceMilliseconds,
      );
  }

  /**
   * Avoids a server that has crashed, without blame: a request may have been the cause, and the
   * server is used again once it has started again.
   */
  recordCrash(server: InstanceId, now: number): void {
    const record = this.#recordOf(server, now);
    record.crashedUntil = now + crashAvoidanceMilliseconds;
    record.avoidedUntil = Math.max(record.avoidedUntil, record.crashedUntil);
  }

  addSuccess(server: InstanceId, now: number): void {
    const record = this.#records.get(server);
    if (!record) return;
    record.ownShare = {
      value: decayed(record.ownShare, now) * (1 - failureSmoothingFactor),
      updatedAt: now,
    };
    record.avoidedUntil = 0;
    record.crashedUntil = 0;
    record.avoidances = 0;
    if (this.failureShare(server, now) < negligibleFailureShare) {
      this.#records.delete(server);
    }
  }

  /** Drops the record of a server that has restarted. */
  forget(server: InstanceId): void {
    this.#records.delete(server);
  }

  /** Drops the records of servers that are no longer known. */
  retain(isKnown: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!isKnown(id)) this.#records.delete(id);
    }
    for (const id of this.#unreportedFailures.keys()) {
      if (!isKnown(id)) this.#unreportedFailures.delete(id);
    }
  }

  #recordOf(server: InstanceId, now: number): ServerRecord {
    let record = this.#records.get(server);
    if (!record) {
      record = {
        avoidances: 0,
        avoidedUntil: 0,
        crashedUntil: 0,
        ownShare: { value: 0, updatedAt: now },
        peerShare: { value: 0, updatedAt: now },
      };
      this.#records.set(server, record);
    }
    return record;
  }
}

function decayed({ value, updatedAt }: DecayingShare, now: number): number {
  if (value === 0) return 0;
  return value * Math.exp((updatedAt - now) / failureShareDecayMilliseconds);
}
