/** Records latency histograms per workspace and class and renders them as Prometheus summaries. */

// Only the histogram class is imported; the whole library also loads encoders and a WASM binary.
import histogramModule from "hdr-histogram-js/dist/Int32Histogram.js";
import {
  latencyResolutionMicroseconds,
  maximumLatencyMicroseconds,
  maximumWorkspaceLabels,
} from "./constants.ts";

export type RequestClass = "online" | "batch";

interface LatencySeries {
  readonly workspace: string;
  readonly requestClass: RequestClass;
  readonly histogram: InstanceType<typeof histogramModule.default>;
  sumSeconds: number;
}

/** Decimal digits that a histogram keeps of each value. */
const significantDigits = 2;
const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];
/** Label of the workspaces beyond `maximumWorkspaceLabels`. */
const overflowLabel = "(other)";
const maximumUnits = maximumLatencyMicroseconds / latencyResolutionMicroseconds;
const unitsPerMillisecond = 1_000 / latencyResolutionMicroseconds;

export class LatencyRecorder {
  readonly #name: string;
  readonly #help: string;
  readonly #series = new Map<string, LatencySeries>();
  readonly #workspaces = new Set<string>();

  constructor(name: string, help: string) {
    this.#name = name;
    this.#help = help;
  }

  record(
    workspace: string,
    requestClass: RequestClass,
    milliseconds: number,
  ): void {
    const series = this.#getOrCreateSeries(workspace, requestClass);
    const units = Math.round(milliseconds * unitsPerMillisecond);
    series.histogram.recordValue(Math.min(maximumUnits, Math.max(0, units)));
    series.sumSeconds += milliseconds / 1_000;
  }

  render(): string {
    const lines = [
      `# HELP ${this.#name} ${this.#help}`,
      `# TYPE ${this.#name} summary`,
    ];
    for (const series of this.#series.values()) {
      const labels =
        `workspace="${series.workspace}",class="${series.requestClass}"`;
      for (const quantile of quantiles) {
        const units = series.histogram.getValueAtPercentile(quantile * 100);
        const seconds = units / unitsPerMillisecond / 1_000;
        lines.push(
          `${this.#name}{${labels},quantile="${quantile}"} ${seconds}`,
        );
      }
      lines.push(
        `${this.#name}_sum{${labels}} ${series.sumSeconds}`,
        `${this.#name}_count{${labels}} ${series.histogram.totalCount}`,
      );
    }
    return lines.join("\n") + "\n";
  }

  #getOrCreateSeries(
    workspace: string,
    requestClass: RequestClass,
  ): LatencySeries {
    const label = this.#labelOf(workspace);
    const key = `${requestClass} ${label}`;
    let series = this.#series.get(key);
    if (!series) {
      series = {
        workspace: label,
        requestClass,
        histogram: new histogramModule.default(
          1,
          maximumUnits,
          significantDigits,
        ),
        sumSeconds: 0,
      };
      this.#series.set(key, series);
    }
    return series;
  }

  #labelOf(workspace: string): string {
    if (this.#workspaces.has(workspace)) return workspace;
    if (this.#workspaces.size >= maximumWorkspaceLabels) return overflowLabel;
    this.#workspaces.add(workspace);
    return workspace;
  }
}
