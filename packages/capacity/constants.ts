/** Constants of the capacity coordinator. */

/** Period of the full reports of instances that hold grants or have demand. */
export const heartbeatMilliseconds = 250;
/** Instances with only online requests at an upstream send every fourth heartbeat. */
export const heartbeatsPerOnlineReport = 4;
/** Grants and online requests of an instance that is silent for this long are dropped. */
export const clientTimeoutMilliseconds = 2_000;
/** How long a new coordinator collects what is in flight before it grants. */
export const recoveryMilliseconds = 500;
/** Period of the coordinator's own work: expiry, limits and load messages. */
export const coordinatorTickMilliseconds = 100;
/** Loads that did not change are repeated this often. */
export const loadRepeatMilliseconds = 1_000;
/** Up to this many members, every member gets the loads of every upstream. */
export const maximumBroadcastMembers = 16;
/** Upstreams of one model at which an instance asks for batch capacity. */
export const maximumSelectedEngines = 8;
/** An upstream that gave no grant for this long is exchanged for another one. */
export const grantTimeoutMilliseconds = 2_000;

/** Slot time assumed for a grant before the first one has ended. */
export const initialCallMilliseconds = 1_000;
/** Weight of the newest call in the moving average of slot time. */
export const callDurationSmoothing = 0.1;

/**
 * Calls that may not be repeated are not aborted. A revoked grant that is held for this long
 * counts as such a call, and another grant is revoked in its place.
 */
export const revocationLimitMilliseconds = 250;

export const defaultOnlineReserve = 1;

/**
 * How much a batch call counts in the load by which online requests are routed. Batch work
 * fills all engines alike and yields, so with a full weight every engine looks equally loaded
 * and online requests queue at some while others could take them.
 */
export const batchLoadWeight = 0.25;
