/**
 * Leaves the fleet: the instance reports itself not ready, serves until the platform has stopped
 * sending connections, hands its batch work over and waits for its last answer.
 */

import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CallerListener } from "../gateway/caller-listener.ts";
import type { BatchWork } from "./batch-work.ts";
import {
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
  while (now() < endsAt) {
    if (now() >= noticedAt && listener.activeRequests === 0) break;
    await delay(systemTimers, leavePollMilliseconds);
  }
  await membership.leave();
  logger.info("the instance has left", {
    activeRequests: listener.activeRequests,
    milliseconds: Math.round(now() - startedAt),
  });
}
