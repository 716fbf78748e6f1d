/**
 * Limits the append rate of one instance to its share of the rate that the log service takes
 * from the whole fleet. The share shrinks as the fleet grows, and groups grow instead.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { appendBudgetShare, defaultAppendsPerSecond } from "./constants.ts";

export interface AppendBudgetOptions {
  /** Appends a second that the log takes from the fleet; read anew for each append. */
  fleetAppendsPerSecond?: () => number;
  /** Number of instances that share the rate. */
  countMembers?: () => number;
  clock?: Clock;
}

export class AppendBudget {
  readonly #options: Required<AppendBudgetOptions>;
  #nextSlotAt = Number.NEGATIVE_INFINITY;

  constructor(options: AppendBudgetOptions = {}) {
    this.#options = {
      fleetAppendsPerSecond: () => defaultAppendsPerSecond,
      countMembers: () => 1,
      clock: systemClock,
      ...options,
    };
  }

  /** Average time between two appends of this instance. */
  get intervalMilliseconds(): number {
    const members = Math.max(1, this.#options.countMembers());
    return 1_000 * members /
      (this.#options.fleetAppendsPerSecond() * appendBudgetShare);
  }

  /** Waits for the next slot. Idle time allows a burst of up to four appends. */
  async acquire(): Promise<void> {
    const now = this.#options.clock.monotonicNow();
    const interval = this.intervalMilliseconds;
    const slot = Math.max(this.#nextSlotAt, now - 3 * interval);
    this.#nextSlotAt = slot + interval;
    if (slot > now) {
      await new Promise((resolve) => setTimeout(resolve, slot - now));
    }
  }
}
