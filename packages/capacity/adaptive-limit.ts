/**
 * Learns how many requests an upstream should run at once. The configured concurrency is the
 * upper bound. The limit falls by a factor when first tokens of online requests come late
 * against a moving baseline, and grows by steps otherwise.
 */

/** The limit is reviewed at most this often. */
const reviewMilliseconds = 1_000;
/** Fewer samples than this are kept for the next review. */
const minimumSamples = 8;
/** First tokens count as late when their median exceeds the baseline by this factor. */
const slowdownFactor = 1.5;
const decreaseFactor = 0.85;
const increasePerReview = 0.5;
/** How fast the baseline follows slower first tokens, per review; it follows faster ones at once. */
const baselineGrowthPerReview = 0.02;

export interface AdaptiveLimit {
  readonly concurrency: number;
  readonly limit: number;
  readonly baselineMilliseconds: number | undefined;
  readonly firstTokenSamples: readonly number[];
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

export function setConcurrency(
  state: AdaptiveLimit,
  concurrency: number,
): AdaptiveLimit {
  if (state.concurrency === concurrency) return state;
  return { ...state, concurrency, limit: concurrency };
}

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

/** The usual time to first token in milliseconds, if any was recorded. */
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

function changeLimit(state: AdaptiveLimit, limit: number): AdaptiveLimit {
  const bounded = Math.min(state.concurrency, Math.max(1, limit));
  return { ...state, limit: bounded };
}

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

/** Corrects the limit when the upstream reports requests that wait inside it. */
export function applyLoadReport(
  state: AdaptiveLimit,
  inFlight: number,
  waiting: number,
): AdaptiveLimit {
  if (waiting === 0 || inFlight > state.limit) return state;
  return changeLimit(state, Math.max(state.limit - 1, inFlight - waiting));
}
