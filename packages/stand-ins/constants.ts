/** Constants of the stand-ins. What a deployment may want to change is a setting instead. */

/** How often a stopping service closes connections that have become idle. */
export const idleCloseIntervalMilliseconds = 25;
/** Removing elements from the front of an array is linear, so it is done in groups of this size. */
export const compactionThreshold = 1_024;

/** How often the log drops records that are older than the retention. */
export const pruneIntervalMilliseconds = 250;
/** Upper bound of a long poll at the log. */
export const maximumPollMilliseconds = 30_000;
/** Window in which the log counts its peak of appends. */
export const peakWindowMilliseconds = 1_000;

/** Cache events that an engine keeps for its readers. */
export const maximumCacheEvents = 10_000;
/** Accepted orders that an engine keeps for tests. */
export const maximumStoredOrders = 1_000;
/** How often an engine forgets streams that can no longer be resumed. */
export const streamExpiryIntervalMilliseconds = 1_000;

/** How often a healed link tries to get its port back if something else has taken it. */
export const listenRetryIntervalMilliseconds = 50;
/** How often a link looks whether its dead target listens again. */
export const targetProbeIntervalMilliseconds = 100;
/** Delays below this are none; the loopback hop itself takes about as long. */
export const minimumDelayMilliseconds = 0.5;
/** Timers fire in whole milliseconds, so delayed bytes may leave this much before their time. */
export const earlySendToleranceMilliseconds = 0.25;
