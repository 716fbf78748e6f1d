/** Constants of the operators' tool. */

export const programName = "rosemaryrudder";
/** Waiting time for the log if `--timeout` is not given. */
export const defaultTimeoutSeconds = 10;
export const statusTimeoutMilliseconds = 2_000;
/** Members that `status` asks at once. */
export const statusParallelism = 32;
/** Random bytes of a caller's key. */
export const keyBytes = 32;
/** Partitions that `jobs list` reads at once. */
export const partitionParallelism = 8;
