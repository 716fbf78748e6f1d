/** Validates chat requests and extracts the prompt prefix that is used for prefix affinity. */

import { CallerError } from "../../common/errors.ts";
import { brandAs, type ModelName } from "../../common/ids.ts";
import type { Configuration } from "../../control/control-state.ts";
import type { Workspace } from "../../control/document.ts";
import { prefixCharacters } from "../../routing/constants.ts";
import type { JsonObject } from "../bodies/json-body.ts";
import { invalidField, missingField } from "../errors/error-response.ts";

export interface ChatRequest {
  readonly model: ModelName;
  readonly isStreamed: boolean;
  /** Start of the prompt, at most `prefixCharacters` long. */
  readonly prompt: string;
}

/** Throws a CallerError if the request is invalid or the workspace may not use the model. */
export function parseChatRequest(
  body: JsonObject,
  configuration: Configuration,
  workspace: Workspace | undefined,
): ChatRequest {
  const { model, messages, stream } = body;
  if (model === undefined) throw missingField("model");
  if (typeof model !== "string") {
    throw invalidField("model", "must be a string");
  }
  if (messages === undefined) throw missingField("messages");
  if (!Array.isArray(messages) || messages.length === 0) {
    throw invalidField("messages", "must be a list with at least one message");
  }
  messages.forEach(checkMessage);
  if (stream !== undefined && stream !== null && typeof stream !== "boolean") {
    throw invalidField("stream", "must be true or false");
  }
  const modelName = brandAs<ModelName>(model);
  if (!configuration.engines.has(modelName)) throw unknownModel();
  if (!isModelAllowed(workspace, modelName)) {
    throw new CallerError({
      status: 403,
      code: "model_not_allowed",
      message: "the workspace may not use the model",
      type: "permission_error",
      field: "model",
    });
  }
  return {
    model: modelName,
    isStreamed: stream === true,
    prompt: promptPrefix(messages),
  };
}

export function isModelAllowed(
  workspace: Workspace | undefined,
  model: ModelName,
): boolean {
  return workspace?.models === undefined || workspace.models.includes(model);
}

function unknownModel(): CallerError {
  return new CallerError({
    status: 404,
    code: "unknown_model",
    message: "no engine serves the model",
    field: "model",
  });
}

function checkMessage(message: unknown, index: number): void {
  const path = `messages[${index}]`;
  if (typeof message !== "object" || message === null) {
    throw invalidField(path, "must be an object");
  }
  const { role } = message as JsonObject;
  if (role === undefined) throw missingField(`${path}.role`);
  if (typeof role !== "string") {
    throw invalidField(`${path}.role`, "must be a string");
  }
}

/** Start of the concatenated messages, in the order in which an engine's prefix cache sees them. */
function promptPrefix(messages: readonly unknown[]): string {
  let prompt = "";
  for (const message of messages) {
    const { role, content } = message as JsonObject;
    prompt += `${role}\n${contentText(content)}\n`;
    if (prompt.length >= prefixCharacters) break;
  }
  return prompt.slice(0, prefixCharacters);
}

/** Text of a message's content, which is a string or a list of parts. */
function contentText(content: unknown): string {
  if (typeof content === "string") return content.slice(0, prefixCharacters);
  if (!Array.isArray(content)) return "";
  let text = "";
  for (const part of content) {
    const value = (part as JsonObject | null)?.["text"];
    if (typeof value === "string") text += value.slice(0, prefixCharacters);
    if (text.length >= prefixCharacters) break;
  }
  return text;
}
