/** The requests that were sent with suspected parts and whose outcome is awaited. */

import type { PromptPartId } from "../common/ids.ts";
import { trialTimeoutMilliseconds } from "./constants.ts";

export class Trials {
  /** When each request on trial no longer holds others up, in monotonic milliseconds. */
  readonly #requests = new Map<PromptPartId, Map<string, number>>();

  /** Before these times no further trial of a part is started, in monotonic milliseconds. */
  readonly #turns = new Map<PromptPartId, number>();

  /** Has this instance wait for its turn to start the next trial of the parts. */
  defer(parts: Iterable<PromptPartId>, until: number, now: number): void {
    for (const [part, turn] of this.#turns) {
      if (turn <= now) this.#turns.delete(part);
    }
    for (const part of parts) this.#turns.set(part, until);
  }

  begin(request: string, parts: readonly PromptPartId[], now: number): void {
    for (const part of parts) {
      const requests = this.#requests.get(part) ?? new Map<string, number>();
      this.#requests.set(part, requests);
      requests.set(request, now + trialTimeoutMilliseconds);
    }
  }

  /** Ends the trials of a request whose server has crashed. */
  end(request: string, parts: readonly PromptPartId[]): void {
    for (const part of parts) {
      const requests = this.#requests.get(part);
      requests?.delete(request);
      if (requests?.size === 0) this.#requests.delete(part);
    }
  }

  /** Ends all trials of a part on which a server has begun an answer. */
  endAll(part: PromptPartId): void {
    this.#requests.delete(part);
  }

  /** True if no other trial of the part may be started now. */
  mustWait(part: PromptPartId, now: number): boolean {
    if ((this.#turns.get(part) ?? 0) > now) return true;
    const requests = this.#requests.get(part);
    if (!requests) return false;
    for (const [request, until] of requests) {
      if (until > now) return true;
      requests.delete(request);
    }
    this.#requests.delete(part);
    return false;
  }
}
