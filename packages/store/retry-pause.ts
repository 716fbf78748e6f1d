/**
 * The pause before a failed write to the store is retried. While the store is full the pause doubles
 * with each attempt: room comes only from removals and from the end of the history, so that quick
 * retries would only add calls.
 */

import { StoreFullError } from "./keyed-store.ts";

/** Longest pause while the store is full. */
const fullStorePauseMilliseconds = 4_000;
/** Bounds the power of two; the pause has reached its maximum long before. */
const maximumDoublings = 10;

export interface RetryPauseOptions {
  /** 1 after the first failure. */
  readonly attempt: number;
  readonly baseMilliseconds: number;
  /** Multiple of the base up to which the pause grows after other failures; 1 for none. */
  readonly growthLimit?: number | undefined;
}

export function retryPauseMilliseconds(
  error: unknown,
  { attempt, baseMilliseconds, growthLimit = 1 }: RetryPauseOptions,
): number {
  if (!(error instanceof StoreFullError)) {
    return baseMilliseconds * Math.min(attempt, growthLimit);
  }
  return Math.min(
    baseMilliseconds * 2 ** Math.min(attempt, maximumDoublings),
    fullStorePauseMilliseconds,
  );
}
