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
const lateFactor = 1.5;
const decreaseFactor = 0.85;
const increasePerReview = 0.5;
/** How fast the baseline follows slower first tokens, per review; it follows faster ones at once. */
const baselineRise = 0.02;

export interface LearnedLimit {
  readonly concurrency: number;
  readonly limit: number;
  readonly baseline: number | undefined;
  readonly samples: readonly number[];
  readonly reviewedAt: number;
}

export function createLearnedLimit(
  concurrency: number,
  now: number,
): LearnedLimit {
  return {
    concurrency,
    limit: concurrency,
    baseline: undefined,
    samples: [],
    reviewedAt: now,
  };
}

export function setConcurrency(
  state: LearnedLimit,
  concurrency: number,
): LearnedLimit {
  if (state.concurrency === concurrency) return state;
  return { ...state, concurrency, limit: concurrency };
}

export function addSamples(
  state: LearnedLimit,
  samples: readonly number[],
): LearnedLimit {
  if (samples.length === 0) return state;
  return { ...state, samples: [...state.samples, ...samples].slice(-256) };
}

function median(samples: readonly number[]): number {
  const sorted = [...samples].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** The usual time to first token in milliseconds, if any was recorded. */
export function usualFirstToken(state: LearnedLimit): number | undefined {
  if (state.baseline !== undefined || state.samples.length === 0) {
    return state.baseline;
  }
  return median(state.samples);
}

function changeLimit(state: LearnedLimit, limit: number): LearnedLimit {
  const bounded = Math.min(state.concurrency, Math.max(1, limit));
  return { ...state, limit: bounded };
}

export function reviewLimit(state: LearnedLimit, now: number): LearnedLimit {
  if (now - state.reviewedAt < reviewMilliseconds) return state;
  const reviewed = { ...state, reviewedAt: now };
  if (state.samples.length < minimumSamples) {
    return changeLimit(reviewed, state.limit + increasePerReview);
  }
  const current = median(state.samples);
  const baseline = state.baseline === undefined
    ? current
    : Math.min(current, state.baseline * (1 + baselineRise));
  const next = { ...reviewed, baseline, samples: [] };
  return current > baseline * lateFactor
    ? changeLimit(next, state.limit * decreaseFactor)
    : changeLimit(next, state.limit + increasePerReview);
}

/** Corrects the limit when the upstream reports requests that wait inside it. */
export function applyLoadReport(
  state: LearnedLimit,
  inFlight: number,
  waiting: number,
): LearnedLimit {
  if (waiting === 0 || inFlight > state.limit) return state;
  return changeLimit(state, Math.max(state.limit - 1, inFlight - waiting));
}
