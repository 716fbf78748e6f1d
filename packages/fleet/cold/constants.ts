/** Constants of the limits on servers that have just started. */

/** Length of the sliding window in which requests to a cold server are counted. */
export const coldWindowMilliseconds = 1_000;
/**
 * Parts of the window over which the sends are spread. A server that has just started is slow, so that
 * requests of one moment would wait for each other.
 */
export const windowParts = 4;
/**
 * Instances that may spend the whole share of one server at the same time without exceeding its
 * bound: two, since two instances may differ about the member list for a moment.
 */
export const toleratedSenders = 2;
/** Divisor of the share of a coordinator that hears less than most of the others. */
export const isolatedShareDivisor = 2;
/** Steps in which the servers of a zone take up load after their cold time. */
export const rampSteps = 4;
export const rampStepMilliseconds = 400;
/** An entry of the server list may be this old when it arrives, with a margin. */
export const entryLagMilliseconds = 1_200;
/**
 * A server that has refused a connection counts as cold for this time beyond its cold time, unless a
 * later entry says otherwise: it may be down for some seconds before it starts again.
 */
export const presumedOutageMilliseconds = 5_000;
/** A rise of the end of the cold time by less than this is not a change; entries arrive unevenly. */
export const negligibleChangeMilliseconds = 500;
