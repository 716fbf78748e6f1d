/** The interface of the rate limiter for workspaces. */

import type { WorkspaceId } from "../common/ids.ts";

export type LimitDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly retryAfterSeconds: number };

export interface Limiter {
  /** Takes one token of the workspace, and collects it from other instances if necessary. */
  take(workspace: WorkspaceId): Promise<LimitDecision>;
}
