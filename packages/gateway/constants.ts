/** Constants of serving callers. */

/** A server in the same or another zone opens a connection within a few milliseconds. */
export const serverConnectTimeoutMilliseconds = 400;
/** A request that has not left by then counts as not run; a little over the connect timeout. */
export const unsentMilliseconds = 450;
/** Idle connections are kept as long as servers usually announce. */
export const serverIdleMilliseconds = 20_000;
/** A first event that takes this many latency objectives shows a silent server. */
export const silentHeadObjectives = 3;
export const silentHeadMinimumMilliseconds = 800;
/** A pause of this many pause objectives shows a silent server. */
export const silentPauseObjectives = 3;
export const silentPauseMinimumMilliseconds = 600;
/** A server that failed is avoided for this long; each further failure doubles it. */
export const avoidMilliseconds = 500;
export const avoidMaximumMilliseconds = 4_000;
/** Share of the latency objective that a request may be expected to wait at servers. */
export const acceptableWaitShare = 0.75;
/** Retry-After of a refusal, if no better time is known. */
export const defaultRetryAfterMilliseconds = 400;
/** A successful answer of a repeatable call is held back up to this size, to allow a retry. */
export const heldAnswerBytes = 256 * 1024;
/** Requests whose deadline is this close are not sent on. */
export const leastRemainingMilliseconds = 20;
/** A server of another zone is chosen this much less often than one of the same zone. */
export const otherZoneWeight = 0.6;
/**
 * Chance of a server by its free slots: a power that prefers emptier servers and still spreads
 * what several instances send on the same view.
 */
export const roomExponent = 2;
/** A slot that a batch run occupies counts as this part of a free one. */
export const batchRoomShare = 0.5;
/** Random part of a server's rank, so that instances with the same view do not all agree. */
export const rankJitter = 0.5;
/** Weight of a new duration in the moving average of the duration of requests. */
export const durationWeight = 0.05;
/** Duration of a request that is assumed before any has been seen. */
export const initialDurationMilliseconds = 700;
/**
 * A server that has a free slot begins its answer within about 40 ms. A request that waits
 * longer is behind others, and batch runs among them have to make room.
 */
export const unexpectedWaitMilliseconds = 65;
