/** Constants of the log client and the group-commit writer. */

/** Schema version that this release writes into records. */
export const recordVersion = 1;
/** The log service refuses larger records. */
export const maximumRecordBytes = 1024 * 1024;
/** A group holds entries up to this size; a single larger entry is appended alone. */
export const maximumGroupBytes = 256 * 1024;
export const appendTimeoutMilliseconds = 2_000;
export const initialRetryDelayMilliseconds = 50;
export const maximumRetryDelayMilliseconds = 1_000;
export const longPollMilliseconds = 500;
/** Time that a long poll may take beyond its wait before it counts as failed. */
export const readTimeoutMarginMilliseconds = 1_000;
export const maximumReadBytes = 512 * 1024;
/** Share of the log service's append rate that all instances together use. */
export const appendBudgetShare = 0.8;
/** Append rate of the fleet that is assumed until a document is published. */
export const defaultAppendsPerSecond = 400;
