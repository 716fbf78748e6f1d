/** Constants of files, partitions, jobs and item execution. */

import type { Offset } from "../common/ids.ts";

/** Beyond the end of any stream; a read from here reports only where a stream ends. */
export const offsetBeyondEnd = 2 ** 40 as Offset;

/** Line data of one chunk record; the rest of 256 KiB is left for offsets and envelope. */
export const maximumChunkDataBytes = 240 * 1024;
/** Lines of one chunk; keeps the list of offsets within the rest of the record. */
export const maximumChunkLines = 2_000;
/** A line must fit into one chunk, so that an item is read with one record. */
export const maximumLineBytes = maximumChunkDataBytes - 1;
export const maximumCustomIdLength = 512;
/** Appends of one upload that may be under way or queued; bounds its memory. */
export const maximumQueuedChunks = 4;
/** Chunks kept by each instance for reading; 32 of them take 8 MiB. */
export const maximumCachedChunks = 32;
/** An upload gives up when one append takes longer. */
export const uploadAppendTimeoutMilliseconds = 10_000;

/** Items in one range; small jobs get small ranges, so that all partitions take part. */
export const minimumRangeItems = 100;
export const maximumRangeItems = 2_000;
/** Ranges that a job has for each partition, because their hashes spread a few unevenly. */
export const rangesPerPartition = 4;

/** Calls that answer a caller are repeated towards the current owner for this long. */
export const ownerRetryLimitMilliseconds = 10_000;
export const ownerRetryDelayMilliseconds = 100;
export const ownerRequestMilliseconds = 3_000;
/** An append that has waited longer counts as a log outage. */
export const logStallThresholdMilliseconds = 1_500;
/** Period in which a home owner asks range owners for progress. */
export const rangeSyncPeriodMilliseconds = 1_000;
/** Ranges of one job in one sync message. */
export const maximumRangesPerSync = 256;
/**
 * A new range owner starts items once the home owner has confirmed that the job is not
 * cancelled, or after this time if the home owner cannot be reached.
 */
export const homeConfirmationTimeoutMilliseconds = 3_000;
/** Period in which owners look for work that depends on time. */
export const maintenancePeriodMilliseconds = 250;
/** A new owner waits this long for the release by an active member before it opens its epoch. */
export const releaseTimeoutMilliseconds = 20_000;

/** Items of one instance in flight or completed but not yet in the log. */
export const maximumUnrecordedItems = 256;
export const maximumAttempts = 3;
export const attemptBackOffMilliseconds = 1_000;
/** Refusals with verdict not_run that do not count as attempts; see `classifyFailure`. */
export const maximumUncountedRefusals = 30;
export const maximumBackOffMilliseconds = 10_000;
/** A grant is given back if the intent of its item is not in the log after this time. */
export const intentTimeoutMilliseconds = 2_000;
/** Parsed items kept ready per workspace and target. */
export const readyItemsPerTarget = 256;
/** Ranges of a workspace, by deadline, that keep more than one item ready in any case. */
export const urgentRangesPerWorkspace = 4;
export const readyItemsPerUrgentRange = 64;
/** Line bytes kept ready by one instance; each open range still has its first item ready. */
export const maximumReadyBytes = 16 * 1024 * 1024;

/** Results stay readable for this long after the end of their job. */
export const resultLifetimeMilliseconds = 24 * 3600 * 1000;
/** Upper bound of the lifetime of results and files, as a share of the log's retention. */
export const lifetimeRetentionShare = 0.8;
/** Records that are still needed are appended again at this share of the retention. */
export const carryForwardRetentionShare = 0.5;

/** Copies of completions that are queued at once while a range is carried forward. */
export const maximumQueuedCopies = 64;

/** Records after which a partition checkpoint is written. */
export const recordsPerCheckpoint = 1_000;
/** A reader at the end of a stream without a usable checkpoint gives it up after this time. */
export const missingCheckpointMilliseconds = 5_000;
/** Time after which a partition checkpoint is written, as a share of the retention. */
export const checkpointRetentionShare = 0.25;
export const maximumCheckpointPartBytes = 200 * 1024;
/** Writers whose sequences a partition remembers; each epoch has one. */
export const maximumRememberedWriters = 64;
/** Characters of an upstream's reason that are kept with an item. */
export const maximumReasonLength = 300;
