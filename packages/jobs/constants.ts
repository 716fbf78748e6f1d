/** Constants of the batch jobs. */

/** Records that belong together are written in calls of at most this size. */
export const maximumAppendBytes = 1_800_000;
/** Largest value of one record, below the store's 256 KiB. */
export const maximumValueBytes = 240_000;
/** Results gather this long before they are written together. */
export const groupCommitMilliseconds = 100;
/** Pause between two reads of a partition that another instance owns. */
export const nonOwnerReadPauseMilliseconds = 300;
/** A copy of a partition older than this does not prove that a result is missing. */
export const maximumCopyAgeMilliseconds = 600;
/** Largest answer to a read of results. */
export const maximumResultBytes = 900_000;
/** Bodies of items that are kept in memory. */
export const bodyCacheBytes = 6_000_000;
/** How long the store may be asked to accept a job, of the time that the caller allows. */
export const submitDeadlineShare = 0.8;
export const defaultSubmitDeadlineMilliseconds = 3_000;
/** Pause between two tries of the same write. */
export const writeRetryMilliseconds = 150;
/** Interval at which waiting items are matched with free servers. */
export const executorIntervalMilliseconds = 50;
/**
 * Slots of each server that batch runs leave free for the next online requests, by the slack of
 * the item: with ample time more, near its due time none.
 */
export const slotsKeptFree = 1;
export const slotsKeptFreeWithAmpleSlack = 2;
export const ampleSlackMilliseconds = 6_000;
export const urgentSlackMilliseconds = 2_500;
/** An item that a server refused or broke off waits this long before it is sent again. */
export const itemRetryMilliseconds = 150;
/** Longest wait of an item that failed repeatedly. */
export const itemRetryMaximumMilliseconds = 1_500;
/** An item's first event may take this long, since it waits behind other requests. */
export const itemHeadTimeoutMilliseconds = 3_000;
export const itemIdleTimeoutMilliseconds = 1_500;
/** Deadline that is sent on with an item; items have none of their own. */
export const itemDeadlineMilliseconds = 60_000;
/** Runs that one instance carries at the same time. */
export const maximumConcurrentRuns = 64;
/** Interval of writing how far the runs have got. */
export const progressIntervalMilliseconds = 1_500;
/** Reads of an earlier owner's progress before its items begin anew, and the pause between. */
export const progressReadAttempts = 4;
export const progressReadRetryMilliseconds = 250;
/** How long a leaving instance waits for the store to take the progress of its runs. */
export const handoverTimeoutMilliseconds = 1_500;
/** Weight of a new item in the averages of events and of their duration. */
export const movingAverageWeight = 0.1;
/**
 * Time between the end of a run and the moment at which a caller reads the result: gathering,
 * writing and reading it at another instance.
 */
export const resultDeliveryMilliseconds = 500;
