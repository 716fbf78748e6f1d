/**
 * Error classes shared by all packages. Every error has a stable code, which callers and
 * operators can rely on, beside its message.
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

/** Settings or document content that does not fit its schema. */
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
  /** One-based line in the source text, where it is known. */
  readonly line?: number;
}

/** The log service did not answer, or refused a call. */
export class LogUnavailableError extends RosemaryrudderError {
  /** True if the append may have taken effect although no answer arrived. */
  readonly mayHaveTakenEffect: boolean;

  constructor(
    message: string,
    options: ErrorOptions & { mayHaveTakenEffect?: boolean } = {},
  ) {
    super("log_unavailable", message, options);
    this.mayHaveTakenEffect = options.mayHaveTakenEffect ?? false;
  }
}

/** A peer did not answer within the deadline, or no connection to it exists. */
export class PeerUnavailableError extends RosemaryrudderError {
  constructor(message: string, options: ErrorOptions = {}) {
    super("peer_unavailable", message, options);
  }
}

/** A call to an upstream failed. */
export class UpstreamError extends RosemaryrudderError {
  readonly verdict: Verdict;
  /** HTTP status of the upstream's refusal, if it answered. */
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

/** An answer to a caller that is not a success. */
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
  /** Name of the request field at fault. */
  field?: string;
  /** One-based line of an uploaded file. */
  line?: number;
  retryAfterSeconds?: number;
  cause?: unknown;
}
