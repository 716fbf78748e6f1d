/**
 * The interface of upstream capacity: online requests report themselves to the coordinator of
 * their upstream, batch items wait for its grants.
 */

import type { ModelName, UpstreamName, WorkspaceId } from "../common/ids.ts";

/** What a batch item needs: any engine of a model, or one plain service. */
export type CapacityTarget =
  | { readonly kind: "model"; readonly model: ModelName }
  | { readonly kind: "upstream"; readonly upstream: UpstreamName };

export interface BatchDemand {
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  /** Items that could start now. */
  readonly count: number;
  /** Earliest deadline among them, wall-clock milliseconds. */
  readonly earliestDeadline: number;
}

export interface BatchGrant {
  readonly id: string;
  readonly upstream: UpstreamName;
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  /** Aborted when the coordinator takes the grant back; the call must then be aborted. */
  readonly revoked: AbortSignal;
  /** Must be called once the call is over, or if the grant is not used. */
  release(): void;
}

export interface BatchCapacity {
  /** Replaces this instance's standing demand. */
  setDemand(demand: readonly BatchDemand[]): void;
  /** Registers the one function that receives grants. */
  onGrant(handler: (grant: BatchGrant) => void): void;
}

export interface OnlineCapacity {
  /** Reports an online request at once; the returned function reports its end. */
  trackOnlineRequest(upstream: UpstreamName): () => void;
  /** Requests in flight that are known for the upstream, divided by its concurrency. */
  loadOf(upstream: UpstreamName): number;
}
