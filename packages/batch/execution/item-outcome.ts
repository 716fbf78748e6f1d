/**
 * Classifies the result of an item's call by its status and verdict, and formats the item's line
 * of the output or error file.
 */

import { UpstreamError } from "../../common/errors.ts";
import type { JobId, RequestId } from "../../common/ids.ts";
import { notRunField, type Verdict } from "../../common/verdict.ts";
import type { BatchItemResponse } from "../../routing/upstream-caller.ts";
import { maximumReasonLength } from "../constants.ts";

/** Client error statuses (4xx) after which a later attempt may succeed. */
const retryableStatuses = new Set([408, 409, 429]);

export interface ItemFailure {
  readonly code: string;
  readonly message: string;
  readonly verdict: Verdict;
  readonly requestId: RequestId | undefined;
  readonly answer: BatchItemResponse | undefined;
}

export type CallOutcome =
  | { readonly kind: "succeeded"; readonly answer: BatchItemResponse }
  /** The item ends with this error. */
  | { readonly kind: "failed"; readonly failure: ItemFailure }
  /** The call failed and counts as an attempt. */
  | { readonly kind: "attempted"; readonly failure: ItemFailure }
  /**
   * The call certainly did not run and no upstream rejected it as invalid. It does not have to
   * count as an attempt.
   */
  | { readonly kind: "refused"; readonly failure: ItemFailure };

export function classifyAnswer(
  answer: BatchItemResponse,
  { isRepeatable, requestId }: { isRepeatable: boolean; requestId: RequestId },
): CallOutcome {
  const { status } = answer;
  if (status >= 200 && status < 300) return { kind: "succeeded", answer };
  const failure: ItemFailure = {
    code: `upstream_status_${status}`,
    message: `the upstream answered ${status}`,
    verdict: "ran",
    requestId,
    answer,
  };
  const isRetryable = isRepeatable && !isPermanentFailure(status);
  return { kind: isRetryable ? "attempted" : "failed", failure };
}

export function classifyError(
  error: unknown,
  { isRepeatable, requestId }: { isRepeatable: boolean; requestId: RequestId },
): CallOutcome {
  const upstreamError = error instanceof UpstreamError ? error : undefined;
  const verdict = upstreamError?.verdict ?? "unknown";
  const failure: ItemFailure = {
    code: upstreamError?.code ?? "call_failed",
    message: truncateReason(
      error instanceof Error ? error.message : String(error),
    ),
    verdict,
    requestId,
    answer: undefined,
  };
  const status = upstreamError?.status;
  if (status !== undefined && isPermanentFailure(status)) {
    return { kind: "failed", failure };
  }
  if (verdict === "not_run") return { kind: "refused", failure };
  if (isRepeatable) return { kind: "attempted", failure };
  return { kind: "failed", failure: { ...failure, code: "may_have_run" } };
}

/** Whether a status tells that the same call would fail again. */
function isPermanentFailure(status: number): boolean {
  return status >= 400 && status < 500 && !retryableStatuses.has(status);
}

/** Cuts the reason of a failure to the length that is stored with an item. */
export function truncateReason(text: string): string {
  return text.length > maximumReasonLength
    ? `${text.slice(0, maximumReasonLength)}...`
    : text;
}

export interface ItemIdentity {
  readonly job: JobId;
  /** Zero-based line of the input file. */
  readonly fileLine: number;
  readonly customId: string;
}

/** Formats a line of the output file as the OpenAI batch API does, without its line feed. */
export function outputLine(
  item: ItemIdentity,
  answer: BatchItemResponse,
  requestId: RequestId,
): string {
  return JSON.stringify({
    id: toItemId(item),
    custom_id: item.customId,
    response: toResponseField(answer, requestId),
    error: null,
  });
}

/**
 * Formats a line of the error file, without its line feed. The field `not_run` tells whether the
 * item may have run.
 */
export function errorLine(
  item: ItemIdentity,
  failure:
    & Pick<ItemFailure, "code" | "message" | "verdict">
    & Partial<ItemFailure>,
): string {
  return JSON.stringify({
    id: toItemId(item),
    custom_id: item.customId,
    response: failure.answer
      ? toResponseField(failure.answer, failure.requestId)
      : null,
    error: { code: failure.code, message: failure.message },
    not_run: notRunField(failure.verdict),
  });
}

function toResponseField(
  answer: BatchItemResponse,
  requestId: RequestId | undefined,
) {
  return {
    status_code: answer.status,
    request_id: requestId ?? null,
    body: answer.body,
  };
}

function toItemId({ job, fileLine }: ItemIdentity): string {
  return `batch_req_${job}_${fileLine}`;
}
