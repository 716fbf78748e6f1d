/**
 * Adaptive limit on the number of requests that an upstream runs at once. The configured
 * concurrency is the upper bound. The limit is multiplied by a factor below 1 when the time to
 * first token of online requests rises well above a moving baseline, and grows by a fixed step
 * otherwise.
 */

/** Minimum time between two reviews of the limit. */
const reviewMilliseconds = 1_000;
/** A review with fewer samples raises the limit and leaves the samples to the next review. */
const minimumSamples = 8;
/** The limit falls when the median time to first token exceeds the baseline by this factor. */
const slowdownFactor = 1.5;
/** The limit is multiplied by this factor when it falls. */
const decreaseFactor = 0.85;
/** Number of requests by which the limit grows in a review. */
const increasePerReview = 0.5;
/** Largest relative growth of the baseline per review; it follows a lower median at once. */
const baselineGrowthPerReview = 0.02;

export interface AdaptiveLimit {
  /** Configured concurrency of the upstream. */
  readonly concurrency: number;
  /** Number of requests that the upstream should run at once; not always whole. */
  readonly limit: number;
  /** Baseline of the time to first token; undefined before the first review with samples. */
  readonly baselineMilliseconds: number | undefined;
  /** Times to first token in milliseconds since the last review that used them. */
  readonly firstTokenSamples: readonly number[];
  /** Monotonic milliseconds. */
  readonly reviewedAt: number;
}

export function createAdaptiveLimit(
  concurrency: number,
  now: number,
): AdaptiveLimit {
  return {
    concurrency,
    limit: concurrency,
    baselineMilliseconds: undefined,
    firstTokenSamples: [],
    reviewedAt: now,
  };
}

/** Applies a change of the configured concurrency, which also resets the limit. */
export function setConcurrency(
  state: AdaptiveLimit,
  concurrency: number,
): AdaptiveLimit {
  if (state.concurrency === concurrency) return state;
  return { ...state, concurrency, limit: concurrency };
}

/** Adds times to first token in milliseconds; only the newest 256 samples are kept. */
export function addFirstTokenSamples(
  state: AdaptiveLimit,
  samples: readonly number[],
): AdaptiveLimit {
  if (samples.length === 0) return state;
  return {
    ...state,
    firstTokenSamples: [...state.firstTokenSamples, ...samples].slice(-256),
  };
}

function median(samples: readonly number[]): number {
  const sorted = [...samples].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * The baseline of the time to first token. Before the first review it is the median of the
 * samples, or undefined if there are none.
 */
export function baselineFirstTokenMilliseconds(
  state: AdaptiveLimit,
): number | undefined {
  if (
    state.baselineMilliseconds !== undefined ||
    state.firstTokenSamples.length === 0
  ) {
    return state.baselineMilliseconds;
  }
  return median(state.firstTokenSamples);
}

/** Sets the limit, bounded by 1 and the configured concurrency. */
function changeLimit(state: AdaptiveLimit, limit: number): AdaptiveLimit {
  const bounded = Math.min(state.concurrency, Math.max(1, limit));
  return { ...state, limit: bounded };
}

/** Adjusts the limit and the baseline to the samples if a review is due. */
export function reviewLimit(state: AdaptiveLimit, now: number): AdaptiveLimit {
  if (now - state.reviewedAt < reviewMilliseconds) return state;
  const reviewed = { ...state, reviewedAt: now };
  if (state.firstTokenSamples.length < minimumSamples) {
    return changeLimit(reviewed, state.limit + increasePerReview);
  }
  const currentMilliseconds = median(state.firstTokenSamples);
  const baselineMilliseconds = state.baselineMilliseconds === undefined
    ? currentMilliseconds
    : Math.min(
      currentMilliseconds,
      state.baselineMilliseconds * (1 + baselineGrowthPerReview),
    );
  const next = { ...reviewed, baselineMilliseconds, firstTokenSamples: [] };
  return currentMilliseconds > baselineMilliseconds * slowdownFactor
    ? changeLimit(next, state.limit * decreaseFactor)
    : changeLimit(next, state.limit + increasePerReview);
}

/**
 * Lowers the limit by at most 1 when the upstream reports waiting requests although no more than
 * the limit are in flight.
 */
export function applyLoadReport(
  state: AdaptiveLimit,
  inFlight: number,
  waiting: number,
): AdaptiveLimit {
  if (waiting === 0 || inFlight > state.limit) return state;
  return changeLimit(state, Math.max(state.limit - 1, inFlight - waiting));
}
