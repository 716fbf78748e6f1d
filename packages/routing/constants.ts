/** Limits, timeouts and weights for choosing and calling upstreams. */

export const chatPath = "/v1/chat/completions";

export const connectTimeoutMilliseconds = 1_000;
/**
 * A response that is not streamed starts only when generation is complete, so this covers
 * about 2,000 generated tokens.
 */
export const firstByteTimeoutMilliseconds = 120_000;
export const idleTimeoutMilliseconds = 30_000;
/**
 * Below the 5 s after which servers commonly close idle connections, so that few calls are sent
 * on a connection that the server is closing.
 */
export const keepAliveMilliseconds = 4_000;
/** Bytes of a response queued for a slow reader before reading from the upstream is paused. */
export const responseBufferBytes = 256 * 1024;
/** Largest response body that is held in memory to be checked as a whole. */
export const maximumBufferedResponseBytes = 32 * 1024 * 1024;
/** Characters of an upstream's error response that are quoted in an error message. */
export const maximumQuotedCharacters = 300;

/** Leading characters of a prompt that make up its prefix for cache affinity. */
export const prefixCharacters = 256;
/** Engines with the best rendezvous rank that are candidates for a prefix at any rate. */
export const minimumAffinityCandidates = 2;
/** Candidates that are picked at random from the engines of lower rank. */
export const randomCandidates = 2;
export const maximumAffinityCandidates = 8;
/** Requests per second of one prefix for each affinity candidate above the minimum. */
export const prefixRatePerCandidate = 2;
/** Sliding window over which the request rate of a prefix is measured. */
export const prefixRateWindowMilliseconds = 10_000;
/** Maximum number of prefixes with a tracked rate, and of cached rankings. */
export const maximumTrackedPrefixes = 2_000;
/**
 * Subtracted from the load (requests in flight / concurrency) of an engine that is expected to
 * have the prefix in its cache. An engine at or above load 1 gets no bonus.
 */
export const affinityBonus = 0.25;

/** Consecutive failures that start a back-off. A failed connect counts as this many. */
export const failuresBeforeBackOff = 3;
export const initialBackOffMilliseconds = 500;
export const maximumBackOffMilliseconds = 15_000;

export const instanceListPollMilliseconds = 1_000;
export const instanceListTimeoutMilliseconds = 2_000;

/** Retries allowed per request of this instance within the window. */
export const retryBudgetShare = 0.1;
/** Retries allowed within the window in addition to the share. */
export const retryBudgetBase = 3;
export const retryBudgetWindowMilliseconds = 10_000;
export const maximumAttempts = 3;
/**
 * A request that makes engines fail must not reach all of them. Attempts that have not run do not
 * count.
 */
export const maximumAttemptsThatMayHaveRun = 2;
/** Delay before a retry at an upstream that was already tried, when there is no other one. */
export const sameUpstreamRetryDelayMilliseconds = 50;

/** Timeout of one order to an engine, such as loading a model. */
export const orderTimeoutMilliseconds = 5_000;

/** Minimum time between two checks of the models that an engine has loaded. */
export const minimumModelCheckIntervalMilliseconds = 2_000;
/** Checks are repeated because a restarted engine has lost the models it was ordered to load. */
export const modelCheckIntervalMilliseconds = 30_000;
export const modelCheckTimeoutMilliseconds = 5_000;
export const maximumModelCheckBackOffMilliseconds = 60_000;
/** Largest model list that is read from an engine. */
export const maximumModelListBytes = 256 * 1024;
