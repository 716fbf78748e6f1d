/** Constants of the operators' tool. */

export const programName = "rosemaryrudder";
/** Time to wait for the log if neither `--timeout` nor the settings file gives one. */
export const defaultTimeoutSeconds = 10;
/** Time limit for the status response of one member. */
export const statusTimeoutMilliseconds = 2_000;
/** Members that `status` queries concurrently. */
export const statusParallelism = 32;
/** Number of random bytes in a caller's key. */
export const keyBytes = 32;
/** Partitions whose streams `jobs list` and `jobs cancel` read concurrently. */
export const partitionParallelism = 8;
