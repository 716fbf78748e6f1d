/**
 * The pause before a failed write to the store is retried. It grows with each attempt, and much
 * longer while the store is full: room comes only from removals and from the end of the history,
 * so that quick retries would only add calls.
 */

import { StoreFullError } from "./keyed-store.ts";

/** Attempts after which the pause stops growing. */
const maximumFactor = 4;
/** Longest pause while the store is full. */
const fullStorePauseMilliseconds = 4_000;

/** `attempt` is 1 after the first failure. */
export function retryPauseMilliseconds(
  error: unknown,
  { attempt, baseMilliseconds }: {
    readonly attempt: number;
    readonly baseMilliseconds: number;
  },
): number {
  if (error instanceof StoreFullError) {
    return Math.min(
      baseMilliseconds * 2 ** Math.min(attempt, maximumFactor * 2),
      fullStorePauseMilliseconds,
    );
  }
  return baseMilliseconds * Math.min(attempt, maximumFactor);
}
