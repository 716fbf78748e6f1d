/** Timeouts and pauses of calls to the store. */

/**
 * How long a read waits for a new record (long poll) of a partition whose changes also arrive
 * another way or are not urgent; for the others see `ConnectionTimings`. The longer wait keeps the
 * calls of a large fleet within the rates of the store.
 */
export const relaxedFollowWaitMilliseconds = 6_000;
/** Pause after a failed read, which limits the number of calls during an outage of the store. */
export const followRetryMilliseconds = 250;
/** Minimum interval of reads that return no records, in case the store does not wait for any. */
export const emptyReadPauseMilliseconds = 50;
/** Timeout of a call through a peer, which takes a few milliseconds longer than a direct call. */
export const relayTimeoutMilliseconds = 1_500;
/**
 * Readings of one partition up to its end that run at once, since one of them may be stuck. Without
 * a limit, 300 calls on jobs that were not known yet read 290 MB of the same records at once.
 */
export const maximumCatchUps = 2;
