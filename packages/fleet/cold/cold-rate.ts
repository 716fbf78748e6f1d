/**
 * How many requests a cold server may get, as pure functions. The bound is one for the whole fleet
 * and holds in any one second. One coordinator, the sender, spends it; see `ColdServers`.
 */

import {
  coldWindowMilliseconds,
  isolatedShareDivisor,
  rampStepMilliseconds,
  rampSteps,
  toleratedSenders,
  windowParts,
} from "./constants.ts";

/** What the configuration says of the cold servers of one service. */
export interface ColdPolicy {
  /** How long a server is cold after it has started under load. */
  readonly coldMilliseconds: number;
  /** Requests per second that a cold server takes from all instances together. */
  readonly requestsPerSecond: number;
}

/** Requests in one second beyond the rate of which operators hold the system to account. */
export interface ColdBounds {
  /** Factor on the rate. */
  readonly overage: number;
  readonly slackRequests: number;
}

export const defaultColdBounds: ColdBounds = { overage: 1.5, slackRequests: 5 };

/** Requests that a cold server may get from all instances together in any one second. */
export function boundOfFleet(
  { requestsPerSecond }: ColdPolicy,
  { overage, slackRequests }: ColdBounds,
): number {
  return Math.floor(requestsPerSecond * overage + slackRequests);
}

/**
 * Requests that the sender of a server may send in any one second: not more than the server takes in
 * the long run, and so few that several instances which take themselves for the sender stay within
 * the bound together. One sender then stays within the bound also if requests that it has sent over
 * two seconds arrive within one.
 */
export function shareOfSender(
  policy: ColdPolicy,
  bounds: ColdBounds,
  { isIsolated }: { readonly isIsolated: boolean },
): number {
  const { requestsPerSecond } = policy;
  if (requestsPerSecond <= 0) return 0;
  const safe = Math.floor(boundOfFleet(policy, bounds) / toleratedSenders);
  const share = Math.min(safe, Math.max(1, Math.floor(requestsPerSecond)));
  return isIsolated ? Math.floor(share / isolatedShareDivisor) : share;
}

export type ColdStage =
  | { readonly kind: "cold"; readonly leftMilliseconds: number }
  /** Step 1 is the first one after the cold time. */
  | { readonly kind: "ramp"; readonly step: number }
  | { readonly kind: "warm" };

export function stageAt(coldUntil: number, now: number): ColdStage {
  if (now < coldUntil) {
    return { kind: "cold", leftMilliseconds: coldUntil - now };
  }
  const step = 1 + Math.floor((now - coldUntil) / rampStepMilliseconds);
  return step > rampSteps ? { kind: "warm" } : { kind: "ramp", step };
}

/** Number of coordinators, by their rank for the server, that may send to it in a step of the ramp. */
export function sendersAtStep(step: number, coordinators: number): number {
  return Math.ceil(coordinators * step / (rampSteps + 1));
}

/** Slots of the server that are used in a step of the ramp. */
export function slotsAtStep(step: number, slots: number): number {
  return Math.ceil(slots * step / (rampSteps + 1));
}

/** Sends within the window, and within its last part, that one sender may make. */
function limitsOfSender(share: number) {
  return [
    { sends: share, milliseconds: coldWindowMilliseconds },
    {
      sends: Math.ceil(share / windowParts),
      milliseconds: coldWindowMilliseconds / windowParts,
    },
  ];
}

/**
 * Time until one more request may be sent, 0 if it may be sent now; infinite if the share is 0.
 * `sends` are the times of earlier sends, oldest first.
 */
export function timeUntilNextSend(
  sends: readonly number[],
  share: number,
  now: number,
): number {
  if (share <= 0) return Number.POSITIVE_INFINITY;
  const waits = limitsOfSender(share).map((limit) => {
    const deciding = sends[sends.length - limit.sends];
    return deciding === undefined ? 0 : deciding + limit.milliseconds - now;
  });
  return Math.max(0, ...waits);
}

/** Requests that may be sent now. */
export function sendsLeft(
  sends: readonly number[],
  share: number,
  now: number,
): number {
  const left = limitsOfSender(share).map((limit) =>
    limit.sends -
    sends.filter((time) => now - time < limit.milliseconds).length
  );
  return Math.max(0, Math.min(...left));
}
