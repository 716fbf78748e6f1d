/** Constants of the metrics. */

/** Workspaces beyond this share one label, so that the metrics stay bounded. */
export const maximumWorkspaceLabels = 1_000;
export const highestLatencyMicroseconds = 600_000_000;
export const latencyUnitMicroseconds = 100;
