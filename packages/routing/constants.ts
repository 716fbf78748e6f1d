/** Constants of upstream choice and upstream calls. */

export const chatPath = "/v1/chat/completions";

export const connectTimeoutMilliseconds = 1_000;
/** A whole answer starts only when generation is over, so this covers about 2,000 tokens. */
export const firstByteTimeoutMilliseconds = 120_000;
export const idleTimeoutMilliseconds = 30_000;
/** Kept below the usual 5 s of servers, so that few calls meet a connection that just closed. */
export const keepAliveMilliseconds = 4_000;
/** Bytes of an answer held for a slow reader before reading from the upstream pauses. */
export const responseBufferBytes = 256 * 1024;
/** Largest whole answer that is held in memory to be checked. */
export const maximumBufferedResponseBytes = 32 * 1024 * 1024;
/** Bytes of a refusal that are quoted in an error message. */
export const maximumQuotedCharacters = 300;

export const prefixCharacters = 256;
export const minimumAffinityCandidates = 2;
export const randomCandidates = 2;
export const maximumAffinityCandidates = 8;
/** Requests a second of one prefix that each further candidate takes. */
export const prefixRatePerCandidate = 2;
/** Window over which the rate of a prefix is measured. */
export const prefixRateWindowMilliseconds = 10_000;
export const maximumTrackedPrefixes = 2_000;
/** Load that a cached prefix is worth; an upstream at its limit gets no bonus. */
export const affinityBonus = 0.25;

/** Failures in a row after which an upstream is backed off. A failed connect counts as all. */
export const failuresBeforeBackOff = 3;
export const initialBackOffMilliseconds = 500;
export const maximumBackOffMilliseconds = 15_000;

export const instanceListPollMilliseconds = 1_000;
export const instanceListTimeoutMilliseconds = 2_000;

export const retryBudgetShare = 0.1;
export const retryBudgetBase = 3;
export const retryBudgetWindowMilliseconds = 10_000;
export const maximumAttempts = 3;
/** A request that makes engines fail must not meet all of them. */
export const maximumAttemptsThatMayHaveRun = 2;
/** Pause before the same upstream is tried again because no other is left. */
export const sameUpstreamRetryDelayMilliseconds = 50;

export const orderTimeoutMilliseconds = 5_000;

/** Least time between two checks of the models that an engine has. */
export const minimumModelCheckIntervalMilliseconds = 2_000;
/** An engine that was restarted has lost the models that it was ordered to load. */
export const modelCheckIntervalMilliseconds = 30_000;
export const modelCheckTimeoutMilliseconds = 5_000;
export const maximumModelCheckBackOffMilliseconds = 60_000;
/** Largest list of models that is read from an engine. */
export const maximumModelListBytes = 256 * 1024;
