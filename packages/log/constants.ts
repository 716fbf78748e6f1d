/** Constants of the log client and the group-commit writer. */

/** Schema version that this release writes into records. */
export const recordVersion = 1;
/** Limit of the log service for one record. */
export const maximumRecordBytes = 1024 * 1024;
/** A group is closed at this size; a single larger entry still goes out alone. */
export const maximumGroupBytes = 256 * 1024;
export const appendTimeoutMilliseconds = 2_000;
export const initialRetryDelayMilliseconds = 50;
export const maximumRetryDelayMilliseconds = 1_000;
export const longPollMilliseconds = 500;
/** Extra time that a long poll may take before it counts as failed. */
export const readTimeoutMarginMilliseconds = 1_000;
export const maximumReadBytes = 512 * 1024;
/** The share of the log's append rate that the instances together use. */
export const appendBudgetShare = 0.8;
/** Assumed before a document is published. */
export const defaultAppendsPerSecond = 400;
