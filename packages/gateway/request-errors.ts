/** The errors that end an online request which no server has answered. */

import {
  defaultRetryAfterMilliseconds,
  leavingRetryAfterMilliseconds,
} from "./constants.ts";
import { createErrorAnswer, type ErrorAnswer } from "./error-answer.ts";
import type { Placement } from "./placement.ts";
import { chooseRetryAfter, type RetryAfterOptions } from "./retry-after.ts";

export const serverFailedError = createErrorAnswer(
  502,
  "server_failed",
  "the server failed and the request may have run",
);

export const deadlineError = createErrorAnswer(
  504,
  "deadline",
  "no complete answer before the deadline",
);

export function capacityError(options: RetryAfterOptions): ErrorAnswer {
  return createErrorAnswer(
    503,
    "no_capacity",
    "all servers are full; the request has not run",
    { retryAfterMilliseconds: chooseRetryAfter(options) },
  );
}

/** All servers are at the limits that they state. */
export function limitError(options: RetryAfterOptions): ErrorAnswer {
  return createErrorAnswer(
    503,
    "servers_at_limits",
    "all servers get as many requests as they take; the request has not run",
    { retryAfterMilliseconds: chooseRetryAfter(options) },
  );
}

/** The instance holds as many bytes for others as its memory allows. */
export const overloadedError = createErrorAnswer(
  503,
  "overloaded",
  "the instance has no memory for the call; nothing was done",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);

/** The instance leaves and would not complete the request. */
export const leavingError = createErrorAnswer(
  503,
  "leaving",
  "the instance is leaving; the request has not run",
  { retryAfterMilliseconds: leavingRetryAfterMilliseconds },
);

/** The instance stops before the end of the request. */
export const stoppedError = createErrorAnswer(
  504,
  "stopped",
  "the instance stops; the request may have run",
);

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
    return createErrorAnswer(
      502,
      "servers_failed",
      `${reason}; the request may have run`,
    );
  }
  return createErrorAnswer(
    503,
    "no_server",
    `${reason}; the request has not run`,
    {
      retryAfterMilliseconds: Math.max(
        waitMilliseconds,
        defaultRetryAfterMilliseconds,
      ),
    },
  );
}

/** A final error: clients do not repeat a request after 400. */
export function quarantineError(
  { part }: Extract<Placement, { kind: "quarantined" }>,
): ErrorAnswer {
  return createErrorAnswer(
    400,
    "prompt_part_quarantined",
    `servers crash when they answer a prompt with the part ${part}; do not repeat the request`,
  );
}
