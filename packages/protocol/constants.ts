/** Constants of the protocol between instances. */

export const protocolVersion = 1;
export const frameHeaderBytes = 4;
export const maximumFrameBytes = 8 * 1024 * 1024;
/**
 * Bytes that may wait in the send buffer to a peer that does not read. Above this, messages and
 * requests are not sent, and a connection that is owed a reply is closed.
 */
export const maximumQueuedBytes = 4 * 1024 * 1024;
export const connectTimeoutMilliseconds = 1_000;
export const reconnectDelayMilliseconds = 100;
