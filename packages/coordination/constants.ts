/** Timeouts and intervals of the messages between coordinators and their dependents. */

/**
 * Longest wait for a coordinator's decision on a request. A reply takes one round trip of a few
 * milliseconds; after the timeout the next coordinator is asked.
 */
export const decisionTimeoutMilliseconds = 80;
/** Coordinators that are asked before a dependent decides by its own view. */
export const maximumAskedCoordinators = 2;
/**
 * Longest time for which a request waits while coordinators reply that they do not decide yet. A
 * coordinator that has just started decides after half a second at the latest.
 */
export const undecidedWaitMilliseconds = 700;
/** Pause before a coordinator that does not decide yet is asked again. */
export const undecidedRetryMilliseconds = 60;
/** A coordinator that did not reply is not asked for this time, unless no other one is left. */
export const suspicionMilliseconds = 1_000;
/**
 * Pause between a change of a dependent's loads and its report, which collects the changes that
 * follow directly.
 */
export const loadReportDelayMilliseconds = 20;
/** Time between two reports of a dependent whose loads do not change. */
export const idleReportIntervalMilliseconds = 500;
/** Time between two reports of a dependent that cannot read the store and lacks documents. */
export const failingReportIntervalMilliseconds = 300;
/** Timeout of a report; a coordinator that does not reply in time is suspected. */
export const reportTimeoutMilliseconds = 400;
/** Pause before a report that its coordinator did not take is sent to the next one. */
export const reportRetryMilliseconds = 100;
/** A coordinator discards what it counts for a dependent that has not reported for this long. */
export const dependentLifetimeMilliseconds = 1_500;
/** Timeout of a forwarded call on a batch job, beyond the time that the call itself waits. */
export const jobCallTimeoutMilliseconds = 1_500;
/** Timeout of the check whether a dependent that has not reported is still alive. */
export const pingTimeoutMilliseconds = 1_000;
