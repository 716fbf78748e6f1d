/** Counts appends, and the peak number of appends within any window of one second. */

import { compactionThreshold, peakWindowMilliseconds } from "../constants.ts";

export class AppendStatistics {
  #appends = 0;
  #bytes = 0;
  #rejected = 0;
  #peakAppends = 0;
  #appendTimes: number[] = [];
  /** Index in `#appendTimes` of the oldest append within the last second. */
  #windowStart = 0;

  recordAppend(bytes: number, now: number): void {
    this.#appends += 1;
    this.#bytes += bytes;
    this.#appendTimes.push(now);
    this.#dropOldTimes(now);
    this.#peakAppends = Math.max(
      this.#peakAppends,
      this.#appendTimes.length - this.#windowStart,
    );
  }

  recordRejected(): void {
    this.#rejected += 1;
  }

  describe(now: number) {
    this.#dropOldTimes(now);
    return {
      appends: this.#appends,
      bytes: this.#bytes,
      rejectedAppends: this.#rejected,
      appendsInLastSecond: this.#appendTimes.length - this.#windowStart,
      peakAppendsInAnySecond: this.#peakAppends,
    };
  }

  #dropOldTimes(now: number): void {
    while (
      (this.#appendTimes[this.#windowStart] ?? now) <=
        now - peakWindowMilliseconds
    ) {
      this.#windowStart += 1;
    }
    if (this.#windowStart >= compactionThreshold) {
      this.#appendTimes = this.#appendTimes.slice(this.#windowStart);
      this.#windowStart = 0;
    }
  }
}
