/** Constants of serving callers. */

/** A server in the same or another zone opens a connection within a few milliseconds. */
export const serverConnectTimeoutMilliseconds = 400;
/** A request without a connection by then goes to another server; it has not run. */
export const connectionWaitMilliseconds = 200;
/**
 * A request that may be repeated leaves a server that has not begun after this part of the
 * latency objective, if another server has room to answer within the rest.
 */
export const rerouteAfterObjectives = 0.55;
/** Idle connections are kept as long as servers usually announce. */
export const serverIdleTimeoutMilliseconds = 20_000;
/** A first event that takes this many latency objectives shows a silent server. */
export const headTimeoutObjectives = 3;
export const minimumHeadTimeoutMilliseconds = 800;
/** A pause of this many pause objectives shows a silent server. */
export const bodyIdleTimeoutObjectives = 3;
export const minimumBodyIdleTimeoutMilliseconds = 600;
/** A server that failed is avoided for this long; each further failure doubles it. */
export const initialAvoidanceMilliseconds = 500;
export const maximumAvoidanceMilliseconds = 4_000;
/** Weight of one outcome in the share of a server's failed requests. */
export const failureSmoothingFactor = 0.25;
/** Time in which that share fades to a third while no requests are sent. */
export const failureShareDecayMilliseconds = 6_000;
/** Below this share a server counts as sound. */
export const negligibleFailureShare = 0.05;
/** Share of failures from which peers are told; one failure alone stays below. */
export const reportedFailureShare = 0.3;
/** Weight of what a peer tells of a server against own outcomes. */
export const peerFailureWeight = 0.7;
/** Chance of a server by the share of its requests that succeed: a power. */
export const healthWeightExponent = 4;
/**
 * Latency objectives that a request may be expected to wait at a server. What is known of the
 * servers is a little old, so that real waits are longer.
 */
export const acceptableWaitShares = {
  in_time: 0.4,
  late: 0.8,
  any: Number.POSITIVE_INFINITY,
} as const;
/** A caller with less than this share of its usual deadline left has tried before. */
export const shortenedDeadlineShare = 0.95;
/** Longest Retry-After of a refusal for a full fleet, as a share of the caller's time. */
export const retryAfterDeadlineShare = 0.3;
/** Retry-After of a refusal, if no better time is known. */
export const defaultRetryAfterMilliseconds = 400;
/** A successful answer of a repeatable call is held back up to this size, to allow a retry. */
export const maximumHeldAnswerBytes = 256 * 1024;
/** Requests whose deadline is this close are not sent on. */
export const minimumRemainingMilliseconds = 20;
/** A server of another zone is chosen this much less often than one of the same zone. */
export const otherZoneWeight = 0.6;
/**
 * Chance of a server by its free slots: a power that prefers emptier servers and still spreads
 * what several instances send on the same view.
 */
export const freeCapacityExponent = 2;
/** A slot that a batch run occupies counts as this part of a free one. */
export const displaceableSlotShare = 0.5;
/** Chance of a full server by the length of its queue: a power, like `roomExponent`. */
export const queueExponent = 2;
/** Weight of a new duration in the moving average of the duration of requests. */
export const durationSmoothingFactor = 0.05;
/** Duration of a request that is assumed before any has been seen. */
export const initialDurationMilliseconds = 700;
/**
 * A server that has a free slot begins its answer within about 40 ms. A request that waits
 * longer is behind others, and batch runs among them have to make room.
 */
export const queueCheckIntervalMilliseconds = 65;
