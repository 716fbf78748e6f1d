/** Limits, timeouts and periods of the fleet-wide rate limiter. */

/** Instances that hold buckets of one workspace. */
export const maximumHolders = 8;

/** How long collected tokens may be used, counted from the time before their request was sent. */
export const transferDeadlineMilliseconds = 250;

/**
 * Transferred amounts are multiples of this, so that sums of fractions are exact in a double
 * and two halves of a token make a whole one.
 */
export const tokenQuantum = 2 ** -20;

/** If a holder has not answered after this time, the next one is asked as well. */
export const slowHolderMilliseconds = 30;

/** How long a holder that did not answer in time is asked after all others. */
export const suspectMilliseconds = 1_000;

/**
 * Bounds of the time for which a request may wait for its token: the time in which two tokens are
 * generated, within these bounds. A token can be late, because full buckets lose tokens that a
 * single bucket would keep, and because instances compete for the last tokens. At 90% of the rate,
 * 0.11% of the requests were refused with a wait of 200 ms, and 0.01% with these bounds.
 */
export const minimumTokenWaitMilliseconds = 500;
export const maximumTokenWaitMilliseconds = 1_000;

/** After this many consecutive shortages of tokens, no request waits for tokens. */
export const overloadShortageCount = 4;
/** Consecutive shortages no longer count when no request was refused for this long. */
export const shortageExpiryMilliseconds = 1_000;

/** Bounds of the time for which requests are refused without asking the holders. */
export const minimumRefusalPeriodMilliseconds = 5;
export const maximumRefusalPeriodMilliseconds = 250;

/** Handovers kept that arrived before the control record that they belong to. */
export const maximumEarlyHandovers = 4_096;

/**
 * Interval at which freshness is checked and all buckets are refilled, even if they are not used.
 * A handover is accepted until 250 ms after the last check that found the instance fresh before it
 * applied the record.
 */
export const refillPeriodMilliseconds = 100;

/** Shortest pause between two rounds of one collection. */
export const minimumRoundPauseMilliseconds = 2;
