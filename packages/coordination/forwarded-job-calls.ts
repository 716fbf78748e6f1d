/**
 * Calls on batch jobs at a dependent, which holds no jobs: they are forwarded to a coordinator,
 * whose answer is passed on unchanged. A call that a coordinator did not answer goes to another
 * one, since all of them may be repeated: a job is known by the id that its caller gave it.
 */

import { Buffer } from "node:buffer";
import type { InstanceId, RouteId, WorkspaceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type { JobCall, ReceivedRequest } from "../gateway/caller-request.ts";
import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import { createErrorAnswer } from "../gateway/error-answer.ts";
import type { JobAccess, JobCalls } from "../gateway/gateway.ts";
import { overloadedError } from "../gateway/request-errors.ts";
import { malformedJob } from "../jobs/job-answers.ts";
import { clientOfWorkspace } from "../overload/client-id.ts";
import type { HeldBytes } from "../overload/held-bytes.ts";
import type { JobResponse } from "../jobs/job-response.ts";
import { jobCallTimeoutMilliseconds } from "./constants.ts";
import type { CoordinatorClient } from "./coordinator-client.ts";
import {
  type ForwardedJobCall,
  type ForwardedJobReply,
  jobCallMessage,
} from "./messages.ts";

export interface ForwardedJobCallsOptions {
  readonly client: CoordinatorClient;
  /** Whether the instance may receive bodies of the requests of a route and workspace. */
  readonly isAllowedInstance: (
    instance: InstanceId,
    routeId: RouteId | undefined,
    workspace: WorkspaceId | undefined,
  ) => boolean;
  readonly heldBytes: HeldBytes;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly logger: Logger;
}

export class ForwardedJobCalls implements JobCalls {
  readonly #options: ForwardedJobCallsOptions;

  constructor(options: ForwardedJobCallsOptions) {
    this.#options = options;
  }

  submit(
    received: ReceivedRequest,
    route: RouteRule,
    workspace: WorkspaceId | undefined,
    response: JobResponse,
  ): void {
    void this.#forward(undefined, received, {
      workspace,
      routeId: route.id,
      host: received.request.host,
      isKeyMissing: false,
    }, response);
  }

  handle(
    call: JobCall,
    received: ReceivedRequest,
    access: JobAccess,
    response: JobResponse,
  ): void {
    if (call.kind === "malformed") {
      return response.fail(malformedJob(call.reason));
    }
    void this.#forward(call, received, access, response);
  }

  async #forward(
    call: ForwardedJobCall["call"],
    { request, body, receivedAt }: ReceivedRequest,
    { workspace, routeId, host }: JobAccess,
    response: JobResponse,
  ): Promise<void> {
    const { client, heldBytes, now, logger, isAllowedInstance } = this.#options;
    // The call is copied into a frame, which waits in the send buffer to the coordinator.
    using holding = heldBytes.tryHold(
      { kind: "job_call", client: clientOfWorkspace(workspace) },
      body.length * frameCopies,
    );
    if (!holding) return response.fail(overloadedError);
    const waitMilliseconds = call?.kind === "results"
      ? call.waitMilliseconds
      : 0;
    const { deadlineMilliseconds } = request;
    let allowedCoordinators = 0;
    let excludedCoordinators = 0;
    const reply = await client.ask(
      jobCallMessage,
      () => ({
        call,
        requestId: request.id,
        path: request.path,
        host,
        routeId,
        workspace,
        remainingMilliseconds: deadlineMilliseconds === undefined
          ? undefined
          : deadlineMilliseconds - (now() - receivedAt),
        body,
      }),
      (answer, silentCoordinators) =>
        // A silent coordinator may still write the job, so that a refusal would promise too much.
        call === undefined && silentCoordinators > 0 && isRefusal(answer)
          ? undefined
          : answer,
      {
        deadlineMilliseconds: jobCallTimeoutMilliseconds + waitMilliseconds,
        mayBeSlow: true,
        isAllowed: (instance) => {
          const isAllowed = isAllowedInstance(instance, routeId, workspace);
          if (isAllowed) allowedCoordinators += 1;
          else excludedCoordinators += 1;
          return isAllowed;
        },
      },
    );
    if (reply) return sendReply(reply, response);
    logger.warn("no coordinator answered a call on a job", {
      request: request.id ?? null,
      path: request.path,
    });
    if (excludedCoordinators > 0 && allowedCoordinators === 0) {
      return response.fail(noAllowedCoordinator);
    }
    response.fail(call === undefined ? outcomeUnknown : noCoordinator);
  }
}

/** Copies of its body that a forwarded call takes: the encoded value and its frame. */
const frameCopies = 2;

/** Whether the answer promises that the job does not run. */
function isRefusal({ status }: ForwardedJobReply): boolean {
  return status === 429 || status === 503;
}

/** Passes the answer of a coordinator on to the caller. */
function sendReply(
  { status, contentType, body, retryAfterMilliseconds }: ForwardedJobReply,
  response: JobResponse,
): void {
  // A view, since a copy would double what a large answer takes.
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  if (retryAfterMilliseconds === undefined) {
    return response.sendBytes(status, contentType, bytes);
  }
  response.sendBytes(status, contentType, bytes, { retryAfterMilliseconds });
}

const noCoordinator = createErrorAnswer(
  503,
  "no_coordinator",
  "no coordinator answers; nothing was done",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);

/** The call was sent to no other instance. */
const noAllowedCoordinator = createErrorAnswer(
  503,
  "no_allowed_coordinator",
  "no coordinator is in a region in which the call may be handled; nothing was done",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);

const outcomeUnknown = createErrorAnswer(
  504,
  "outcome_unknown",
  "no coordinator answered; the job may have been accepted",
);
