/**
 * Recognizes requests that are likely retries: a caller that was refused or whose answer was cut
 * off has less time left until its deadline than other callers on the route.
 */

import type { RouteId } from "../common/ids.ts";
import { shortenedDeadlineShare } from "./constants.ts";

/**
 * Factor by which each request reduces the longest known deadline of its route, so that a deadline
 * that no caller uses any more is forgotten after some thousand requests.
 */
const longestDeadlineDecay = 0.9999;

export class CallerDeadlines {
  readonly #longestByRoute = new Map<RouteId, number>();

  /** Also records the deadline of the request; call once for each request. */
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
