/** Constants of the stand-ins. Values that a deployment may want to change are settings instead. */

/** Interval at which a stopping service closes connections that have become idle. */
export const idleCloseIntervalMilliseconds = 25;
/**
 * Minimum number of obsolete elements to remove together from the front of an array, because
 * each removal takes time linear in the length of the array.
 */
export const compactionThreshold = 1_024;

/** Interval at which the log drops records that are older than the retention. */
export const pruneIntervalMilliseconds = 250;
/** Upper bound of the wait of a long poll at the log. */
export const maximumPollMilliseconds = 30_000;
/** Length of the sliding window in which the log counts the peak number of appends. */
export const peakWindowMilliseconds = 1_000;

/** Number of cache events to which an engine trims its list when it has twice as many. */
export const maximumCacheEvents = 10_000;
/** Number of the latest accepted orders that an engine keeps, for tests to read. */
export const maximumStoredOrders = 1_000;
/** Interval at which an engine drops the state of streams that can no longer be resumed. */
export const streamExpiryIntervalMilliseconds = 1_000;

/** Interval at which a link retries to listen again while something else has taken its port. */
export const listenRetryIntervalMilliseconds = 50;
/** Interval at which a link checks whether a target that refused a connection listens again. */
export const targetProbeIntervalMilliseconds = 100;
/** Shorter delays are not applied, because the loopback connection itself takes about as long. */
export const minimumDelayMilliseconds = 0.5;
/** Delayed bytes may be sent this much early, because timers fire in whole milliseconds. */
export const earlySendToleranceMilliseconds = 0.25;
