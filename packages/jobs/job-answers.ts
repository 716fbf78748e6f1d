/** The error answers to calls on batch jobs. */

import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import {
  createErrorAnswer,
  type ErrorAnswer,
} from "../gateway/error-answer.ts";
import { fullStoreRetryAfterMilliseconds } from "./constants.ts";

export function malformedJob(reason: string): ErrorAnswer {
  return createErrorAnswer(400, "malformed_job", reason);
}

export const storeUnavailable = createErrorAnswer(
  503,
  "store_unavailable",
  "the store does not answer; nothing was done",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);

export const storeFull = createErrorAnswer(
  503,
  "store_full",
  "the store has no room for new jobs; no part of the job runs",
  { retryAfterMilliseconds: fullStoreRetryAfterMilliseconds },
);

export const jobTooLarge = createErrorAnswer(
  413,
  "job_too_large",
  "the store does not take the records of the job; no part of it runs",
);

export const noCommonRegion = createErrorAnswer(
  503,
  "no_allowed_server",
  "no region is allowed for all items of the job; no part of the job runs",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);

export const otherRegion = createErrorAnswer(
  503,
  "other_region",
  "the instance is in a region in which the body may not be handled; ask another one",
  { retryAfterMilliseconds: defaultRetryAfterMilliseconds },
);

export const bodyRemoved = createErrorAnswer(
  410,
  "item_body_removed",
  "the item is listed or its job is ended; its body is not kept",
);

export const outcomeUnknown = createErrorAnswer(
  504,
  "outcome_unknown",
  "the store did not answer; the call may have taken effect",
);

export const unknownJob = createErrorAnswer(404, "unknown_job", "no such job");

export const unknownItem = createErrorAnswer(
  404,
  "unknown_item",
  "the job has no such item",
);

export function tooManyWaitingTokens(
  retryAfterMilliseconds: number,
): ErrorAnswer {
  return createErrorAnswer(
    429,
    "waiting_tokens",
    "too many tokens of the workspace wait on this route; no part of the job runs",
    { retryAfterMilliseconds },
  );
}
