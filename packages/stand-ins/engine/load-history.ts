/** The load that an engine reports, which is that of a moment ago. */

import { performance } from "node:perf_hooks";

export interface Load {
  readonly running: number;
  readonly waiting: number;
}

export class LoadHistory {
  readonly #lagMilliseconds: number;
  #samples: { time: number; load: Load }[] = [];
  #lastReported: Load = { running: 0, waiting: 0 };

  constructor(lagMilliseconds: number) {
    this.#lagMilliseconds = lagMilliseconds;
  }

  record(load: Load): void {
    const time = performance.now();
    const last = this.#samples.at(-1);
    // Changes within a millisecond count as one, which bounds the number of samples.
    if (last && time - last.time < 1) last.load = load;
    else this.#samples.push({ time, load });
    if (this.#samples.length % 256 === 0) this.report();
  }

  report(): Load {
    const newestVisibleTime = performance.now() - this.#lagMilliseconds;
    const firstHiddenIndex = this.#samples.findIndex((sample) =>
      sample.time > newestVisibleTime
    );
    const visibleCount = firstHiddenIndex === -1
      ? this.#samples.length
      : firstHiddenIndex;
    this.#lastReported = this.#samples[visibleCount - 1]?.load ??
      this.#lastReported;
    this.#samples = this.#samples.slice(visibleCount);
    return this.#lastReported;
  }
}
