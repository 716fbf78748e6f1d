/** Constants of the launcher and the demo. */

/** First port of the range that fleets use. */
export const firstFleetPort = 10_000;
/** Last port of the range that fleets use; Linux's ephemeral ports start at 32768 by default. */
export const lastFleetPort = 32_767;
/** Ports reserved for one fleet. The walnut deployment needs 254, most of them for links. */
export const portBlockSize = 320;

export const readyTimeoutMilliseconds = 30_000;
export const readyPollMilliseconds = 30;
export const statusPollMilliseconds = 50;
/** Last lines of a process's log that a start-up error includes. */
export const shownLogLines = 15;
/** Time that the pause guard has to exit after its input is closed. */
export const pauseGuardTimeoutMilliseconds = 1_000;
/** Concurrency in the document of an upstream whose settings do not specify one. */
export const defaultUpstreamConcurrency = 8;

export const onlineRatePerSecond = 30;
export const baselineDurationMilliseconds = 8_000;
export const baselineSeed = 1;
export const withBatchSeed = 2;
/** Share of finished items at which the demo kills an instance. */
export const killProgressShare = 0.3;
export const batchTimeoutMilliseconds = 40_000;
export const batchPollMilliseconds = 150;
export const progressIntervalMilliseconds = 1_000;
/** Interval of the check whether npm, which started the demo, is still running. */
export const parentPollMilliseconds = 300;
