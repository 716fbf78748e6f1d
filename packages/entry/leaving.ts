/**
 * Graceful shutdown of an entry instance: it reports that it is not ready, hands over its batch
 * work, keeps serving until the platform has stopped sending connections, closes its listener and
 * waits for its active requests to end.
 */

import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CallerListener } from "../gateway/caller-listener.ts";
import type { BatchWork } from "./batch-work.ts";
import {
  drainDelayMilliseconds,
  firstRequestWaitMilliseconds,
  graceReserveMilliseconds,
  leavePollMilliseconds,
} from "./constants.ts";
import type { Membership } from "./membership.ts";

export interface LeavingOptions {
  readonly blackboard: Blackboard;
  readonly listener: CallerListener;
  /** Undefined if this instance is no coordinator. */
  readonly batch: BatchWork | undefined;
  readonly membership: Membership;
  readonly graceMilliseconds: number;
  readonly now: () => number;
  readonly logger: Logger;
}

export async function leaveFleet(options: LeavingOptions): Promise<void> {
  const { blackboard, listener, batch, membership, now, logger } = options;
  const startedAt = now();
  const deadline = startedAt + options.graceMilliseconds -
    graceReserveMilliseconds;
  const stopAcceptingAt = startedAt +
    Math.min(drainDelayMilliseconds, options.graceMilliseconds / 2);
  blackboard.isLeaving = true;
  logger.info("the instance is leaving", {
    activeRequests: listener.activeRequests,
  });
  await batch?.leave();
  const waitUntil = async (condition: () => boolean) => {
    while (now() < deadline && !condition()) {
      await delay(systemTimers, leavePollMilliseconds);
    }
  };
  await waitUntil(() => now() >= stopAcceptingAt);
  listener.stopAccepting();
  const recordRemoval = membership.leave();
  const closedAt = now();
  // A connection accepted just before the listener closed may still send its first request.
  await waitUntil(() =>
    now() >= closedAt + firstRequestWaitMilliseconds &&
    listener.activeRequests === 0
  );
  await Promise.race([
    recordRemoval,
    delay(systemTimers, Math.max(0, deadline - now())),
  ]);
  logger.info("the instance has left", {
    activeRequests: listener.activeRequests,
    milliseconds: Math.round(now() - startedAt),
  });
}
