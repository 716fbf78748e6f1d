/** Latencies in an HDR histogram, kept in microseconds and read in milliseconds. */

import { build, type Histogram } from "hdr-histogram-js";
import { maximumLatencyMicroseconds } from "./constants.ts";

export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly maximum: number;
}

export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maximumLatencyMicroseconds,
    numberOfSignificantValueDigits: 3,
  });

  record(milliseconds: number): void {
    if (Number.isNaN(milliseconds)) return;
    const microseconds = Math.round(milliseconds * 1_000);
    this.#histogram.recordValue(
      Math.min(Math.max(1, microseconds), maximumLatencyMicroseconds),
    );
  }

  /** Percentiles in milliseconds. */
  summary(): LatencySummary {
    const at = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) / 1_000;
    return {
      count: this.#histogram.totalCount,
      p50: at(50),
      p95: at(95),
      p99: at(99),
      maximum: this.#histogram.maxValue / 1_000,
    };
  }
}
