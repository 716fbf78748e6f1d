/** Names of the clients among which the budget of held bytes is shared. */

import type { ClientId, WorkspaceId } from "../common/ids.ts";

/** The workspace whose key a request has; all calls without one are one client. */
export function clientOfWorkspace(
  workspace: WorkspaceId | undefined,
): ClientId {
  return `workspace ${workspace ?? "unknown"}` as ClientId;
}

/** Batch jobs that this instance runs. */
export const jobsClient = "jobs" as ClientId;
/** Instances that hand calls to this one. */
export const peerClient = "peers" as ClientId;
/** Responses of the store. */
export const storeClient = "store" as ClientId;
