/** Intervals, time limits and weights of upstream capacity. */

/** Interval of the full reports of instances that hold grants or have batch demand. */
export const heartbeatMilliseconds = 250;
/** Instances that have only online requests at an upstream report every fourth heartbeat. */
export const heartbeatsPerOnlineReport = 4;
/** Without a report for this long, the grants and online requests of an instance are dropped. */
export const clientTimeoutMilliseconds = 2_000;
/** How long a new coordinator collects reports of calls in flight before it issues grants. */
export const recoveryMilliseconds = 500;
/** Interval at which the coordinator checks timeouts, reviews limits and sends loads. */
export const coordinatorTickMilliseconds = 100;
/** Interval at which unchanged loads are sent again. */
export const loadRepeatMilliseconds = 1_000;
/**
 * Up to this many members, every member receives the loads of every upstream. In larger fleets
 * only the instances that report to the coordinator of an upstream receive its load.
 */
export const maximumBroadcastMembers = 16;
/** Maximum number of engines of one model from which an instance requests batch capacity. */
export const maximumSelectedEngines = 8;
/** A selected engine that has issued no grant for this long is replaced by another one. */
export const grantTimeoutMilliseconds = 2_000;

/** Duration assumed for a batch call until the first one has ended. */
export const initialCallMilliseconds = 1_000;
/** Weight of the newest batch call in the moving average of call durations. */
export const callDurationSmoothing = 0.1;

/**
 * Calls that must not be repeated are not aborted when their grant is revoked. A revoked grant
 * that is still held after this time counts as such a call, and another grant is revoked instead.
 */
export const revocationLimitMilliseconds = 250;

/** Slots to reserve for online requests, unless set otherwise; see online-reserve.ts. */
export const defaultOnlineReserve = 1;

/**
 * Weight of a batch call, relative to an online request, in the load by which online requests
 * are routed. Batch work fills all engines alike and gives way to online requests. With a weight
 * of 1, every engine would look equally loaded, and online requests would queue at some engines
 * while others could take them.
 */
export const batchLoadWeight = 0.25;
