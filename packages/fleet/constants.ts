/** Constants of what instances know of each other and of the servers. */

/** A peer's report older than this says nothing any more; a few report intervals. */
export const peerLoadLifetimeMilliseconds = 1_000;
/** A server's statement of its load is outdated after about half of a request's duration. */
export const selfReportedLoadLifetimeMilliseconds = 250;
/** Time between two reports while the own loads change; requests last about 900 ms. */
export const reportIntervalMilliseconds = 50;
/** Time between two reports while the own loads stay the same. */
export const unchangedReportIntervalMilliseconds = 150;
/** Interval added for each peer, so that the cost of reports does not grow with the square. */
export const reportIntervalPerPeerMilliseconds = 5;
/** A peer that was silent this long is taken as unreachable; several report intervals. */
export const peerSilenceTimeoutMilliseconds = 1_500;
/** A server that lives writes its entry again within two seconds of the end of an outage. */
export const serverEntryGraceMilliseconds = 2_300;
/** Lease of a partition in the group of owners; the store allows no less than a second. */
export const ownerLeaseMilliseconds = 2_500;
/** Interval of joining the group; several attempts fit into one lease. */
export const ownerJoinIntervalMilliseconds = 700;
/** A silent peer gets a report this often, which shows when it can be reached again. */
export const silentPeerReportIntervalMilliseconds = 500;
/** Least time between two deliveries of records to the same peer. */
export const documentPushIntervalMilliseconds = 150;
