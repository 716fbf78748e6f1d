/** Selects the targets on which a batch item can run, or the error with which it ends. */

import { brandAs, type ModelName, type WorkspaceId } from "../../common/ids.ts";
import type { CapacityTarget } from "../../capacity/capacity.ts";
import type { Configuration } from "../../control/control-state.ts";
import type { Route } from "../../control/document.ts";
import type { BatchItem } from "../files/line-parser.ts";

export const chatCompletionsPath = "/v1/chat/completions";

export type ItemPlan =
  | {
    readonly kind: "possible";
    /** The item can run on any of these. */
    readonly targets: readonly CapacityTarget[];
    /** Whether a call may be sent again after one that may have run. */
    readonly isRepeatable: boolean;
  }
  | {
    readonly kind: "impossible";
    readonly code: string;
    readonly message: string;
  };

export function planItem(
  configuration: Configuration,
  workspace: WorkspaceId,
  item: BatchItem,
): ItemPlan {
  return item.url === chatCompletionsPath
    ? planChat(configuration, workspace, item)
    : planRoute(configuration, workspace, item);
}

function planChat(
  configuration: Configuration,
  workspace: WorkspaceId,
  { method, body }: BatchItem,
): ItemPlan {
  if (method !== "POST") {
    return impossible(
      "method_not_allowed",
      `method ${method} is not allowed for chat completions`,
    );
  }
  if (body.stream === true) {
    return impossible(
      "stream_not_supported",
      "a batch item cannot ask for a streamed response",
    );
  }
  if (typeof body.model !== "string") {
    return impossible("model_missing", "the body has no model");
  }
  const model = brandAs<ModelName>(body.model);
  const allowed = configuration.workspaces.get(workspace)?.models;
  const isKnown = configuration.engines.has(model) &&
    (!allowed || allowed.includes(model));
  if (!isKnown) {
    return impossible("model_not_found", `model '${model}' does not exist`);
  }
  return {
    kind: "possible",
    targets: [{ kind: "model", model }],
    isRepeatable: true,
  };
}

function planRoute(
  configuration: Configuration,
  workspace: WorkspaceId,
  { url }: BatchItem,
): ItemPlan {
  const path = url.split("?")[0] ?? url;
  const route = configuration.routes.find(({ pathPrefix }) =>
    path === pathPrefix || path.startsWith(`${pathPrefix}/`)
  );
  if (!route || !isRouteAllowed(route, workspace)) {
    return impossible("url_not_found", `there is no route for '${path}'`);
  }
  return {
    kind: "possible",
    targets: route.upstreams.map((upstream) => ({
      kind: "upstream",
      upstream,
    })),
    isRepeatable: route.repeatable,
  };
}

function isRouteAllowed(route: Route, workspace: WorkspaceId): boolean {
  return !route.workspaces || route.workspaces.includes(workspace);
}

function impossible(code: string, message: string): ItemPlan {
  return { kind: "impossible", code, message };
}
