/**
 * Tells errors that malformed bytes from outside raise, whoever sent them, from faults of the
 * process itself.
 */

import { $ZodError } from "zod/v4/core";

/** Codes of the errors that Node.js and the frames between instances raise for malformed input. */
const inputErrorCodes = new Set<unknown>([
  "bad_frame",
  "ERR_ENCODING_INVALID_ENCODED_DATA",
  "ERR_HTTP_INVALID_HEADER_VALUE",
  "ERR_INVALID_CHAR",
  "ERR_INVALID_HTTP_TOKEN",
  "ERR_INVALID_URL",
]);

export function isInputError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  // JSON, escaped text and schemas are decoded at run time only from bytes of others.
  return error instanceof SyntaxError || error instanceof URIError ||
    error instanceof $ZodError ||
    ("code" in error && inputErrorCodes.has(error.code));
}
