/**
 * Which servers this instance avoids, judged by the outcomes of its own requests. A server that
 * failed is avoided for a time that doubles with each further failure; one request after that
 * time shows whether it works again.
 */

import type { InstanceId } from "../common/ids.ts";
import { avoidMaximumMilliseconds, avoidMilliseconds } from "./constants.ts";

interface ServerRecord {
  failures: number;
  avoidedUntil: number;
}

export class ServerHealth {
  readonly #records = new Map<InstanceId, ServerRecord>();

  isAvoided(server: InstanceId, now: number): boolean {
    const record = this.#records.get(server);
    return record !== undefined && now < record.avoidedUntil;
  }

  noteFailure(server: InstanceId, now: number): void {
    const record = this.#records.get(server) ??
      { failures: 0, avoidedUntil: 0 };
    // Requests that fail together are one failure.
    if (now < record.avoidedUntil) return;
    record.failures += 1;
    const factor = 2 ** (record.failures - 1);
    record.avoidedUntil = now +
      Math.min(avoidMilliseconds * factor, avoidMaximumMilliseconds);
    this.#records.set(server, record);
  }

  noteSuccess(server: InstanceId): void {
    this.#records.delete(server);
  }

  retain(servers: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!servers(id)) this.#records.delete(id);
    }
  }
}
