/** Answers, at a coordinator, the calls on batch jobs that dependents forward. */

import { Buffer } from "node:buffer";
import type { InstanceId, RequestId } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CallerRequest } from "../gateway/caller-request.ts";
import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import {
  createErrorAnswer,
  encodeErrorBody,
  type ErrorAnswer,
} from "../gateway/error-answer.ts";
import type { JobCalls } from "../gateway/gateway.ts";
import type { JobResponse } from "../jobs/job-response.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import {
  type ForwardedJobCall,
  type ForwardedJobReply,
  jobCallMessage,
} from "./messages.ts";

export interface JobCallServiceOptions {
  readonly network: PeerNetwork;
  readonly blackboard: Blackboard;
  /** Undefined while this instance holds no jobs. */
  readonly calls: () => JobCalls | undefined;
  /** Zone of an instance; undefined if it is no member. */
  readonly zoneOf: (instance: InstanceId) => string | undefined;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

export function serveJobCalls(options: JobCallServiceOptions): void {
  options.network.handle(
    jobCallMessage,
    (call, { instance }) =>
      answer(call, options.zoneOf(instance) ?? unknownZone, options),
  );
}

/** The zone of an instance that is no member; it belongs to no region. */
const unknownZone = "";

function answer(
  forwarded: ForwardedJobCall,
  forwarderZone: string,
  { blackboard, calls, now }: JobCallServiceOptions,
): Promise<ForwardedJobReply> {
  return new Promise((resolve) => {
    const response = new CollectedResponse(resolve);
    const handler = calls();
    const { configuration } = blackboard;
    if (!handler || !configuration) return response.fail(notReady);
    const received = {
      request: toRequest(forwarded),
      body: Buffer.from(forwarded.body),
      receivedAt: now(),
    };
    const { call, workspace, routeId, host } = forwarded;
    if (call) {
      const isKeyMissing = routeId === undefined && workspace === undefined &&
        configuration.requiresApiKey;
      const access = { workspace, routeId, host, isKeyMissing, forwarderZone };
      return handler.handle(call, received, access, response);
    }
    const route = configuration.route(routeId);
    if (!route) return response.fail(notReady);
    handler.submit(received, route, workspace, response);
  });
}

function toRequest(
  { requestId, path, host, remainingMilliseconds }: ForwardedJobCall,
): CallerRequest {
  return {
    id: requestId as RequestId | undefined,
    method: "POST",
    host,
    target: path,
    path,
    apiKey: undefined,
    deadlineMilliseconds: remainingMilliseconds,
    lastEventId: undefined,
    sharedPromptParts: [],
    forwardedHeaders: [],
  };
}

/** Collects an answer, to be sent back to the instance that forwarded the call. */
class CollectedResponse implements JobResponse {
  readonly #resolve: (reply: ForwardedJobReply) => void;
  #isOver = false;

  constructor(resolve: (reply: ForwardedJobReply) => void) {
    this.#resolve = resolve;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  /** The reply is reserved by the instance that receives it. */
  tryReserve(): boolean {
    return true;
  }

  sendBytes(
    status: number,
    contentType: string,
    body: Buffer,
    { retryAfterMilliseconds }: { retryAfterMilliseconds?: number } = {},
  ): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#resolve({ status, contentType, body, retryAfterMilliseconds });
  }

  sendJson(status: number, value: unknown): void {
    this.sendBytes(
      status,
      "application/json",
      Buffer.from(JSON.stringify(value)),
    );
  }

  fail(error: ErrorAnswer): void {
    this.sendBytes(
      error.status,
      "application/json",
      encodeErrorBody(error),
      error,
    );
  }
}

const notReady = createErrorAnswer(
  503,
  "not_ready",
  "the coordinator holds no jobs yet; nothing was done",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);
