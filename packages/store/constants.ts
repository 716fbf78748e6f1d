/** Constants of reading the store. */

/**
 * How long a read waits for a record. It bounds how long a silent connection goes unnoticed,
 * which has to stay below the time in which a change of the document must be in force (2 s).
 */
export const followWaitMilliseconds = 1_200;
/** Pause after a failed read, so that an outage of the store costs few calls. */
export const followRetryMilliseconds = 250;
/** Least time between two reads that find nothing, against a store that does not wait. */
export const emptyReadPauseMilliseconds = 50;
/** A peer's call of the store takes a few milliseconds more than an own one. */
export const relayTimeoutMilliseconds = 1_500;
