/**
 * Leaves the fleet: the instance reports itself not ready, hands its batch work over, serves until
 * the platform has stopped sending connections, closes its listener and waits for its last answer.
 */

import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CallerListener } from "../gateway/caller-listener.ts";
import type { BatchWork } from "./batch-work.ts";
import {
  acceptedConnectionMilliseconds,
  drainNoticeMilliseconds,
  graceReserveMilliseconds,
  leavePollMilliseconds,
} from "./constants.ts";
import type { Membership } from "./membership.ts";

export interface LeavingOptions {
  readonly blackboard: Blackboard;
  readonly listener: CallerListener;
  readonly batch: BatchWork;
  readonly membership: Membership;
  readonly graceMilliseconds: number;
  readonly now: () => number;
  readonly logger: Logger;
}

export async function leaveFleet(options: LeavingOptions): Promise<void> {
  const { blackboard, listener, batch, membership, now, logger } = options;
  const startedAt = now();
  const endsAt = startedAt + options.graceMilliseconds -
    graceReserveMilliseconds;
  const noticedAt = startedAt +
    Math.min(drainNoticeMilliseconds, options.graceMilliseconds / 2);
  blackboard.isLeaving = true;
  logger.info("the instance is leaving", {
    activeRequests: listener.activeRequests,
  });
  await batch.leave();
  const waitUntil = async (condition: () => boolean) => {
    while (now() < endsAt && !condition()) {
      await delay(systemTimers, leavePollMilliseconds);
    }
  };
  await waitUntil(() => now() >= noticedAt);
  listener.stopAccepting();
  const hasLeft = membership.leave();
  const closedAt = now();
  // A connection that was accepted before may still bring its first request.
  await waitUntil(() =>
    now() >= closedAt + acceptedConnectionMilliseconds &&
    listener.activeRequests === 0
  );
  await Promise.race([
    hasLeft,
    delay(systemTimers, Math.max(0, endsAt - now())),
  ]);
  logger.info("the instance has left", {
    activeRequests: listener.activeRequests,
    milliseconds: Math.round(now() - startedAt),
  });
}
