/**
 * Seeded pseudo-random numbers. The same seed gives the same sequence on every machine, so that
 * a test or a measurement can be repeated.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number that is at least 0 and less than 1. */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an integer that is at least 0 and less than the limit. */
  integerBelow(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Returns a random item, or undefined if there are no items. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[this.integerBelow(items.length)];
  }

  /** Returns the time to the next event of a Poisson process, in milliseconds. */
  nextArrivalMilliseconds(ratePerSecond: number): number {
    return -Math.log(1 - this.next()) / ratePerSecond * 1_000;
  }
}
