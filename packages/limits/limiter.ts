/** The interface of the fleet-wide rate limiter. */

import type { WorkspaceId } from "../common/ids.ts";

export type LimitDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly retryAfterSeconds: number };

export interface Limiter {
  /** Takes one token of the workspace, gathering it from other instances if necessary. */
  take(workspace: WorkspaceId): Promise<LimitDecision>;
}
