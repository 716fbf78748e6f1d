/** `POST /v1/chat/completions`, with a complete or a streamed response. */

import { assertKeyAbsent } from "../admission/key-leak-check.ts";
import { parseJsonObject } from "../bodies/json-body.ts";
import { readBody } from "../bodies/read-body.ts";
import type { CallerAction } from "../server/caller-action.ts";
import { sendUpstreamResponse } from "../server/send-response.ts";
import { parseChatRequest } from "./chat-request.ts";
import { toEngineError } from "./engine-error.ts";

export const chatAction: CallerAction = {
  name: "chat",
  method: "POST",
  path: "/v1/chat/completions",
  takesRateToken: "itself",
  async handle(context) {
    const { admission, services, requestId, signal } = context;
    const { control, router, metrics, clock, limits } = services;
    const body = await readBody(context.request, limits.jsonBytes);
    const chat = parseChatRequest(
      parseJsonObject(body),
      control.state.configuration,
      admission.workspaceConfiguration,
    );
    assertKeyAbsent(body, admission.callerKey);
    await admission.takeRateToken();
    const engineResponse = await router.chat({
      workspace: admission.workspace,
      model: chat.model,
      body,
      prompt: chat.prompt,
      isStreamed: chat.isStreamed,
      requestId,
      signal,
      checkBeforeAttempt: admission.check,
    });
    if (engineResponse.status >= 400) throw await toEngineError(engineResponse);
    const elapsed = () => clock.monotonicNow() - context.startedAt;
    await sendUpstreamResponse(context, engineResponse, {
      onFirstChunk: () =>
        metrics.recordFirstToken(admission.workspace, "online", elapsed()),
    });
    if (context.response.writableEnded) {
      metrics.recordRequestDuration(admission.workspace, "online", elapsed());
    }
  },
};
