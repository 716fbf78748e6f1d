/** Odds, intervals and bounds with which prompt parts that crash servers are found. */

/** Odds that a part which has never been answered crashes servers, before any crash is seen. */
export const priorOdds = 1 / 200;
/** Factor on the odds of a part on which servers have begun answers before. */
export const begunBeforeFactor = 1 / 10_000;
/**
 * Runs, and those of them that meet a crash by chance, which are assumed before any is counted. They
 * are the prior of the rate at which runs meet crashes.
 */
export const assumedRuns = 10;
export const assumedCrashedRuns = 0.5;
/** A run is assumed to meet the crash of its server by chance at least this often. */
export const minimumCrashRate = 1 / 50;
/**
 * Probability that a request crashes its server for a reason of its own, before it has met a crash,
 * and the most that its crashes raise it to.
 */
export const ownPriorChance = 1 / 30;
export const maximumOwnChance = 0.95;
/** Probability that a server crashes by itself while a request waits for its answer. */
export const serverChance = 1 / 50;
/** Probability of a common cause for each other server that crashes about the same time. */
export const commonCauseChance = 1 / 4;
export const maximumCommonCauseChance = 3 / 4;
/** Probability that a shared part which was also in other crashes and never answered is the cause. */
export const repeatedPartChance = 1 / 2;
/** From these odds on, requests with a part are sent one at a time. */
export const suspicionOdds = 1 / 100;
/** From these odds on, requests with a part are rejected. */
export const convictionOdds = 10;
/**
 * Different requests that must have met a crash with a part before it is convicted, while the crashes
 * may be due to other parts too. Repeated crashes of one request do not tell its parts apart.
 */
export const minimumCrashedRequests = 3;
/** The same for a part that alone explains a crash. */
export const minimumRequestsIfSingledOut = 2;
/** Servers that may crash under one request; it is not sent any more after that. */
export const maximumCrashesOfRequest = 3;
/** Crashes under a request after which it is rejected if its own part is the likely cause. */
export const minimumCrashesOfRequest = 2;
/** Reports of other requests that were lost in the same crash arrive within this time. */
export const crashReportsMilliseconds = 60;
/**
 * For this time after a crash under a suspected part, only requests that have not crashed a server
 * are sent on trial: a repeated one would not tell the part from a cause of its own.
 */
export const freshTrialMilliseconds = 500;
/** An assessment of a part is used again for this time if no evidence is added. */
export const assessmentLifetimeMilliseconds = 100;
/** Answers of the same services that must have begun before a part is convicted. */
export const minimumOtherBegins = 3;
/**
 * Crashes within this time count once, since servers that end together have one cause, unless a
 * request was sent after one crash and met the next.
 */
export const crashEpisodeMilliseconds = 150;
/**
 * Time from the last crash to a conviction. Meanwhile answers that have begun elsewhere are
 * reported by all instances.
 */
export const convictionDelayMilliseconds = 250;
/**
 * Timeout of the question whether a coordinator knows of an answer to a part that is about to be
 * convicted, and the pause until all are asked again if most did not reply.
 */
export const confirmationTimeoutMilliseconds = 150;
export const confirmationRetryMilliseconds = 200;
/** Period over which the crashes and answers of other requests are counted. */
export const baseRateWindowMilliseconds = 60_000;
/** Age at which a crash is no longer held against a part. */
export const evidenceLifetimeMilliseconds = 600_000;

export const maximumCrashes = 1_024;
export const maximumSuspectsOfCrash = 64;
/** Parts on which answers have begun that an instance remembers, the most recent ones. */
export const maximumBegunParts = 4_096;
export const maximumVerdicts = 1_024;

/** A trial whose outcome has not been reported after this time no longer holds others up. */
export const trialTimeoutMilliseconds = 1_000;
/**
 * After a crash, the coordinators take turns in starting the next trial. The turns are this far
 * apart, which is longer than the notice of a trial takes.
 */
export const trialTurnMilliseconds = 15;
/** Pause before a request whose part is on trial is decided on again. */
export const undecidedRetryMilliseconds = 40;
/** Longest time for which a request waits for trials of its parts. */
export const undecidedWaitMilliseconds = 1_500;

/**
 * Time from a conviction to the first trial for release, and from each such trial to the next. A
 * wrongly convicted part is released by the first, since nearly all its requests are answered. After
 * the last one the verdict stays until an operator lifts it.
 */
export const releaseTrialIntervalsMilliseconds = [
  700,
  15_000,
  300_000,
] as const;

/** Timeout and tries of a report to a coordinator, and the pause between two tries. */
export const reportTimeoutMilliseconds = 300;
export const reportTries = 4;
export const reportRetryMilliseconds = 200;
/** Pause before a failed write of a verdict is retried. */
export const writeRetryMilliseconds = 300;
/** A part on which answers begin is reported again after this time. */
export const begunReportIntervalMilliseconds = 1_000;
export const maximumBegunPartsOfReport = 128;

/** Timeout of the check whether a server whose connection broke still accepts connections. */
export const probeTimeoutMilliseconds = 150;
/** Further broken connections belong to a crash for this time after it was detected. */
export const crashGroupingMilliseconds = 1_000;
