/**
 * Error classes shared by all packages. Besides its message, every error has a stable code that
 * callers and operators can rely on.
 */

import type { Verdict } from "./verdict.ts";

export class RosemaryrudderError extends Error {
  readonly code: string;

  constructor(code: string, message: string, options: ErrorOptions = {}) {
    super(message, options);
    this.name = new.target.name;
    this.code = code;
  }
}

/** Settings or a document that violate their schema. */
export class ValidationError extends RosemaryrudderError {
  readonly problems: readonly ValidationProblem[];

  constructor(subject: string, problems: readonly ValidationProblem[]) {
    const details = problems.map((problem) =>
      `${problem.path}: ${problem.reason}`
    ).join("; ");
    super("invalid", `${subject} is invalid: ${details}`);
    this.problems = problems;
  }
}

export interface ValidationProblem {
  /** Dotted path to the field, or "(root)". */
  readonly path: string;
  readonly reason: string;
  /** One-based line in the source text, if it is known. */
  readonly line?: number;
}

/** The log service did not respond, or rejected a call. */
export class LogUnavailableError extends RosemaryrudderError {
  /** True if an append may have taken effect although no response arrived. */
  readonly mayHaveTakenEffect: boolean;

  constructor(
    message: string,
    options: ErrorOptions & { mayHaveTakenEffect?: boolean } = {},
  ) {
    super("log_unavailable", message, options);
    this.mayHaveTakenEffect = options.mayHaveTakenEffect ?? false;
  }
}

/** A peer did not respond before the deadline, or there is no connection to it. */
export class PeerUnavailableError extends RosemaryrudderError {
  constructor(message: string, options: ErrorOptions = {}) {
    super("peer_unavailable", message, options);
  }
}

/** A call to an upstream failed. */
export class UpstreamError extends RosemaryrudderError {
  readonly verdict: Verdict;
  /** HTTP status of the upstream's error response, if there was one. */
  readonly status: number | undefined;

  constructor(
    code: string,
    message: string,
    options: ErrorOptions & { verdict: Verdict; status?: number },
  ) {
    super(code, message, options);
    this.verdict = options.verdict;
    this.status = options.status;
  }
}

/** An error response to a caller. */
export class CallerError extends RosemaryrudderError {
  readonly status: number;
  readonly verdict: Verdict;
  readonly type: string;
  readonly field: string | undefined;
  readonly line: number | undefined;
  readonly retryAfterSeconds: number | undefined;

  constructor(options: CallerErrorOptions) {
    super(options.code, options.message, { cause: options.cause });
    this.status = options.status;
    this.verdict = options.verdict ?? "not_run";
    this.type = options.type ?? "invalid_request_error";
    this.field = options.field;
    this.line = options.line;
    this.retryAfterSeconds = options.retryAfterSeconds;
  }
}

export interface CallerErrorOptions {
  status: number;
  code: string;
  message: string;
  type?: string;
  verdict?: Verdict;
  /** Name of the invalid request field. */
  field?: string;
  /** One-based number of the invalid line in an uploaded file. */
  line?: number;
  retryAfterSeconds?: number;
  cause?: unknown;
}
