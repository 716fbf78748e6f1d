/**
 * Whether a leaving instance still passes a request on. Answers the load of requests that come late
 * in the grace period, on connections that were open: what cannot be answered before the end is
 * refused at once, so that the caller comes back to another instance.
 */

import type { RouteId } from "../common/ids.ts";

export interface LateRequest {
  /** Time left until the instance ends all requests. */
  readonly graceMilliseconds: number;
  /** Time within which the request is answered or given up in any case. */
  readonly limitMilliseconds: number;
  /** How long slow requests of its route take. */
  readonly usualMilliseconds: number;
}

export function fitsRemainingGrace(
  { graceMilliseconds, limitMilliseconds, usualMilliseconds }: LateRequest,
): boolean {
  const needed = Math.min(
    limitMilliseconds,
    usualMilliseconds * durationMargin,
  );
  return needed <= graceMilliseconds;
}

/** How long slow requests of each route take: a maximum that falls slowly. */
export class RouteDurations {
  readonly #durations = new Map<RouteId, number>();

  record(route: RouteId, milliseconds: number): void {
    const known = this.#durations.get(route) ?? 0;
    this.#durations.set(
      route,
      milliseconds > known
        ? milliseconds
        : known + (milliseconds - known) * decayPerRequest,
    );
  }

  /** Undefined if no request of the route has been answered. */
  of(route: RouteId): number | undefined {
    return this.#durations.get(route);
  }

  /** Drops the routes that no longer exist. */
  retain(isKnown: (route: RouteId) => boolean): void {
    for (const route of this.#durations.keys()) {
      if (!isKnown(route)) this.#durations.delete(route);
    }
  }
}

/** A request may take longer than the slowest one of late. */
const durationMargin = 1.25;
/** Part of the difference by which the maximum falls with each faster request. */
const decayPerRequest = 0.05;
