/** Constants of the rate limiter. */

export const maximumHolders = 8;

/** How long collected tokens may be used, counted from before they were requested. */
export const transferDeadlineMilliseconds = 250;

/**
 * Transferred amounts are multiples of this, so that sums of fractions are exact in a double
 * and two halves of a token make a whole one.
 */
export const tokenQuantum = 2 ** -20;

/** After this long without an answer from a holder the next one is asked as well. */
export const slowHolderMilliseconds = 30;

/** How long a holder that failed to answer is asked last. */
export const suspectMilliseconds = 1_000;

/**
 * How long a request may wait for its token to be generated: the time that two tokens take,
 * within these bounds. Full buckets lose what a single bucket would keep, and instances compete
 * for the last tokens, so a token can be late. With 200 ms, 0.11% of the requests at 90% of the
 * rate were refused, with these bounds 0.01%.
 */
export const minimumTokenWaitMilliseconds = 500;
export const maximumTokenWaitMilliseconds = 1_000;

/** After this many collections in a row that came short, no request waits for tokens. */
export const overloadShortageCount = 4;
/** Shortages before this time are forgotten. */
export const shortageExpiryMilliseconds = 1_000;

/** Bounds of the time for which refusals are answered without asking the holders. */
export const minimumRefusalPeriodMilliseconds = 5;
export const maximumRefusalPeriodMilliseconds = 250;

/** Handovers that arrived before the record they belong to. */
export const maximumEarlyHandovers = 4_096;

/**
 * Period in which freshness is noted and all buckets are refilled even if they are not used. A
 * handover is accepted for 250 ms after freshness was last noted.
 */
export const refillPeriodMilliseconds = 100;

/** Shortest pause between two rounds of one collection. */
export const minimumRoundPauseMilliseconds = 2;
