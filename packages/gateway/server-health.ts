/**
 * How far this instance trusts each server, judged by the outcomes of its own requests and by
 * what peers tell of theirs. A server that failed is avoided for a time that doubles with each
 * further failure, and after that is chosen less often, by the share of its requests that failed
 * lately. So one that fails only some requests while it calls itself healthy gets few of them,
 * and returns by its successes.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  failureShareDecayMilliseconds,
  failureSmoothingFactor,
  initialAvoidanceMilliseconds,
  maximumAvoidanceMilliseconds,
  negligibleFailureShare,
  peerFailureWeight,
  reportedFailureShare,
} from "./constants.ts";

interface ServerRecord {
  avoidances: number;
  avoidedUntil: number;
  ownShare: DecayingShare;
  /** The largest share that a peer told. */
  peerShare: DecayingShare;
}

/** A share of failed requests that fades from the moment at which it was noted. */
interface DecayingShare {
  value: number;
  updatedAt: number;
}

export class ServerHealth {
  readonly #records = new Map<InstanceId, ServerRecord>();

  isAvoided(server: InstanceId, now: number): boolean {
    const record = this.#records.get(server);
    return record !== undefined && now < record.avoidedUntil;
  }

  /** Share of the server's requests that failed lately; it fades while none are sent. */
  failureShare(server: InstanceId, now: number): number {
    const record = this.#records.get(server);
    return record
      ? Math.max(decayed(record.ownShare, now), decayed(record.peerShare, now))
      : 0;
  }

  /** Servers that failed many requests of this instance, for its peers. */
  reportedFailureShares(now: number): { server: InstanceId; share: number }[] {
    return [...this.#records]
      .map(([server, { ownShare }]) => ({
        server,
        share: decayed(ownShare, now),
      }))
      .filter(({ share }) => share >= reportedFailureShare);
  }

  /** A peer's word counts less, since the server may be bad only for some callers. */
  notePeerFailureShare(server: InstanceId, share: number, now: number): void {
    const { peerShare } = this.#recordOf(server, now);
    const value = share * peerFailureWeight;
    if (value < decayed(peerShare, now)) return;
    peerShare.value = value;
    peerShare.updatedAt = now;
  }

  noteFailure(server: InstanceId, now: number): void {
    const record = this.#recordOf(server, now);
    const share = decayed(record.ownShare, now);
    record.ownShare = {
      value: share + (1 - share) * failureSmoothingFactor,
      updatedAt: now,
    };
    // Requests that fail together lead to one time of avoidance.
    if (now < record.avoidedUntil) return;
    record.avoidances += 1;
    const factor = 2 ** (record.avoidances - 1);
    record.avoidedUntil = now +
      Math.min(
        initialAvoidanceMilliseconds * factor,
        maximumAvoidanceMilliseconds,
      );
  }

  noteSuccess(server: InstanceId, now: number): void {
    const record = this.#records.get(server);
    if (!record) return;
    record.ownShare = {
      value: decayed(record.ownShare, now) * (1 - failureSmoothingFactor),
      updatedAt: now,
    };
    record.avoidedUntil = 0;
    record.avoidances = 0;
    if (this.failureShare(server, now) < negligibleFailureShare) {
      this.#records.delete(server);
    }
  }

  /** The server has started anew. */
  forget(server: InstanceId): void {
    this.#records.delete(server);
  }

  retain(isKnown: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!isKnown(id)) this.#records.delete(id);
    }
  }

  #recordOf(server: InstanceId, now: number): ServerRecord {
    let record = this.#records.get(server);
    if (!record) {
      record = {
        avoidances: 0,
        avoidedUntil: 0,
        ownShare: { value: 0, updatedAt: now },
        peerShare: { value: 0, updatedAt: now },
      };
      this.#records.set(server, record);
    }
    return record;
  }
}

function decayed({ value, updatedAt }: DecayingShare, now: number): number {
  return value * Math.exp((updatedAt - now) / failureShareDecayMilliseconds);
}
