/** Counts appends and the most of them that fell into any window of one second. */

import { compactionThreshold, peakWindowMilliseconds } from "../constants.ts";

export class AppendStatistics {
  #appends = 0;
  #bytes = 0;
  #rejected = 0;
  #peak = 0;
  #times: number[] = [];
  #first = 0;

  count(bytes: number, now: number): void {
    this.#appends += 1;
    this.#bytes += bytes;
    this.#times.push(now);
    this.#forget(now);
    this.#peak = Math.max(this.#peak, this.#times.length - this.#first);
  }

  countRejected(): void {
    this.#rejected += 1;
  }

  describe(now: number) {
    this.#forget(now);
    return {
      appends: this.#appends,
      bytes: this.#bytes,
      rejectedAppends: this.#rejected,
      appendsInLastSecond: this.#times.length - this.#first,
      peakAppendsInAnySecond: this.#peak,
    };
  }

  #forget(now: number): void {
    while ((this.#times[this.#first] ?? now) <= now - peakWindowMilliseconds) {
      this.#first += 1;
    }
    if (this.#first >= compactionThreshold) {
      this.#times = this.#times.slice(this.#first);
      this.#first = 0;
    }
  }
}
