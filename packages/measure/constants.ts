/** Constants of the measurement tool. */

export const defaultSeed = 20_261_204;
/** Time at the start of a run that is not measured, while pools and limits fill. */
export const warmUpMilliseconds = 3_000;
/** Largest value that a latency histogram distinguishes, in microseconds. */
export const maximumLatencyMicroseconds = 120_000_000;
export const maximumOpenRequests = 4_000;
