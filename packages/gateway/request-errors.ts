/** The errors that end an online request which no server has answered. */

import type { ErrorAnswer } from "./caller-response.ts";
import {
  defaultRetryAfterMilliseconds,
  leavingRetryAfterMilliseconds,
} from "./constants.ts";
import type { Placement } from "./placement.ts";
import { chooseRetryAfter, type RetryAfterOptions } from "./retry-after.ts";

export const serverFailedError: ErrorAnswer = {
  status: 502,
  code: "server_failed",
  message: "the server failed and the request may have run",
};

export const deadlineError: ErrorAnswer = {
  status: 504,
  code: "deadline",
  message: "no complete answer before the deadline",
};

export function capacityError(options: RetryAfterOptions): ErrorAnswer {
  return {
    status: 503,
    code: "no_capacity",
    message: "all servers are full; the request has not run",
    retryAfterMilliseconds: chooseRetryAfter(options),
  };
}

/** All servers are at the limits that they state. */
export function limitError(options: RetryAfterOptions): ErrorAnswer {
  return {
    status: 503,
    code: "servers_at_limits",
    message:
      "all servers get as many requests as they take; the request has not run",
    retryAfterMilliseconds: chooseRetryAfter(options),
  };
}

/** The instance holds as many bytes for others as its memory allows. */
export const overloadedError: ErrorAnswer = {
  status: 503,
  code: "overloaded",
  message: "the instance has no memory for the call; nothing was done",
  retryAfterMilliseconds: defaultRetryAfterMilliseconds,
};

/** The instance leaves and would not complete the request. */
export const leavingError: ErrorAnswer = {
  status: 503,
  code: "leaving",
  message: "the instance is leaving; the request has not run",
  retryAfterMilliseconds: leavingRetryAfterMilliseconds,
};

/** The instance stops before the end of the request. */
export const stoppedError: ErrorAnswer = {
  status: 504,
  code: "stopped",
  message: "the instance stops; the request may have run",
};

/** The request is given up for the reason. */
export function noServerError(
  reason: string,
  { mayHaveRun, waitMilliseconds = 0 }: {
    readonly mayHaveRun: boolean;
    /** Time until a server may take the request. */
    readonly waitMilliseconds?: number | undefined;
  },
): ErrorAnswer {
  if (mayHaveRun) {
    return {
      status: 502,
      code: "servers_failed",
      message: `${reason}; the request may have run`,
    };
  }
  return {
    status: 503,
    code: "no_server",
    message: `${reason}; the request has not run`,
    retryAfterMilliseconds: Math.max(
      waitMilliseconds,
      defaultRetryAfterMilliseconds,
    ),
  };
}

/** A final error: clients do not repeat a request after 400. */
export function quarantineError(
  { part }: Extract<Placement, { kind: "quarantined" }>,
): ErrorAnswer {
  return {
    status: 400,
    code: "prompt_part_quarantined",
    message:
      `servers crash when they answer a prompt with the part ${part}; do not repeat the request`,
  };
}
