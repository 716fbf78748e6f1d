/**
 * Seeded random numbers. The same seed gives the same sequence on every machine, so that a
 * test or a measurement can be repeated.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A number of the half-open interval from 0 to 1. */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  integerBelow(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[this.integerBelow(items.length)];
  }

  /** Time to the next event of a Poisson process, in milliseconds. */
  nextArrivalMilliseconds(ratePerSecond: number): number {
    return -Math.log(1 - this.next()) / ratePerSecond * 1_000;
  }
}
