/**
 * How far this instance trusts each server, judged by the outcomes of its own requests. A server
 * that failed is avoided for a time that doubles with each further failure, and after that is
 * chosen less often, by the share of its requests that failed lately. So one that fails only
 * some requests while it calls itself healthy gets few of them, and returns by its successes.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  avoidMaximumMilliseconds,
  avoidMilliseconds,
  failureShareLifetimeMilliseconds,
  failureWeight,
  trustedFailureShare,
} from "./constants.ts";

interface ServerRecord {
  failures: number;
  avoidedUntil: number;
  /** Moving share of failed requests, as of `sharedAt`. */
  share: number;
  sharedAt: number;
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
    return record ? fadedShare(record, now) : 0;
  }

  noteFailure(server: InstanceId, now: number): void {
    const record = this.#records.get(server) ??
      { failures: 0, avoidedUntil: 0, share: 0, sharedAt: now };
    this.#records.set(server, record);
    const share = fadedShare(record, now);
    record.share = share + (1 - share) * failureWeight;
    record.sharedAt = now;
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
    record.share = fadedShare(record, now) * (1 - failureWeight);
    record.sharedAt = now;
    record.avoidedUntil = 0;
    record.failures = 0;
    if (record.share < trustedFailureShare) this.#records.delete(server);
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
}

function fadedShare({ share, sharedAt }: ServerRecord, now: number): number {
  return share * Math.exp((sharedAt - now) / failureShareLifetimeMilliseconds);
}
