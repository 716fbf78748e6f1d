/**
 * How far this instance trusts each server, judged by the outcomes of its own requests and by
 * what peers tell of theirs. A server that failed is avoided for a time that doubles with each
 * further failure, and after that is chosen less often, by the share of its requests that failed
 * lately. So one that fails only some requests while it calls itself healthy gets few of them,
 * and returns by its successes.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  avoidMaximumMilliseconds,
  avoidMilliseconds,
  failureShareLifetimeMilliseconds,
  failureWeight,
  peerFailureWeight,
  reportedFailureShare,
  trustedFailureShare,
} from "./constants.ts";

interface ServerRecord {
  failures: number;
  avoidedUntil: number;
  own: MovingShare;
  /** The largest share that a peer told. */
  peers: MovingShare;
}

/** A share of failed requests that fades from the moment at which it was noted. */
interface MovingShare {
  value: number;
  at: number;
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
      ? Math.max(faded(record.own, now), faded(record.peers, now))
      : 0;
  }

  /** Servers that failed many requests of this instance, for its peers. */
  reportedFailureShares(now: number): { server: InstanceId; share: number }[] {
    return [...this.#records]
      .map(([server, { own }]) => ({ server, share: faded(own, now) }))
      .filter(({ share }) => share >= reportedFailureShare);
  }

  /** A peer's word counts less, since the server may be bad only for some callers. */
  notePeerFailureShare(server: InstanceId, share: number, now: number): void {
    const { peers } = this.#recordOf(server, now);
    const value = share * peerFailureWeight;
    if (value < faded(peers, now)) return;
    peers.value = value;
    peers.at = now;
  }

  noteFailure(server: InstanceId, now: number): void {
    const record = this.#recordOf(server, now);
    const share = faded(record.own, now);
    record.own = { value: share + (1 - share) * failureWeight, at: now };
    // Requests that fail together lead to one time of avoidance.
    if (now < record.avoidedUntil) return;
    record.failures += 1;
    const factor = 2 ** (record.failures - 1);
    record.avoidedUntil = now +
      Math.min(avoidMilliseconds * factor, avoidMaximumMilliseconds);
  }

  noteSuccess(server: InstanceId, now: number): void {
    const record = this.#records.get(server);
    if (!record) return;
    record.own = {
      value: faded(record.own, now) * (1 - failureWeight),
      at: now,
    };
    record.avoidedUntil = 0;
    record.failures = 0;
    if (this.failureShare(server, now) < trustedFailureShare) {
      this.#records.delete(server);
    }
  }

  /** The server has started anew. */
  forget(server: InstanceId): void {
    this.#records.delete(server);
  }

  retain(servers: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!servers(id)) this.#records.delete(id);
    }
  }

  #recordOf(server: InstanceId, now: number): ServerRecord {
    let record = this.#records.get(server);
    if (!record) {
      record = {
        failures: 0,
        avoidedUntil: 0,
        own: { value: 0, at: now },
        peers: { value: 0, at: now },
      };
      this.#records.set(server, record);
    }
    return record;
  }
}

function faded({ value, at }: MovingShare, now: number): number {
  return value * Math.exp((at - now) / failureShareLifetimeMilliseconds);
}
