/** Counts and latencies of the log appends of all partitions of one instance. */

import { build, type Histogram } from "hdr-histogram-js";

export interface AppendSummary {
  readonly appends: number;
  readonly entriesPerAppend: number;
  readonly latencyMilliseconds: { readonly p50: number; readonly p99: number };
}

export class AppendStatistics {
  readonly #latency: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 2,
  });
  #entries = 0;

  /** Records one append with its number of entries and its latency. */
  record(entries: number, milliseconds: number): void {
    this.#entries += entries;
    this.#latency.recordValue(Math.max(1, Math.round(milliseconds)));
  }

  get summary(): AppendSummary {
    const appends = this.#latency.totalCount;
    return {
      appends,
      entriesPerAppend: appends === 0 ? 0 : this.#entries / appends,
      latencyMilliseconds: {
        p50: appends === 0 ? 0 : this.#latency.getValueAtPercentile(50),
        p99: appends === 0 ? 0 : this.#latency.getValueAtPercentile(99),
      },
    };
  }
}
