/** `POST /v1/chat/completions`, whole or streamed. */

import { assertNoKey } from "../admission/key-leak-check.ts";
import { parseJsonObject } from "../bodies/json-body.ts";
import { readBody } from "../bodies/read-body.ts";
import type { CallerAction } from "../server/caller-action.ts";
import { sendAnswer } from "../server/send-response.ts";
import { parseChatRequest } from "./chat-request.ts";
import { readEngineRefusal } from "./engine-error.ts";

export const chatAction: CallerAction = {
  name: "chat",
  method: "POST",
  path: "/v1/chat/completions",
  takesToken: "itself",
  async handle(context) {
    const { admission, services, requestId, signal } = context;
    const { control, router, metrics, clock, limits } = services;
    const body = await readBody(context.request, limits.jsonBytes);
    const chat = parseChatRequest(
      parseJsonObject(body),
      control.state.configuration,
      admission.configured,
    );
    assertNoKey(body, admission.callerKey);
    await admission.take();
    const answer = await router.chat({
      workspace: admission.workspace,
      model: chat.model,
      body,
      prompt: chat.prompt,
      isStreamed: chat.isStreamed,
      requestId,
      signal,
      checkBeforeAttempt: admission.check,
    });
    if (answer.status >= 400) throw await readEngineRefusal(answer);
    const elapsed = () => clock.monotonicNow() - context.startedAt;
    await sendAnswer(context, answer, {
      onFirstChunk: () =>
        metrics.recordFirstToken(admission.workspace, "online", elapsed()),
    });
    if (context.response.writableEnded) {
      metrics.recordRequestDuration(admission.workspace, "online", elapsed());
    }
  },
};
