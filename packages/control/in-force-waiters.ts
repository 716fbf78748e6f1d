/**
 * Resolves promises once a record is in force. A record is in force when a majority has applied
 * it and the freshness window has passed since this became known, or when every instance that
 * could act on an older state has applied it.
 */

import type { Offset } from "../common/ids.ts";
import { freshnessMilliseconds } from "./constants.ts";

interface Waiter {
  readonly offset: Offset;
  readonly resolve: () => void;
  timer: NodeJS.Timeout | undefined;
}

/** Added because timers may fire up to a millisecond early. */
const timerToleranceMilliseconds = 2;

export class InForceWaiters {
  readonly #waiters = new Set<Waiter>();

  get size(): number {
    return this.#waiters.size;
  }

  add(offset: Offset): Promise<void> {
    return new Promise((resolve) => {
      this.#waiters.add({ offset, resolve, timer: undefined });
    });
  }

  /** Starts the freshness window for waiters up to the offset that a majority has applied. */
  handleMajorityApplied(offset: number): void {
    for (const waiter of this.#waiters) {
      if (waiter.offset > offset || waiter.timer) continue;
      waiter.timer = setTimeout(() => {
        this.#waiters.delete(waiter);
        waiter.resolve();
      }, freshnessMilliseconds + timerToleranceMilliseconds);
    }
  }

  /**
   * Resolves waiters up to the offset that all have applied. No evidence of an older state is
   * left that would have to expire first.
   */
  handleAllApplied(offset: number): void {
    for (const waiter of this.#waiters) {
      if (waiter.offset > offset) continue;
      clearTimeout(waiter.timer);
      this.#waiters.delete(waiter);
      waiter.resolve();
    }
  }

  stop(): void {
    for (const waiter of this.#waiters) clearTimeout(waiter.timer);
    this.#waiters.clear();
  }
}
