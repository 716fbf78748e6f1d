/** Turns an engine's refusal of a chat request into an error of the interface for callers. */

import { Buffer } from "node:buffer";
import { CallerError } from "../../common/errors.ts";
import type { UpstreamResponse } from "../../routing/upstream-caller.ts";
import { maximumQuotedCharacters } from "../constants.ts";

/** Refusals that are about the content of the request; others are faults of the engine. */
const contentStatuses = new Set([400, 404, 413, 422]);

export async function readEngineRefusal(
  answer: UpstreamResponse,
): Promise<CallerError> {
  let text = "";
  for await (const chunk of answer.body) {
    text += Buffer.from(chunk).toString("utf8");
    if (text.length > 4 * maximumQuotedCharacters) break;
  }
  const isContent = contentStatuses.has(answer.status);
  const reason = messageOf(text).slice(0, maximumQuotedCharacters);
  return new CallerError({
    status: isContent ? answer.status : 502,
    code: isContent ? "upstream_refused" : "upstream_failed",
    message: `the engine answered ${answer.status}: ${reason}`,
    type: isContent ? "invalid_request_error" : "server_error",
    verdict: "ran",
  });
}

function messageOf(text: string): string {
  try {
    const { error } = JSON.parse(text) as { error?: { message?: unknown } };
    if (typeof error?.message === "string") return error.message;
  } catch {
    // A refusal that is not JSON is quoted as it is.
  }
  return text;
}
