/** Timing constants for peer reports, server entries and partition ownership. */

/** Age at which the loads in a peer's report are discarded; a few report intervals. */
export const peerLoadLifetimeMilliseconds = 1_000;
/**
 * Age at which the load that a server reports of itself is ignored. It is outdated after about
 * half of a request's duration; the limit lies below that.
 */
export const selfReportedLoadLifetimeMilliseconds = 250;
/**
 * Time between two reports while this instance's loads change; short compared with the duration of
 * a request, which is about 900 ms.
 */
export const reportIntervalMilliseconds = 50;
/** Time between two reports while this instance's loads stay the same. */
export const unchangedReportIntervalMilliseconds = 150;
/**
 * The report interval is at least this long for each member, so that the cost of reports does not
 * grow with the square of the number of members.
 */
export const reportIntervalPerMemberMilliseconds = 5;
/** Interval at which a report carries the usage of all limits, and not only those that changed. */
export const fullUsageIntervalMilliseconds = 1_000;
/** A peer not heard from for this long counts as unreachable; several report intervals. */
export const peerSilenceTimeoutMilliseconds = 1_500;
/**
 * How long a server is kept when its entry disappears within this time of a store outage. A
 * live server writes its entry again within two seconds of the end of an outage.
 */
export const serverEntryGraceMilliseconds = 2_300;
/**
 * How long it is kept after a shorter failure, in which hardly an entry expires. A server that
 * leaves serves for two seconds after the removal of its entry.
 */
export const briefFailureGraceMilliseconds = 1_400;
/** A store failure of at least this length is an outage; entries expire after several seconds. */
export const minimumOutageMilliseconds = 1_000;
/** Lease of a partition in the group of owners; the store allows no less than one second. */
export const ownerLeaseMilliseconds = 2_500;
/** Interval at which an owner joins the group again; several attempts fit into one lease. */
export const ownerJoinIntervalMilliseconds = 700;
/** Interval of reports to a silent peer, which show when it can be reached again. */
export const silentPeerReportIntervalMilliseconds = 500;
/** Minimum time between two deliveries of document records to the same peer. */
export const documentPushIntervalMilliseconds = 150;
