/** Constants of the protocol between instances. */

export const protocolVersion = 1;
export const frameHeaderBytes = 4;
export const maximumFrameBytes = 8 * 1024 * 1024;
/** Frames up to this size are buffered without a reservation; one read of a socket. */
export const smallFrameBytes = 64 * 1024;
/** Longest pause within a large frame of a peer; then its connection is closed. */
export const frameIdleMilliseconds = 5_000;
/**
 * Bytes that may wait in the send buffer to a peer that does not read. Above this, messages and
 * requests are not sent, and a connection that is owed a reply is closed.
 */
export const maximumQueuedBytes = 4 * 1024 * 1024;
export const connectTimeoutMilliseconds = 1_000;
export const reconnectDelayMilliseconds = 100;
