/** The error answers to calls on batch jobs. */

import type { ErrorAnswer } from "../gateway/caller-response.ts";
import { defaultRetryAfterMilliseconds } from "../gateway/constants.ts";
import { fullStoreRetryAfterMilliseconds } from "./constants.ts";

export function malformedJob(reason: string): ErrorAnswer {
  return { status: 400, code: "malformed_job", message: reason };
}

export const storeUnavailable: ErrorAnswer = {
  status: 503,
  code: "store_unavailable",
  message: "the store does not answer; nothing was done",
  retryAfterMilliseconds: defaultRetryAfterMilliseconds,
};

export const storeFull: ErrorAnswer = {
  status: 503,
  code: "store_full",
  message: "the store has no room for new jobs; no part of the job runs",
  retryAfterMilliseconds: fullStoreRetryAfterMilliseconds,
};

export const jobTooLarge: ErrorAnswer = {
  status: 413,
  code: "job_too_large",
  message: "the store does not take the records of the job; no part of it runs",
};

export const noCommonRegion: ErrorAnswer = {
  status: 503,
  code: "no_allowed_server",
  message:
    "no region is allowed for all items of the job; no part of the job runs",
  retryAfterMilliseconds: defaultRetryAfterMilliseconds,
};

export const otherRegion: ErrorAnswer = {
  status: 503,
  code: "other_region",
  message:
    "the instance is in a region in which the body may not be handled; ask another one",
  retryAfterMilliseconds: defaultRetryAfterMilliseconds,
};

export const bodyRemoved: ErrorAnswer = {
  status: 410,
  code: "item_body_removed",
  message: "the item is listed or its job is ended; its body is not kept",
};

export const outcomeUnknown: ErrorAnswer = {
  status: 504,
  code: "outcome_unknown",
  message: "the store did not answer; the call may have taken effect",
};

export const unknownJob: ErrorAnswer = {
  status: 404,
  code: "unknown_job",
  message: "no such job",
};

export const unknownItem: ErrorAnswer = {
  status: 404,
  code: "unknown_item",
  message: "the job has no such item",
};
