/** Constants of the limits of workspaces. */

/** Time over which the demand of an instance is averaged; a few bursts of a caller. */
export const demandSmoothingMilliseconds = 1_500;
/** Demand that every instance is credited with, so that the first request finds a token. */
export const demandFloorPerSecond = 0.3;
/**
 * Demand of the fleet, as a share of the rate, above which instances compete for tokens. Usual
 * traffic comes to two thirds of the rate and reaches 1.2 times the rate in its peaks.
 */
export const contentionDemandRatio = 1.4;
/** Time after which an instance knows of the admissions of its peers, with some reserve. */
export const reportLagSeconds = 0.3;
/** Requests by which the level may be overdrawn; half of what the operators allow in a window. */
export const toleratedOverdraftRequests = 10;
/**
 * Part of the slack of a window with which a bucket starts again. All copies together spend it
 * once, since each hears what the others spend.
 */
export const restartSlackShare = 0.3;
/** Part of the allowed overage that is used. */
export const usedOverageShare = 0.5;
