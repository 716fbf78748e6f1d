/** The errors that the system itself answers to callers, rather than a server. */

import { Buffer } from "node:buffer";

export interface ErrorAnswer {
  readonly status: number;
  /** Stable code that programs can match, such as `no_capacity`. */
  readonly code: string;
  readonly message: string;
  readonly retryAfterMilliseconds?: number;
}

export function createErrorAnswer(
  status: number,
  code: string,
  message: string,
  options: Pick<ErrorAnswer, "retryAfterMilliseconds"> = {},
): ErrorAnswer {
  return { status, code, message, ...options };
}

export function encodeErrorBody({ code, message }: ErrorAnswer): Buffer {
  return Buffer.from(JSON.stringify({ error: { code, message } }));
}
