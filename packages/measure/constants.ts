/** Constants of the measurement tool. */

export const defaultSeed = 20_261_204;
/** Unmeasured time before a run, in which connection pools and limits reach a steady state. */
export const warmUpMilliseconds = 3_000;
/** Largest latency that a histogram records, in microseconds; larger ones are clamped to it. */
export const maximumLatencyMicroseconds = 120_000_000;
/** Unanswered requests above which an open-loop run drops further arrivals. */
export const maximumOpenRequests = 4_000;
