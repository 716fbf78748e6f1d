/** Constants of the protocol between instances. */

export const protocolVersion = 1;
export const frameHeaderBytes = 4;
export const maximumFrameBytes = 8 * 1024 * 1024;
/** Above this, one-way messages to a peer that does not read are dropped. */
export const maximumQueuedBytes = 4 * 1024 * 1024;
export const connectTimeoutMilliseconds = 1_000;
export const reconnectDelayMilliseconds = 100;
/** A connection on which a request timed out and nothing arrived for this long is replaced. */
export const silentConnectionMilliseconds = 1_500;
