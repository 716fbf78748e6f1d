/** The load that an engine reports, which is that of a moment ago. */

import { performance } from "node:perf_hooks";

export interface Load {
  readonly running: number;
  readonly waiting: number;
}

export class LoadHistory {
  readonly #lagMilliseconds: number;
  #samples: { at: number; load: Load }[] = [];
  #reported: Load = { running: 0, waiting: 0 };

  constructor(lagMilliseconds: number) {
    this.#lagMilliseconds = lagMilliseconds;
  }

  record(load: Load): void {
    const at = performance.now();
    const last = this.#samples.at(-1);
    // Changes within a millisecond count as one, which bounds the number of samples.
    if (last && at - last.at < 1) last.load = load;
    else this.#samples.push({ at, load });
    if (this.#samples.length % 256 === 0) this.report();
  }

  report(): Load {
    const visible = performance.now() - this.#lagMilliseconds;
    const next = this.#samples.findIndex((sample) => sample.at > visible);
    const count = next === -1 ? this.#samples.length : next;
    this.#reported = this.#samples[count - 1]?.load ?? this.#reported;
    this.#samples = this.#samples.slice(count);
    return this.#reported;
  }
}
