/** Limits, timeouts and periods of files, partitions, jobs and item execution. */

import type { Offset } from "../common/ids.ts";

/** Past the end of any stream; a read from this offset returns only the bounds of the stream. */
export const offsetBeyondEnd = 2 ** 40 as Offset;

/**
 * Bytes of line data in one chunk record. A record holds at most 256 KiB; the remaining 16 KiB are
 * for the line offsets and the envelope.
 */
export const maximumChunkDataBytes = 240 * 1024;
/** Lines in one chunk; bounds the list of line offsets to its part of the record. */
export const maximumChunkLines = 2_000;
/** A line with its line feed must fit into one chunk, so that one record holds a whole item. */
export const maximumLineBytes = maximumChunkDataBytes - 1;
export const maximumCustomIdLength = 512;
/** Chunks of one upload that may be queued or in flight; bounds its memory. */
export const maximumQueuedChunks = 4;
/** Chunks in the read cache of each instance; 32 take 8 MiB. */
export const maximumCachedChunks = 32;
/** An upload fails if one of its appends takes longer. */
export const uploadAppendTimeoutMilliseconds = 10_000;

/** Bounds of the items per range; small jobs get small ranges, so that all partitions run items. */
export const minimumRangeItems = 100;
export const maximumRangeItems = 2_000;
/** Ranges of a job per partition. Hashing distributes ranges unevenly if there are few of them. */
export const rangesPerPartition = 4;

/** A request to a partition's owner on behalf of a caller is retried for this long. */
export const ownerRetryLimitMilliseconds = 10_000;
export const ownerRetryDelayMilliseconds = 100;
export const ownerRequestMilliseconds = 3_000;
/** The log counts as unavailable while an append has been waiting for longer. */
export const logStallThresholdMilliseconds = 1_500;
/** Interval at which a home owner asks range owners for progress. */
export const rangeSyncPeriodMilliseconds = 1_000;
/** Ranges of one job in one sync-ranges message. */
export const maximumRangesPerSync = 256;
/**
 * A new range owner starts items when the home owner has confirmed that the job is not cancelled,
 * or after this time if there is no confirmation because the home owner cannot be reached.
 */
export const homeConfirmationTimeoutMilliseconds = 3_000;
/** Interval at which owners check for work that depends on time, such as retries and syncs. */
export const maintenancePeriodMilliseconds = 250;
/**
 * A new owner waits at most this long for the previous owner to release the partition while that
 * instance is still an active member. Then it opens its epoch.
 */
export const releaseTimeoutMilliseconds = 20_000;

/** Items of one instance that are in flight, or completed but not yet recorded in the log. */
export const maximumUnrecordedItems = 256;
export const maximumAttempts = 3;
export const attemptBackOffMilliseconds = 1_000;
/**
 * Refusals of an item with verdict not_run that do not count as attempts. The next refusal counts
 * as one, and the count starts again.
 */
export const maximumUncountedRefusals = 30;
export const maximumBackOffMilliseconds = 10_000;
/** A grant is returned if the intent of its item is not recorded in the log after this time. */
export const intentTimeoutMilliseconds = 2_000;
/** Parsed items that are ready to start, per workspace and target. */
export const readyItemsPerTarget = 256;
/**
 * Number of ranges of a workspace, in order of deadline, that keep `readyItemsPerUrgentRange`
 * items ready even if the limit per target is reached. Every other open range keeps one.
 */
export const urgentRangesPerWorkspace = 4;
export const readyItemsPerUrgentRange = 64;
/** Bytes of ready items per instance; at the limit each open range still keeps one item ready. */
export const maximumReadyBytes = 16 * 1024 * 1024;

/** Results stay readable for at most this long after the end of their job. */
export const resultLifetimeMilliseconds = 24 * 3600 * 1000;
/** Lifetime of files and longest lifetime of results, as a share of the log's retention. */
export const lifetimeRetentionShare = 0.8;
/** Records that are still needed are carried forward at this age, as a share of the retention. */
export const carryForwardRetentionShare = 0.5;

/** Copies of completions queued for append at a time while a range is carried forward. */
export const maximumQueuedCopies = 64;

/** A partition checkpoint is written after this many records. */
export const recordsPerCheckpoint = 1_000;
/**
 * A follower at the end of a stream whose older records are lost waits this long for a usable
 * checkpoint before it continues without one.
 */
export const missingCheckpointMilliseconds = 5_000;
/** A partition checkpoint is written at this age of the last one, as a share of the retention. */
export const checkpointRetentionShare = 0.25;
export const maximumCheckpointPartBytes = 200 * 1024;
/** Writers whose last sequence a partition keeps to detect duplicates; each epoch has one. */
export const maximumRememberedWriters = 64;
/** Characters of an upstream's failure reason that are stored with an item. */
export const maximumReasonLength = 300;
