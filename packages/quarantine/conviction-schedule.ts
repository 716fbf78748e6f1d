/**
 * Checks whether parts are to be convicted, some time after their last crash and until a check has
 * been decided: a timer may fire early, a later crash prolongs the time, and the other coordinators
 * may not reply.
 */

import type { PromptPartId } from "../common/ids.ts";
import type { Timers } from "../common/timers.ts";
import { confirmationRetryMilliseconds } from "./constants.ts";

export interface ConvictionScheduleOptions {
  /** Time until the part may be convicted; undefined if it is not to be convicted. */
  readonly waitOf: (part: PromptPartId) => number | undefined;
  /** Asks the other coordinators; resolves to true if the part is to be convicted. */
  readonly confirm: (part: PromptPartId) => Promise<boolean>;
  readonly convict: (part: PromptPartId) => void;
  readonly timers: Timers;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

export class ConvictionSchedule {
  readonly #options: ConvictionScheduleOptions;
  /** Parts with a check that is scheduled or under way. */
  readonly #pending = new Set<PromptPartId>();

  constructor(options: ConvictionScheduleOptions) {
    this.#options = options;
  }

  /** Checks the part after the delay, unless a check is scheduled or under way. */
  check(part: PromptPartId, delayMilliseconds: number): void {
    if (this.#pending.has(part)) return;
    this.#pending.add(part);
    this.#options.timers.after(delayMilliseconds, () => void this.#run(part));
  }

  async #run(part: PromptPartId): Promise<void> {
    const { waitOf, confirm, convict, now } = this.#options;
    const startedAt = now();
    const isConfirmed = waitOf(part) === 0 && await confirm(part);
    this.#pending.delete(part);
    const waitMilliseconds = waitOf(part);
    if (waitMilliseconds === undefined) return;
    if (isConfirmed && waitMilliseconds === 0) return convict(part);
    const retryMilliseconds = confirmationRetryMilliseconds -
      (now() - startedAt);
    this.check(part, Math.max(0, waitMilliseconds || retryMilliseconds));
  }
}
