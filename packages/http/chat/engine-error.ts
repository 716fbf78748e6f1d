/** Converts an engine's error response to a chat request into an error of the caller-facing API. */

import { Buffer } from "node:buffer";
import { CallerError } from "../../common/errors.ts";
import type { UpstreamResponse } from "../../routing/upstream-caller.ts";
import { maximumQuotedCharacters } from "../constants.ts";

/** Statuses caused by the content of the request; all others are faults of the engine. */
const requestErrorStatuses = new Set([400, 404, 413, 422]);

/** Reads the error response and quotes its message in the error. */
export async function toEngineError(
  response: UpstreamResponse,
): Promise<CallerError> {
  let text = "";
  for await (const chunk of response.body) {
    text += Buffer.from(chunk).toString("utf8");
    if (text.length > 4 * maximumQuotedCharacters) break;
  }
  const isRequestError = requestErrorStatuses.has(response.status);
  const reason = extractMessage(text).slice(0, maximumQuotedCharacters);
  return new CallerError({
    status: isRequestError ? response.status : 502,
    code: isRequestError ? "upstream_refused" : "upstream_failed",
    message: `the engine answered ${response.status}: ${reason}`,
    type: isRequestError ? "invalid_request_error" : "server_error",
    verdict: "ran",
  });
}

function extractMessage(text: string): string {
  try {
    const { error } = JSON.parse(text) as { error?: { message?: unknown } };
    if (typeof error?.message === "string") return error.message;
  } catch {
    // An error body that is not JSON is quoted as it is.
  }
  return text;
}
