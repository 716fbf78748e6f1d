/** Constants of the control state. */

import { brandAs, type StreamName } from "../common/ids.ts";

export const controlStream = brandAs<StreamName>("control");
/** Newest schema version of control records that this release understands. */
export const controlSchemaVersion = 1;

/**
 * Writers whose last sequence is kept. Restarts and runs of the operators' tool bring about
 * 1,500 writers a day; a lost answer is repeated within minutes, so half a day is ample.
 */
export const maximumTrackedWriters = 1_024;
/** Verdicts kept for the operators' tool, which reads them within seconds. */
export const maximumStoredVerdicts = 256;
/** Problems named in one verdict; a document with more is usually broken as a whole. */
export const maximumReportedProblems = 20;
/** Ended incarnations that are kept, so that a late record cannot bring one back. */
export const maximumEndedIncarnations = 512;

export const checkpointPartBytes = 200_000;
/** A checkpoint is due after this share of the retention. */
export const checkpointRetentionShare = 1 / 4;
/** The next member in rank writes an overdue checkpoint after this further share. */
export const checkpointRankShare = 1 / 16;

export const freshnessMilliseconds = 2_000;
/** Up to this number of members everybody exchanges heartbeats with everybody. */
export const maximumFullMeshMembers = 16;
/** Three relays let a zone lose one without losing its evidence. */
export const relaysPerZone = 3;
export const heartbeatIntervalMilliseconds = 500;
/** Between relays; at 60 relays a shorter period would exceed 9 KB/s. */
export const relayHeartbeatIntervalMilliseconds = 1_000;
/** An answer later than this is too old to keep the instance fresh until the next one. */
export const heartbeatDeadlineMilliseconds = 1_000;

/** A member that was not heard from for this long is reported as silent. */
export const silenceThresholdMilliseconds = 3_000;
/** Reports of silent members count for this long. */
export const reportValidityMilliseconds = 2_500;
/**
 * If half of the members are lost at once, no majority is left to report them. After this long,
 * the agreement of all members that can still be heard is enough; the log keeps it safe.
 */
export const unanimousSilenceThresholdMilliseconds = 15_000;
/** A relay that was silent for this long may be the first sign of a lost zone. */
export const relaySilenceThresholdMilliseconds = 1_500;
/** A zone with a silent relay is watched directly for this long. */
export const lostZoneWatchMilliseconds = 10_000;
/** Proposers wait for those before them in rank, so that one eviction is appended once. */
export const proposalRankDelayMilliseconds = 500;

/**
 * A superseded set of voters counts for in-force decisions until its majority knows its
 * successor, but no longer than this: a dead majority must not block decisions for ever.
 */
export const supersededVotersTimeoutMilliseconds = 60_000;

/** Records kept for peers that cannot read the log. */
export const maximumRelayedRecords = 512;
export const maximumRelayedBytes = 4 * 1024 * 1024;
export const maximumFetchBytes = 512 * 1024;
export const fetchDeadlineMilliseconds = 1_000;
/** Time that the own long poll gets before announced records are fetched from a peer. */
export const fetchDelayMilliseconds = 50;

export const rejoinInitialDelayMilliseconds = 500;
/** Reached after ten evictions in a row, as in a partition that lasts. */
export const rejoinMaximumDelayMilliseconds = 300_000;
/** A member that stayed this long begins again with the initial delay. */
export const rejoinResetAfterMilliseconds = 600_000;
/**
 * An evicted instance that cannot reach a majority of the voters would only be evicted again, and
 * each time ownership would move twice. It waits this long before it tries nevertheless, because
 * the voters may be dead.
 */
export const rejoinUnreachableTimeoutMilliseconds = 30_000;
export const rejoinPollMilliseconds = 250;
