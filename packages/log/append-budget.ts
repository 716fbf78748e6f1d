/**
 * Limits the append rate of one instance to its share of the rate that the log service accepts from
 * the whole fleet. The share shrinks as the fleet grows; each append then carries a larger group.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { appendBudgetShare, defaultAppendsPerSecond } from "./constants.ts";

export interface AppendBudgetOptions {
  /** Appends per second that the log service accepts from the fleet; read for each append. */
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

  /** Waits until the next append is allowed. After idle time up to four appends need not wait. */
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
