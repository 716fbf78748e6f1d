/**
 * Limits the retries of an instance to a share of its requests within a sliding window, so that
 * a failing upstream does not multiply the load on the others.
 */

import {
  retryBudgetBase,
  retryBudgetShare,
  retryBudgetWindowMilliseconds,
} from "./constants.ts";

/** Number of buckets into which the sliding window is divided. */
const bucketCount = 10;

interface Bucket {
  /** Monotonic time divided by the length of a bucket. */
  index: number;
  requests: number;
  retries: number;
}

export class RetryBudget {
  readonly #now: () => number;
  readonly #buckets: Bucket[] = [];

  constructor(options: { monotonicNow: () => number }) {
    this.#now = options.monotonicNow;
  }

  recordRequest(): void {
    this.#currentBucket().requests += 1;
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  tryAcquire(): boolean {
    const bucket = this.#currentBucket();
    let requests = 0;
    let retries = 0;
    for (const entry of this.#buckets) {
      requests += entry.requests;
      retries += entry.retries;
    }
    if (retries + 1 > requests * retryBudgetShare + retryBudgetBase) {
      return false;
    }
    bucket.retries += 1;
    return true;
  }

  #currentBucket(): Bucket {
    const index = Math.floor(
      this.#now() / (retryBudgetWindowMilliseconds / bucketCount),
    );
    while (
      this.#buckets[0] !== undefined &&
      this.#buckets[0].index <= index - bucketCount
    ) this.#buckets.shift();
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
