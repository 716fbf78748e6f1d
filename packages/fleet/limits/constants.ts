/** Constants of the workspace limits. */

/** Time constant of the moving average of an instance's demand; spans a few bursts of a caller. */
export const demandSmoothingMilliseconds = 1_500;
/** Added to the demand of every instance, so that its first request finds a token. */
export const demandFloorPerSecond = 0.3;
/**
 * Demand on a workspace's limit, as a multiple of its rate, above which the instances share the
 * level out. The normal demand of a workspace is two thirds of its rate, with peaks of 1.2 times
 * the rate, so it stays below.
 */
export const contentionDemandRatio = 1.4;
/** Time until an instance knows of an admission of a peer, with a safety margin. */
export const reportLagSeconds = 0.3;
/**
 * Requests by which the level may be overdrawn; half of the slack that operators allow in a
 * window.
 */
export const toleratedOverdraftRequests = 10;
/**
 * Share of a window's slack with which a bucket starts after a restart. The fleet spends it only
 * once, since every copy deducts what the others report.
 */
export const restartSlackShare = 0.3;
/** Share of the allowed overage that is added to the rate. */
export const usedOverageShare = 0.5;
/**
 * The bucket of a server's limit holds these requests and those of this time, so that requests that
 * arrive unevenly find tokens.
 */
export const burstRequests = 2;
export const burstSeconds = 1;
/** Rate at which a server is asked that states a lower limit, 0 included. */
export const minimumSendsPerSecond = 0.2;
/** Time for which the end of a limit is still told to peers. */
export const endedLimitLifetimeMilliseconds = 3_000;
/** An instance that has not decided for this long begins with empty buckets of servers' limits. */
export const unusedLimitsLifetimeMilliseconds = 1_500;
