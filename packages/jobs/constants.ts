/** Sizes, intervals and time limits of the batch jobs. */

/** Largest size of one append call to the store, with the overhead of its records. */
export const maximumAppendBytes = 1_800_000;
/** Largest value of one record; the store accepts at most 256 KiB. */
export const maximumValueBytes = 240_000;
/** Group commit: results are collected this long and then written together. */
export const groupCommitMilliseconds = 100;
/** Pause between two reads of a partition that another instance owns. */
export const nonOwnerReadPauseMilliseconds = 300;
/**
 * Greatest age of the local copy of a partition from which an instance may answer that a job has
 * no further results yet; an older copy is refreshed first.
 */
export const maximumCopyAgeMilliseconds = 600;
/** A key of the store, which holds the id of the job and up to ten more bytes, has 255 at most. */
export const maximumJobIdBytes = 240;
/** Largest total text of the results in one answer, except for a single larger result. */
export const maximumResultBytes = 900_000;
/**
 * Largest text of an item in UTF-8; it is stored in several records, and read in one answer. A run
 * that exceeds it may come from a server that sends without end, so that the item starts anew.
 */
export const maximumItemTextBytes = 900_000;
/**
 * Runs that exceed it before the item may be given up, since the text itself seems to be too large.
 * As for other items without an end, that is not before the retention time of the job.
 */
export const maximumOversizedRuns = 3;
/** Largest total size of the item bodies that are cached in memory. */
export const bodyCacheBytes = 6_000_000;
/** Copies of its body that a submission takes: text, decoded bodies and records of the store. */
export const submissionCopies = 3;
/** Copies of its bodies that a job takes while they are loaded: records of the store and bodies. */
export const bodyLoadCopies = 2;
/** Share of the caller's deadline during which the write of a submitted job is retried. */
export const submitDeadlineShare = 0.8;
/** Deadline of a submission whose caller sends none. */
export const defaultSubmitDeadlineMilliseconds = 3_000;
/** Pause before a failed write to the store is retried; for results it grows with each attempt. */
export const writeRetryMilliseconds = 150;
/** Interval at which waiting items are matched with free servers. */
export const executorIntervalMilliseconds = 50;
/** Slots of each server that batch runs leave free for the next online requests. */
export const slotsKeptFree = 1;
/** An item with less slack than this is urgent and may take the last free slot. */
export const urgentSlackMilliseconds = 2_500;
/**
 * Pause before an item is sent again after a server refused, interrupted or failed it, or after
 * it was displaced. The pause grows with each interruption.
 */
export const itemRetryMilliseconds = 150;
/**
 * Pause before the next attempt of an item whose run failed, for each failed run. Meanwhile the
 * fleet learns which servers fail.
 */
export const itemFailureRetryMilliseconds = 700;
/** Longest pause after repeated interruptions, and the pause of an item that cannot be sent. */
export const itemRetryMaximumMilliseconds = 1_500;
/**
 * Pause before an item is sent again whose servers have crashed twice before they began to answer; it
 * doubles with each further crash, since the item may be the cause.
 */
export const itemCrashRetryMilliseconds = 1_500;
/** Longest wait for the response head of an item, which may queue behind other requests. */
export const itemHeadTimeoutMilliseconds = 3_000;
/** Longest pause within the response to an item. */
export const itemIdleTimeoutMilliseconds = 1_500;
/** Deadline that is sent to the server with an item; callers set none for items. */
export const itemDeadlineMilliseconds = 60_000;
/** Largest number of items that one instance runs at the same time. */
export const maximumConcurrentRuns = 64;
/** Interval at which the progress of unfinished items is written to the store. */
export const progressIntervalMilliseconds = 1_500;
/**
 * Attempts to read the progress that earlier owners stored, and the pause after a failed one. If
 * all attempts fail, the items start from the beginning.
 */
export const progressReadAttempts = 4;
export const progressReadRetryMilliseconds = 250;
/** How long an instance that gives up partitions waits until results and progress are stored. */
export const handoverTimeoutMilliseconds = 1_500;
/** Weight of a new sample in the moving averages of events per token and time per event. */
export const movingAverageWeight = 0.1;
/**
 * Time from the end of a run until a caller reads its result: group commit, write to the store
 * and read by another instance.
 */
export const resultDeliveryMilliseconds = 500;
/**
 * How long tokens stay reserved for an admitted job that has not been read back from the store;
 * longer than a submission may take, including the retries of its write.
 */
export const tokenReservationMilliseconds = 6_000;
/** Time over which the rate is measured at which the waiting tokens of a workspace are worked off. */
export const drainRateWindowMilliseconds = 5_000;
/** Bounds of the Retry-After of a job that exceeds the limit of waiting tokens. */
export const minimumTokenRetryAfterMilliseconds = 400;
export const maximumTokenRetryAfterMilliseconds = 10_000;
/** Longest wait for the instance that admits the jobs of a workspace; then the next one is asked. */
export const admissionTimeoutMilliseconds = 120;
/** Factor on the average run time within which nearly all runs of items end. */
export const runTimeMargin = 1.3;
/**
 * Share of a job's lifetime that its records are kept beyond its end of life, for readers that are
 * slow and instances whose clocks differ; 30 s at a lifetime of 120 s.
 */
export const retentionMarginShare = 0.25;
/**
 * Share of a job's lifetime after which records of a job that does not exist are removed: bodies
 * whose submission failed, or results that arrived after the removal; 60 s at a lifetime of 120 s.
 * Far longer than a submission may take from its bodies to its job record (`submissionGapShare`).
 */
export const orphanAgeShare = 0.5;
/**
 * Share of a job's lifetime after which the job record is not written any more, since the writing of
 * its bodies began too long ago, as after a freeze of the process; they are written again.
 */
export const submissionGapShare = 0.125;
/** Most records of one partition that are removed in one sweep, about 50 KB of removals. */
export const maximumRemovalsPerSweep = 1_000;
/** Pause of the removals of a partition after a failed one. */
export const removalRetryMilliseconds = 5_000;
/**
 * Interval at which the owner of a partition searches for bodies of jobs that do not exist, beside
 * the search after its assignment. A search reads live bodies.
 */
export const orphanSearchMilliseconds = 600_000;
/**
 * Fill of the store, as a share of its capacity, from which bodies of listed items are removed before
 * their job, and from which they are removed at once. Bodies younger than the history take up room
 * in any case.
 */
export const earlyBodyRemovalFill = 0.3;
export const immediateBodyRemovalFill = 0.5;
/** Shortest time that the body of an item is kept after it was listed or its job was ended. */
export const minimumBodyGraceMilliseconds = 2_000;
/**
 * Fill of the store above which new jobs are refused. The rest is left for results and progress of
 * accepted jobs, for removals, and for what instances write before they hear of each other's writes.
 */
export const refusalFill = 0.75;
/** Assumed text of an open item as long as no result has been read. */
export const defaultTextBytes = 4_096;
/** Retry-After of a job that is refused since the store is nearly full. */
export const fullStoreRetryAfterMilliseconds = 5_000;
