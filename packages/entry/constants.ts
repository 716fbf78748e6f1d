/** Constants of an entry instance's start and end. */

/** The platform asks for readiness once a second and takes an instance out after two misses. */
export const drainNoticeMilliseconds = 3_200;
/** How long a connection accepted just before the listener closed may bring its first request. */
export const acceptedConnectionMilliseconds = 150;
/** What is left of the grace period when the process ends in any case. */
export const graceReserveMilliseconds = 700;
/** How often a leaving instance looks whether its last request has ended. */
export const leavePollMilliseconds = 50;
/** Pause between two tries to write the own record of membership. */
export const membershipRetryMilliseconds = 300;
/** A member that is silent this long is removed from the list by the owner of partition 0. */
export const memberRemovalMilliseconds = 20_000;
/** Interval of looking for members to remove and jobs to forget. */
export const sweepIntervalMilliseconds = 2_000;

/** Streams of the system in the store; an adapter may add a prefix. */
export const memberStream = "members";
export const jobStream = "jobs";
export const bodyStream = "bodies";
export const progressStream = "progress";
export const ownerGroup = "owners";
/** A peer that takes longer to stop a run is passed over; it answers within a few ms. */
export const displaceTimeoutMilliseconds = 60;
