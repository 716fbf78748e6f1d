/** Answers calls on batch jobs as the present role of an instance does. */

import type { CoordinatorClient } from "../coordination/coordinator-client.ts";
import { ForwardedJobCalls } from "../coordination/forwarded-job-calls.ts";
import { isAllowedInstance } from "../fleet/regions.ts";
import type { JobCalls } from "../gateway/gateway.ts";
import type { BatchWork } from "./batch-work.ts";
import type { CoordinationOptions } from "./coordination-options.ts";

export interface JobCallsOptions extends
  Pick<
    CoordinationOptions,
    "blackboard" | "clock" | "heldBytes" | "logger" | "members"
  > {
  readonly client: CoordinatorClient;
  /** Undefined at a dependent. */
  readonly batch: () => BatchWork | undefined;
}

export function createJobCalls(
  { client, batch, blackboard, clock, heldBytes, logger, members }:
    JobCallsOptions,
): JobCalls {
  const forwarded = new ForwardedJobCalls({
    client,
    isAllowedInstance: (instance, routeId, workspace) =>
      isAllowedInstance(members.get(instance), routeId, workspace, blackboard),
    heldBytes,
    now: clock.monotonicNow,
    logger,
  });
  const current = () => batch()?.calls ?? forwarded;
  return {
    submit: (...call) => current().submit(...call),
    handle: (...call) => current().handle(...call),
  };
}
