/**
 * Generates open-loop load: requests start at times that a seed fixes in advance, whether or not
 * earlier ones have been answered, so that a slow system does not reduce its own load.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { type Clock, systemClock } from "../common/clock.ts";
import { SeededRandom } from "../common/random.ts";
import { maximumOpenRequests } from "./constants.ts";

export interface Arrival {
  /** Milliseconds since the start of the run. */
  readonly at: number;
  readonly index: number;
}

export interface ArrivalOptions {
  seed: number;
  durationMilliseconds: number;
  /** Maximum that `rateAt` returns, in arrivals per second. */
  peakRatePerSecond: number;
  /** Arrivals per second at the given time since the start of the run. */
  rateAt: (milliseconds: number) => number;
}

/** Generates the arrivals of a Poisson process with a time-dependent rate, by thinning. */
export function planArrivals(options: ArrivalOptions): Arrival[] {
  const { seed, durationMilliseconds, peakRatePerSecond, rateAt } = options;
  const random = new SeededRandom(seed);
  const arrivals: Arrival[] = [];
  let at = 0;
  while (true) {
    at += random.nextArrivalMilliseconds(peakRatePerSecond);
    if (at >= durationMilliseconds) return arrivals;
    if (random.next() * peakRatePerSecond < rateAt(at)) {
      arrivals.push({ at, index: arrivals.length });
    }
  }
}

export interface OpenLoopOptions {
  arrivals: readonly Arrival[];
  send: (arrival: Arrival) => Promise<void>;
  clock?: Clock;
  signal?: AbortSignal;
}

export interface OpenLoopResult {
  readonly sent: number;
  /** Arrivals that were not sent because `maximumOpenRequests` were unanswered. */
  readonly dropped: number;
  /** Largest delay between the planned and the actual start of a request. */
  readonly maximumLagMilliseconds: number;
}

export async function runOpenLoop(
  options: OpenLoopOptions,
): Promise<OpenLoopResult> {
  const { arrivals, send, clock = systemClock, signal } = options;
  const startedAt = clock.monotonicNow();
  const openRequests = new Set<Promise<void>>();
  let sent = 0;
  let dropped = 0;
  let maximumLagMilliseconds = 0;
  for (const arrival of arrivals) {
    const wait = startedAt + arrival.at - clock.monotonicNow();
    if (wait > 0) await sleep(wait);
    if (signal?.aborted) break;
    maximumLagMilliseconds = Math.max(
      maximumLagMilliseconds,
      clock.monotonicNow() - startedAt - arrival.at,
    );
    if (openRequests.size >= maximumOpenRequests) {
      dropped++;
      continue;
    }
    sent++;
    const request = send(arrival).catch(() => {}).finally(() =>
      openRequests.delete(request)
    );
    openRequests.add(request);
  }
  await Promise.all(openRequests);
  return { sent, dropped, maximumLagMilliseconds };
}
