/** Time limits, thresholds and weights with which requests of callers are served. */

/**
 * Time limit for opening a connection to a server. Opening one takes a few milliseconds, whether
 * the server is in the same or in another zone.
 */
export const serverConnectTimeoutMilliseconds = 400;
/** An attempt that has no connection after this time has not run and goes to another server. */
export const connectionWaitMilliseconds = 200;
/** Interim answers (1xx) after which a server counts as failing; a sound one sends one or two. */
export const maximumInterimAnswers = 8;
/**
 * A retryable request moves to another server if its server has not begun to answer after this
 * share of the latency objective and the other one has a free slot, so that it can answer within
 * the rest of the objective.
 */
export const rerouteAfterObjectives = 0.55;
/**
 * Idle connections to servers are closed after this time, which is the keep-alive time that
 * servers usually announce.
 */
export const serverIdleTimeoutMilliseconds = 20_000;
/**
 * A server whose answer has not begun after this many latency objectives counts as silent, but
 * not before the minimum.
 */
export const headTimeoutObjectives = 3;
export const minimumHeadTimeoutMilliseconds = 800;
/**
 * A server that pauses within a stream for this many pause objectives counts as silent, but not
 * before the minimum.
 */
export const bodyIdleTimeoutObjectives = 3;
export const minimumBodyIdleTimeoutMilliseconds = 600;
/** A server that failed is avoided for this time; each further failure doubles it. */
export const initialAvoidanceMilliseconds = 500;
export const maximumAvoidanceMilliseconds = 4_000;
/**
 * A server that has crashed is avoided for this time, unless it states earlier that it has started
 * again.
 */
export const crashAvoidanceMilliseconds = 3_000;
/** Smoothing factor of a server's failure share: the weight of one outcome. */
export const failureSmoothingFactor = 0.25;
/**
 * Time constant of the exponential decay of the failure share while no requests are sent: after
 * this time it has fallen to about a third (1/e).
 */
export const failureShareDecayMilliseconds = 6_000;
/** A server with a failure share below this counts as healthy. */
export const negligibleFailureShare = 0.05;
/**
 * Failure share from which a server is reported to peers. It is above `failureSmoothingFactor`,
 * so that a single failure is not reported.
 */
export const reportedFailureShare = 0.3;
/** Factor on failure shares that peers report, which count less than own outcomes. */
export const peerFailureWeight = 0.7;
/**
 * Largest failure share of an avoided server that takes requests for which the others have no
 * room. Two failures in a row are below it and three above, after which a server that fails all
 * requests gets less than one per second from each instance.
 */
export const maximumFailureShareOfSubstitute = 0.5;
/** In the weight of a server, the share of its requests that succeed is raised to this power. */
export const healthWeightExponent = 4;
/**
 * Longest expected wait at a server for which a request is still sent, in latency objectives.
 * The known loads are slightly outdated, so that real waits are longer than expected ones.
 */
export const acceptableWaitShares = {
  in_time: 0.4,
  late: 0.8,
  any: Number.POSITIVE_INFINITY,
} as const;
/**
 * A request whose deadline is below this share of the longest one on its route counts as a
 * retry: an earlier attempt of the caller has used up part of its time.
 */
export const shortenedDeadlineShare = 0.95;
/**
 * Longest Retry-After of a refusal because all servers are full, as a share of the time that the
 * caller has left.
 */
export const retryAfterDeadlineShare = 0.3;
/** Retry-After of a refusal without a better estimate; refusals for full servers use no less. */
export const defaultRetryAfterMilliseconds = 400;
/**
 * A successful answer to a retryable request is held back up to this size, so that the request
 * can still be sent to another server if the answer is cut off.
 */
export const maximumHeldAnswerBytes = 256 * 1024;
/** A request with less time than this until its deadline is not sent to a server. */
export const minimumRemainingMilliseconds = 20;
/** Retry-After of a leaving instance; the caller comes to another one, which has room. */
export const leavingRetryAfterMilliseconds = 50;
/** Factor on the weight of a server in another zone than this instance. */
export const otherZoneWeight = 0.6;
/**
 * In the weight of a server, its free capacity is raised to this power. This prefers emptier
 * servers and still spreads the requests that several instances send on the same view of the
 * loads.
 */
export const freeCapacityExponent = 2;
/**
 * The same where servers differ in speed. Their speed draws requests to the fast ones in addition,
 * which instances with the same view would otherwise fill together.
 */
export const freeCapacityExponentOfUnequalServers = 1.5;
/** A slot that a batch run occupies counts as this share of a free slot. */
export const displaceableSlotShare = 0.5;
/** In the weight of a server, its expected time of work is raised to the negative of this power. */
export const workTimeExponent = 0.5;
/** A slot beyond the concurrency limit of its server counts as this share of another free slot. */
export const slotBeyondLimitShare = 0.3;
/** The weight of a full server is divided by the length of its queue to this power. */
export const queueExponent = 2;
/** Attempts that did not run which are tolerated beyond the route's maximum of attempts. */
export const additionalRefusals = 3;
/**
 * Longest wait for servers at their limits, in latency objectives. A request that is sent when a
 * token is due finds a free slot and begins at once.
 */
export const acceptableLimitWaitShares = {
  in_time: 0.7,
  any: Number.POSITIVE_INFINITY,
} as const;
/**
 * Share of its remaining time for which a caller who has come back waits for servers at their limits.
 */
export const returnedCallerWaitShare = 0.5;
/** Interval at which requests are tried again that wait for servers at their limits. */
export const sendRetryIntervalMilliseconds = 50;
/** Smoothing factor of the average duration of requests: the weight of one new duration. */
export const durationSmoothingFactor = 0.05;
/** Average duration that is assumed before any request has been served. */
export const initialDurationMilliseconds = 700;
/**
 * Interval at which a request whose answer has not begun is checked. A server that has a free
 * slot begins its answer within about 40 ms, so that a request which waits longer is queued
 * behind others, and batch runs among them have to be displaced.
 */
export const queueCheckIntervalMilliseconds = 65;
/** Time from the start within which the first configuration and list of servers are read. */
export const startWaitMilliseconds = 1_500;
/** Requests that are held in that time; further ones are refused. */
export const maximumRequestsHeldAtStart = 256;
/**
 * After an error that ends a request before its body, further bytes are dropped for this time and
 * up to this size, so that a caller that is still sending can read the error.
 */
export const lingerMilliseconds = 1_000;
export const lingerBytes = 2 * 1024 * 1024;
