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
/** Largest total text of the results in one answer, except for a single larger result. */
export const maximumResultBytes = 900_000;
/** Largest total size of the item bodies that are cached in memory. */
export const bodyCacheBytes = 6_000_000;
/** Copies of its body that a submission takes: text, decoded bodies and records of the store. */
export const submissionCopies = 3;
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
