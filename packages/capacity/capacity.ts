/**
 * Interfaces of upstream capacity. Each upstream has a coordinator among the instances. Online
 * requests are reported to it and start at once; batch items wait until it issues them a grant.
 */

import type { ModelName, UpstreamName, WorkspaceId } from "../common/ids.ts";

/** Where a batch item can run: on any engine of a model, or at one plain service. */
export type CapacityTarget =
  | { readonly kind: "model"; readonly model: ModelName }
  | { readonly kind: "upstream"; readonly upstream: UpstreamName };

/** Batch items of a workspace that wait for grants for the same target. */
export interface BatchDemand {
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  /** Number of items that could start now. */
  readonly count: number;
  /** Earliest deadline of these items, in wall-clock milliseconds. */
  readonly earliestDeadline: number;
}

/** Permission to make one batch call to an upstream. */
export interface BatchGrant {
  readonly id: string;
  readonly upstream: UpstreamName;
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  /**
   * Aborted when the coordinator revokes the grant. A call that may be repeated must then be
   * aborted.
   */
  readonly revoked: AbortSignal;
  /** Must be called once the call has ended, or if the grant is not used. */
  release(): void;
}

export interface BatchCapacity {
  /** Replaces the whole batch demand of this instance. */
  setDemand(demand: readonly BatchDemand[]): void;
  /** Sets the function that receives grants, replacing an earlier one. */
  onGrant(handler: (grant: BatchGrant) => void): void;
}

export interface OnlineCapacity {
  /** Reports at once that an online request has started; the returned function reports its end. */
  trackOnlineRequest(upstream: UpstreamName): () => void;
  /** Load of the upstream: requests known to be in flight, divided by its concurrency. */
  loadOf(upstream: UpstreamName): number;
}
