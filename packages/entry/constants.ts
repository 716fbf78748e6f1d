/** Timeouts and intervals of an entry instance, and the names of its streams in the store. */

import { ownerLeaseMilliseconds } from "../fleet/constants.ts";

/**
 * How long a leaving instance accepts connections after it has reported that it is not ready. The
 * platform checks readiness once per second and removes an instance after two failed checks.
 */
export const drainDelayMilliseconds = 3_200;
/** Time for the first request on a connection that was accepted just before the listener closed. */
export const firstRequestWaitMilliseconds = 150;
/**
 * A graceful shutdown ends this long before the grace period is over, even if requests are still
 * active.
 */
export const graceReserveMilliseconds = 700;
/** Time within that reserve in which requests that outlast the grace period get their answers. */
export const finalAnswerMilliseconds = 200;
/** Interval at which a leaving instance checks whether its last request has ended. */
export const leavePollMilliseconds = 50;
/** Pause before a failed write of this instance's member record is retried. */
export const membershipRetryMilliseconds = 300;
/** The owner of partition 0 removes a member from which no report has come for this long. */
export const memberSilenceTimeoutMilliseconds = 20_000;
/**
 * Items with several allowed regions are run in the first one with a coordinator that was heard
 * within this time. It is twice the lease of an owner, so that an instance which is cut off has
 * ceased to start items before another region does.
 */
export const regionSilenceMilliseconds = 2 * ownerLeaseMilliseconds;
/**
 * A new coordinator decides for others once it hears most other coordinators, and after this time in
 * any case, since they may all be unreachable.
 */
export const coordinatorWarmUpMilliseconds = 500;
/** Interval at which entries of lost servers and the counts of silent dependents are dropped. */
export const expiryIntervalMilliseconds = 500;
/** Interval at which silent members and expired jobs are removed. */
export const sweepIntervalMilliseconds = 2_000;

/**
 * The role of a coordinator follows the member list after it has not changed for this long, and
 * after the maximum in any case.
 */
export const roleSettleMilliseconds = 400;
export const roleSettleMaximumMilliseconds = 2_000;
/**
 * Pause between two reads of the member list, so that the many records at the start of a fleet are
 * read together.
 */
export const memberReadPauseMilliseconds = 200;

/** Names of the streams in the store; a store adapter may add a prefix. */
export const memberStream = "members";
export const jobStream = "jobs";
export const bodyStream = "bodies";
export const progressStream = "progress";
export const verdictStream = "quarantine";
/** Name of the group that shares the partitions of the job stream among the instances. */
export const ownerGroup = "owners";
/**
 * Timeout for asking a peer to displace a batch run. A peer responds within a few milliseconds;
 * after the timeout, the next peer is asked.
 */
export const displaceTimeoutMilliseconds = 60;
/** Bytes that the store holds in total before it refuses writes, unless the settings tell others. */
export const defaultStoreCapacityBytes = 400_000_000;
/** How long the store keeps every record, unless the settings tell otherwise. */
export const defaultStoreHistoryMilliseconds = 20_000;
