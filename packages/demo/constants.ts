/** Constants of the launcher and the demo. */

/** First port that fleets use. */
export const firstFleetPort = 10_000;
/** Last port that fleets use: Linux hands out ports from 32768 on by itself. */
export const lastFleetPort = 32_767;
/** Ports of one fleet. The walnut deployment needs 254, most of them for links. */
export const portBlockSize = 320;

export const readyTimeoutMilliseconds = 30_000;
export const readyPollMilliseconds = 30;
export const statusPollMilliseconds = 50;
/** Lines of a process's log that an error shows. */
export const shownLogLines = 15;
/** Time for the guard of paused processes to end by itself. */
export const guardEndMilliseconds = 1_000;
/** Concurrency that the document gives an upstream whose settings name none. */
export const defaultUpstreamConcurrency = 8;

export const onlineRatePerSecond = 30;
export const baselineMilliseconds = 8_000;
export const baselineSeed = 1;
export const withBatchSeed = 2;
/** An instance is killed when this share of the items is done. */
export const killShare = 0.3;
export const batchTimeoutMilliseconds = 40_000;
export const batchPollMilliseconds = 150;
export const progressMilliseconds = 1_000;
/** How often the demo looks whether npm, which started it, is still there. */
export const parentPollMilliseconds = 300;
