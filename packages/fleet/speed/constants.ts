/** Weights, thresholds and time constants with which the speed of servers is learned. */

/**
 * Memory of what answers have shown. Neighbors on the machine of a server change about every
 * 600 ms, so that older samples say little of the present.
 */
export const measuredMemory = { decayMilliseconds: 250, maximumWeight: 5 };
/** Memory of what a server states of its present work time. */
export const statedMemory = { decayMilliseconds: 400, maximumWeight: 2 };
/** Memory of the long-term mean, which covers differences between machines. */
export const lastingMemory = { decayMilliseconds: 8_000 };
/** Memory of the work time at low and at high load, which are seldom seen together. */
export const crowdingMemory = { decayMilliseconds: 8_000 };
/** Weight of the long-term mean against the sum of the decayed weights of the samples. */
export const lastingWeight = 1;
/** Weight of the usual speed against the samples of the long-term mean. */
export const usualWeight = 12;
/** Bounds of one sample, as a multiple of the usual time; a faster server is never sought. */
export const minimumRatio = 0.7;
export const maximumRatio = 4;
/** Bound of the weight that an instance may report for one server at once. */
export const maximumReportedWeight = 8;
/** Weight of a sample of the time to the first event, which also covers the network. */
export const firstEventWeight = 0.5;
/** Deviations from the usual time below this are noise: the length of events varies so much. */
export const negligibleDeviation = 0.18;
/** Samples after which a reference is used; with fewer, no server counts as slower than others. */
export const minimumReferenceSamples = 16;
/** First and last step of the median of the samples of a service, in logarithmic terms. */
export const initialReferenceStep = 0.25;
export const finalReferenceStep = 0.01;
/** Smoothing factor of the disagreement between what a server states and what answers show. */
export const disagreementSmoothingFactor = 0.08;
/** Logarithmic disagreement from which the statements of a server count nothing. */
export const untrustedDisagreement = 0.6;
/** Weight of samples of answers that are needed to check what a server states. */
export const minimumCheckWeight = 1;
/** Shares of the slots up to which a server counts as uncrowded, and from which as crowded. */
export const uncrowdedShare = 0.5;
export const crowdedShare = 0.6;
/** Weight of samples of either load that is needed to compare them. */
export const minimumCrowdingWeight = 3;
/**
 * Ratio of the work times of a crowded and an uncrowded server from which the limit falls. At twice
 * the load and twice the time, nothing is won. Servers that are slow for another reason fill up,
 * which gives ratios of up to 1.4.
 */
export const crowdingTolerance = 1.6;
/** Decrease and increase of the concurrency limit by one sample at high load. */
export const limitDecrease = 0.97;
export const limitIncrease = 0.05;
/** Smallest concurrency limit as a share of the slots, at which servers count as uncrowded. */
export const minimumLimitShare = 0.5;
/** Time constant with which the limit returns to all slots without samples at high load. */
export const limitRecoveryMilliseconds = 3_000;
/** Events and time over which the pace of an answer is measured. */
export const paceWindowEvents = 2;
export const minimumPaceWindowMilliseconds = 60;
/**
 * Work time that is logged and counted as a change, and the one below which the change has ended.
 * Neighbors that slow 15 % of the time down raise a long-term mean to 1.2 only.
 */
export const notableWorkTime = 1.6;
export const recoveredWorkTime = 1.3;
/** Interval at which a dependent reports what it has observed; each report is checked and decoded. */
export const observationIntervalMilliseconds = 60;
/** Age up to which a computed work time is used again. Servers change within hundreds of ms. */
export const workTimeLifetimeMilliseconds = 25;
