/** Limits and resolution of the latency metrics. */

/** Workspaces beyond this number share one label, which bounds the size of the metrics. */
export const maximumWorkspaceLabels = 1_000;
/** Higher latencies are recorded as this value. */
export const maximumLatencyMicroseconds = 600_000_000;
/** Unit in which the histograms count; latencies are rounded to multiples of it. */
export const latencyResolutionMicroseconds = 100;
