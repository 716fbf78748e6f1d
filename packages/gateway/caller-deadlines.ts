/**
 * Tells callers that come back from callers that ask for the first time: a caller that was
 * refused or cut off has less time left than the others on its route.
 */

import type { RouteId } from "../common/ids.ts";
import { shortenedDeadlineShare } from "./constants.ts";

/** Forgets a longest deadline that nobody uses any more, over some thousand requests. */
const longestDeadlineDecay = 0.9999;

export class CallerDeadlines {
  readonly #longestByRoute = new Map<RouteId, number>();

  isLikelyRetry(route: RouteId, deadlineMilliseconds?: number): boolean {
    if (deadlineMilliseconds === undefined) return false;
    const longest = Math.max(
      deadlineMilliseconds,
      (this.#longestByRoute.get(route) ?? 0) * longestDeadlineDecay,
    );
    this.#longestByRoute.set(route, longest);
    return deadlineMilliseconds < longest * shortenedDeadlineShare;
  }
}
