/** What an online request is made of: its route and caller, and what it needs of the instance. */

import type { RouteRule, WorkspaceRule } from "../fleet/configuration.ts";
import type { ReceivedRequest } from "./caller-request.ts";
import type { CallerResponse } from "./caller-response.ts";
import type { OnlineServices } from "./online-services.ts";
import type { Placement } from "./placement.ts";

export interface OnlineRequestOptions {
  readonly received: ReceivedRequest;
  readonly route: RouteRule;
  readonly workspace: WorkspaceRule | undefined;
  readonly response: CallerResponse;
  readonly services: OnlineServices;
  /** The workspace against whose limit the request counts; undefined if there is no limit. */
  readonly limitedWorkspace: WorkspaceRule | undefined;
  /** Answers a request that exceeds the limit of its workspace. */
  readonly refuseForLimit: (
    placement: Extract<Placement, { kind: "limited" }>,
  ) => void;
  /** Answers a request with a part of its prompt under which servers crash. */
  readonly refuseForPart: (
    placement: Extract<Placement, { kind: "quarantined" }>,
  ) => void;
  /** The caller has likely sent this request before and was refused or got a failure. */
  readonly isLikelyRetry: boolean;
  /** Called once the request has its final answer or its caller has left. */
  readonly onOver: () => void;
}
