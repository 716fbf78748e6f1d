/** The error body that all endpoints for callers share, and the mapping of errors to it. */

import {
  CallerError,
  LogUnavailableError,
  PeerUnavailableError,
  UpstreamError,
} from "../../common/errors.ts";
import { notRunField } from "../../common/verdict.ts";

export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly param: string | null;
    readonly line: number | null;
    /** True if the request did not run, false if it ran, "unknown" if it may have run. */
    readonly not_run: boolean | "unknown";
  };
}

export function toErrorBody(error: CallerError): ErrorBody {
  return {
    error: {
      message: error.message,
      type: error.type,
      code: error.code,
      param: error.field ?? null,
      line: error.line ?? null,
      not_run: notRunField(error.verdict),
    },
  };
}

/** Codes of upstream errors that callers see; all others are replaced by `upstream_failed`. */
const visibleUpstreamCodes = new Set([
  "upstream_truncated",
  "upstream_timeout",
  "upstream_not_admitted",
]);

/** The error to send to the caller, or undefined if the error is unexpected. */
export function toCallerError(error: unknown): CallerError | undefined {
  if (error instanceof CallerError) return error;
  if (error instanceof UpstreamError) {
    const isNotAdmitted = error.code === "upstream_not_admitted";
    return new CallerError({
      status: isNotAdmitted ? 503 : 502,
      code: visibleUpstreamCodes.has(error.code)
        ? error.code
        : "upstream_failed",
      message: error.message,
      type: "server_error",
      verdict: error.verdict,
      cause: error,
      ...(isNotAdmitted ? { retryAfterSeconds: 1 } : {}),
    });
  }
  if (
    error instanceof LogUnavailableError ||
    error instanceof PeerUnavailableError
  ) {
    const mayHaveRun = error instanceof PeerUnavailableError ||
      error.mayHaveTakenEffect;
    return new CallerError({
      status: 503,
      code: "batch_unavailable",
      message: "files and batches are not available at the moment",
      type: "server_error",
      verdict: mayHaveRun ? "unknown" : "not_run",
      retryAfterSeconds: 2,
      cause: error,
    });
  }
  return undefined;
}

export function internalError(cause: unknown): CallerError {
  return new CallerError({
    status: 500,
    code: "internal_error",
    message: "an unexpected error occurred",
    type: "server_error",
    verdict: "unknown",
    cause,
  });
}

export function missingField(field: string): CallerError {
  return new CallerError({
    status: 400,
    code: "missing_field",
    message: `the field '${field}' is missing`,
    field,
  });
}

export function invalidField(field: string, reason: string): CallerError {
  return new CallerError({
    status: 400,
    code: "invalid_field",
    message: `the field '${field}' ${reason}`,
    field,
  });
}

export function bodyTooLarge(limit: number): CallerError {
  return new CallerError({
    status: 413,
    code: "body_too_large",
    message: `the body is larger than ${limit} bytes`,
  });
}
