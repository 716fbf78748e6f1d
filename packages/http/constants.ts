/** Constants of the interface for callers and of the operators' port. */

export const maximumJsonBytes = 4 * 1024 * 1024;
export const maximumRouteBodyBytes = 8 * 1024 * 1024;
export const maximumFileBytes = 512 * 1024 * 1024;
/** Fields and separators of a form, beside its file. */
export const maximumFormOverheadBytes = 64 * 1024;
/** Above the usual 60 s of balancers, so that the balancer closes idle connections first. */
export const keepAliveMilliseconds = 65_000;
/** Time for the whole of a request to arrive; an upload of the largest file needs minutes. */
export const requestTimeoutMilliseconds = 900_000;
export const headersTimeoutMilliseconds = 15_000;
/** How long the rest of a refused body is read, so that the caller can read the refusal. */
export const lingerMilliseconds = 2_000;
/** A caller that reads nothing for this long would hold an engine's slot. */
export const readStallTimeoutMilliseconds = 60_000;
/** How long a connection must have been idle before draining closes it. */
export const drainIdleMilliseconds = 1_000;
export const drainSweepIntervalMilliseconds = 50;

/** Characters of an upstream's refusal that an error quotes. */
export const maximumQuotedCharacters = 500;

export const defaultListLimit = 20;
export const maximumListLimit = 100;
export const maximumMetadataPairs = 16;
export const maximumMetadataKeyCharacters = 64;
export const maximumMetadataValueCharacters = 512;
export const maximumIdempotencyKeyCharacters = 255;
export const minimumCompletionWindowMilliseconds = 1_000;
export const maximumCompletionWindowMilliseconds = 7 * 24 * 3600 * 1000;

/** Shorter keys could appear in a body by chance, and refusing it would be wrong. */
export const minimumSearchedKeyCharacters = 16;
