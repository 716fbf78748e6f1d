/** A token bucket whose capacity is the number of tokens refilled in one second, at least one. */

import { performance } from "node:perf_hooks";

export class TokenBucket {
  readonly #ratePerSecond: number;
  readonly #capacity: number;
  #tokens: number;
  #refilledAt = performance.now();

  constructor(ratePerSecond: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = Math.max(1, ratePerSecond);
    this.#tokens = this.#capacity;
  }

  /** Takes the tokens and returns true if the bucket holds enough of them. */
  tryTake(count = 1): boolean {
    const now = performance.now();
    const refill = (now - this.#refilledAt) / 1_000 * this.#ratePerSecond;
    this.#tokens = Math.min(this.#capacity, this.#tokens + refill);
    this.#refilledAt = now;
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }
}
