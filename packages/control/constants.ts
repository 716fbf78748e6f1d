/** Limits, intervals and timeouts of the control state, and the name of its stream. */

import { brandAs, type StreamName } from "../common/ids.ts";

export const controlStream = brandAs<StreamName>("control");
/** Newest schema version of control records that this release understands. */
export const controlSchemaVersion = 1;

/**
 * Writers whose last sequence number is kept, so that repeated appends are recognized. Restarts
 * and runs of the operators' tool add about 1,500 writers a day. An append whose response was
 * lost is retried within minutes, so half a day of writers is ample.
 */
export const maximumTrackedWriters = 1_024;
/** Publish verdicts that are kept. The operators' tool reads its verdict within seconds. */
export const maximumStoredVerdicts = 256;
/** Problems listed in one verdict. A document with more is usually broken as a whole. */
export const maximumReportedProblems = 20;
/** Ended incarnations that are kept, so that a delayed join record cannot add one again. */
export const maximumEndedIncarnations = 512;

/** Maximum size of the state data in one part of a checkpoint. */
export const checkpointPartBytes = 200_000;
/** A checkpoint is due once this share of the log's retention has passed since the last one. */
export const checkpointRetentionShare = 1 / 4;
/** Each further member in the ranking waits for this additional share of the retention. */
export const checkpointRankShare = 1 / 16;

/** Freshness window: evidence keeps an instance fresh for this long. */
export const freshnessMilliseconds = 2_000;
/** Up to this number of members, each member exchanges heartbeats with every other one. */
export const maximumFullMeshMembers = 16;
/** With three relays, a zone can lose one and still get evidence from the majority of them. */
export const relaysPerZone = 3;
/** Interval of all heartbeats for which `relayHeartbeatIntervalMilliseconds` does not apply. */
export const heartbeatIntervalMilliseconds = 500;
/**
 * Interval of the heartbeats of relays, and of leaves that have just read the log. With 60
 * relays, a shorter interval would exceed 9 KB/s for each relay.
 */
export const relayHeartbeatIntervalMilliseconds = 1_000;
/** A reply later than this is too old to keep the instance fresh until the next reply. */
export const heartbeatDeadlineMilliseconds = 1_000;

/** A member that was not heard from for this long is reported as silent. */
export const silenceThresholdMilliseconds = 3_000;
/** A report of silent members counts for this long. */
export const reportValidityMilliseconds = 2_500;
/**
 * If half of the members are lost at once, no majority is left to report them. After this long a
 * silence, the agreement of all members that still report is enough to propose an eviction. This
 * is safe because the log decides on the eviction.
 */
export const unanimousSilenceThresholdMilliseconds = 15_000;
/** A relay that was silent for this long may be the first sign that its zone is lost. */
export const relaySilenceThresholdMilliseconds = 1_500;
/** All members of a zone with a silent relay are contacted directly for this long. */
export const lostZoneWatchMilliseconds = 10_000;
/** Delay for each place in the ranking of proposers, so that only one appends the eviction. */
export const proposalRankDelayMilliseconds = 500;

/**
 * A superseded set of voters counts for in-force decisions until a majority of it has applied
 * the record that superseded it. It counts no longer than this, because a dead majority must not
 * block decisions forever.
 */
export const supersededVotersTimeoutMilliseconds = 60_000;

/** Number and total size of the recent records kept for peers that cannot read the log. */
export const maximumRelayedRecords = 512;
export const maximumRelayedBytes = 4 * 1024 * 1024;
/** Total size of the records in one reply to a fetch, unless a single record is larger. */
export const maximumFetchBytes = 512 * 1024;
export const fetchDeadlineMilliseconds = 1_000;
/** Delay before announced records are fetched from a peer; the own long poll may be faster. */
export const fetchDelayMilliseconds = 50;

export const rejoinInitialDelayMilliseconds = 500;
/** Reached after ten evictions in a row, for example in a lasting network partition. */
export const rejoinMaximumDelayMilliseconds = 300_000;
/** An instance that was a member for longer than this starts again at the initial delay. */
export const rejoinResetAfterMilliseconds = 600_000;
/**
 * An evicted instance that cannot reach a majority of the voters would only be evicted again, and
 * ownership would move twice each time. After its delay it waits up to this long for a majority,
 * then joins anyway, because the voters may be dead.
 */
export const rejoinUnreachableTimeoutMilliseconds = 30_000;
/** Interval at which an evicted instance checks whether it can join again. */
export const rejoinPollMilliseconds = 250;
