/** Reports the load that an engine had a configured time ago, so that readers see it late. */

import { performance } from "node:perf_hooks";

/** Numbers of running and waiting requests. */
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
    // Changes within one millisecond share a sample, which bounds the number of samples.
    if (last && time - last.time < 1) last.load = load;
    else this.#samples.push({ time, load });
    // Drops samples that are no longer needed, which would accumulate while nobody reads the load.
    if (this.#samples.length % 256 === 0) this.report();
  }

  /** Returns the load at the time of the lag before now, and drops the samples up to then. */
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
