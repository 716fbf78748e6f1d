/** `GET /v1/models`: lists the models that the workspace may use. */

import { isModelAllowed } from "../chat/chat-request.ts";
import type { CallerAction } from "../server/caller-action.ts";
import { sendJson } from "../server/send-response.ts";

export const listModelsAction: CallerAction = {
  name: "list_models",
  method: "GET",
  path: "/v1/models",
  takesRateToken: "never",
  handle({ admission, services, response }) {
    const { engines } = services.control.state.configuration;
    const models = [...engines.keys()]
      .filter((model) =>
        isModelAllowed(admission.workspaceConfiguration, model)
      )
      .sort();
    sendJson(response, 200, {
      object: "list",
      data: models.map((id) => ({
        id,
        object: "model",
        created: 0,
        owned_by: "rosemaryrudder",
      })),
    });
    return Promise.resolve();
  },
};
