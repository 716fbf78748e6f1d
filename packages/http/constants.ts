/** Constants of the caller-facing API: size limits, timeouts and limits of request fields. */

/** Default limit for the JSON body of a chat or batch request. */
export const maximumJsonBytes = 4 * 1024 * 1024;
/** Default limit for the body of a request to a plain service. */
export const maximumRouteBodyBytes = 8 * 1024 * 1024;
/** Default limit for an uploaded file. */
export const maximumFileBytes = 512 * 1024 * 1024;
/** Allowance for the fields and boundaries of a multipart form, in addition to its file. */
export const maximumFormOverheadBytes = 64 * 1024;
/**
 * Keep-alive timeout of idle connections. It exceeds the idle timeout of load balancers, usually
 * 60 s, so that the balancer closes idle connections first.
 */
export const keepAliveMilliseconds = 65_000;
/** Time limit for receiving a complete request; an upload of the largest file takes minutes. */
export const requestTimeoutMilliseconds = 900_000;
/** Time limit for receiving the request line and the headers. */
export const headersTimeoutMilliseconds = 15_000;
/**
 * How long the rest of a refused request body is read and discarded before the connection is
 * closed, so that the caller can read the error response. Also the time limit for writing the error
 * event that ends a failed event stream.
 */
export const lingerMilliseconds = 2_000;
/**
 * A caller that stops reading a response is disconnected after this time, because the request would
 * otherwise keep a slot of its engine occupied.
 */
export const readStallTimeoutMilliseconds = 60_000;
/** While draining, connections are closed once they have been idle for this long. */
export const drainIdleMilliseconds = 1_000;
/** Interval at which draining looks for idle connections to close. */
export const drainSweepIntervalMilliseconds = 50;

/** Length limit for an engine's error message that is quoted to the caller. */
export const maximumQuotedCharacters = 500;

/** Batches per page of a list. */
export const defaultListLimit = 20;
export const maximumListLimit = 100;
/** Limits for the metadata of a batch. */
export const maximumMetadataPairs = 16;
export const maximumMetadataKeyCharacters = 64;
export const maximumMetadataValueCharacters = 512;
export const maximumIdempotencyKeyCharacters = 255;
/** Bounds for the time from the creation of a batch to its deadline. */
export const minimumCompletionWindowMilliseconds = 1_000;
export const maximumCompletionWindowMilliseconds = 7 * 24 * 3600 * 1000;

/**
 * Requests are searched only for keys of at least this length. A shorter key could appear in a body
 * by chance, and the request would be refused wrongly.
 */
export const minimumSearchedKeyCharacters = 16;
