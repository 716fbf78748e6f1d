/**
 * Graceful shutdown of an entry instance: it reports that it is not ready, hands over its batch
 * work, keeps serving until the platform has stopped sending connections, closes its listener and
 * waits for its active requests to end. Those that outlast the grace period get a final answer.
 */

import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CallerListener } from "../gateway/caller-listener.ts";
import type { Gateway } from "../gateway/gateway.ts";
import { stoppedError } from "../gateway/request-errors.ts";
import type { BatchWork } from "./batch-work.ts";
import {
  drainDelayMilliseconds,
  finalAnswerMilliseconds,
  firstRequestWaitMilliseconds,
  graceReserveMilliseconds,
  leavePollMilliseconds,
} from "./constants.ts";
import type { Membership } from "./membership.ts";

export interface LeavingOptions {
  readonly blackboard: Blackboard;
  readonly gateway: Gateway;
  readonly listener: CallerListener;
  /** Undefined if this instance is no coordinator. */
  readonly batch: BatchWork | undefined;
  readonly membership: Membership;
  readonly graceMilliseconds: number;
  readonly now: () => number;
  readonly logger: Logger;
}

export async function leaveFleet(options: LeavingOptions): Promise<void> {
  const { blackboard, gateway, listener, batch, membership, now, logger } =
    options;
  const startedAt = now();
  const deadline = startedAt + options.graceMilliseconds -
    graceReserveMilliseconds;
  const stopAcceptingAt = startedAt +
    Math.min(drainDelayMilliseconds, options.graceMilliseconds / 2);
  blackboard.isLeaving = true;
  blackboard.servesUntil = deadline;
  logger.info("the instance is leaving", {
    activeRequests: listener.activeRequests,
  });
  await Promise.race([
    batch?.leave(),
    delay(systemTimers, Math.max(0, stopAcceptingAt - now())),
  ]);
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
  if (listener.activeRequests > 0) {
    logger.warn("requests outlast the grace period", {
      activeRequests: listener.activeRequests,
    });
    gateway.stop();
    listener.failActive(stoppedError);
    const answeredBy = now() + finalAnswerMilliseconds;
    while (listener.activeRequests > 0 && now() < answeredBy) {
      await delay(systemTimers, leavePollMilliseconds);
    }
  }
  logger.info("the instance has left", {
    activeRequests: listener.activeRequests,
    milliseconds: Math.round(now() - startedAt),
  });
}
