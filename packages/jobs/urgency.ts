/**
 * The order in which waiting items get free slots. Answers the load of more jobs than the servers
 * can do in time: items that can still be in time go first, earliest due before others, so that the
 * slots end as items in time. Items that will likely be late go last, shortest first.
 *
 * Run times vary with the load of the servers and with displacements. An item that is started just
 * in time by the average run time would be late about half of the time, and its slot lost for an
 * item that could have been in time.
 */

import { resultDeliveryMilliseconds, runTimeMargin } from "./constants.ts";

export interface Urgency {
  /** Monotonic milliseconds. */
  readonly dueAt: number;
  /** Average time that the rest of the run takes; 0 while there is no estimate. */
  readonly remainingMilliseconds: number;
}

export interface UrgencyOptions {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Factor on the average run time within which nearly all runs end. */
  readonly margin?: number;
}

/** Whether the result will likely be read after it is due. */
export function isLikelyLate(
  { dueAt, remainingMilliseconds }: Urgency,
  { now, margin = runTimeMargin }: UrgencyOptions,
): boolean {
  if (remainingMilliseconds === 0) return now > dueAt;
  return now + remainingMilliseconds * margin + resultDeliveryMilliseconds >
    dueAt;
}

/** Negative if the left item goes first. */
export function compareUrgency(
  left: Urgency,
  right: Urgency,
  options: UrgencyOptions,
): number {
  const isLeftLate = isLikelyLate(left, options);
  if (isLeftLate !== isLikelyLate(right, options)) return isLeftLate ? 1 : -1;
  return isLeftLate
    ? left.remainingMilliseconds - right.remainingMilliseconds
    : left.dueAt - right.dueAt;
}
