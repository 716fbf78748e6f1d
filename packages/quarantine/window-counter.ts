/** Counts events of the recent past in a fixed number of buckets. */

const buckets = 12;

export class WindowCounter {
  readonly #bucketMilliseconds: number;
  readonly #counts = new Array<number>(buckets).fill(0);
  /** Number of the newest bucket since the epoch of the clock. */
  #newest = 0;

  constructor(windowMilliseconds: number) {
    this.#bucketMilliseconds = windowMilliseconds / buckets;
  }

  add(count: number, now: number): void {
    this.#advance(now);
    this.#counts[this.#newest % buckets]! += count;
  }

  count(now: number): number {
    this.#advance(now);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advance(now: number): void {
    const current = Math.floor(now / this.#bucketMilliseconds);
    const elapsed = Math.min(buckets, current - this.#newest);
    for (let step = 1; step <= elapsed; step++) {
      this.#counts[(current - elapsed + step) % buckets] = 0;
    }
    this.#newest = Math.max(this.#newest, current);
  }
}
