/**
 * Holds each workspace to its rate over the whole fleet, with one shared bucket for each
 * workspace. A process that is not part of the first start of the fleet begins with a few tokens
 * only, since the fleet may have spent the burst just before.
 */

import type { Clock } from "../../common/clock.ts";
import type { InstanceId, WorkspaceId } from "../../common/ids.ts";
import type { LimitDecision, WorkspaceLimiter } from "../../gateway/gateway.ts";
import type { Blackboard } from "../blackboard.ts";
import type { WorkspaceRule } from "../configuration.ts";
import {
  type BucketLimit,
  type BucketUse,
  type FleetView,
  SharedBucket,
} from "./shared-bucket.ts";
import { restartSlackShare } from "./constants.ts";
import { bucketOfWindow, type LimitWindow } from "./window-limit.ts";

export interface FleetLimitsOptions {
  readonly blackboard: Blackboard;
  readonly clock: Clock;
  readonly isFirstStart: boolean;
  readonly window: LimitWindow;
  /** Requests by which a window may be exceeded in any case. */
  readonly slackRequests: number;
  readonly view: () => FleetView;
}

/** Use of one workspace's bucket, as it is told to peers. */
export interface WorkspaceUse extends BucketUse {
  readonly workspace: WorkspaceId;
}

const admitted: LimitDecision = { admitted: true };

export class FleetLimits implements WorkspaceLimiter {
  readonly #options: FleetLimitsOptions;
  readonly #buckets = new Map<WorkspaceId, SharedBucket>();
  #configurationVersion = -1;

  constructor(options: FleetLimitsOptions) {
    this.#options = options;
  }

  admit(workspace: WorkspaceRule): LimitDecision {
    const { clock, view } = this.#options;
    const now = clock.monotonicNow();
    const bucket = this.#bucketOf(workspace, now);
    if (bucket.take(now)) return admitted;
    const current = view();
    return {
      admitted: false,
      retryAfterMilliseconds: bucket.retryAfterMilliseconds(current),
      state: bucket.describe(current),
    };
  }

  /** Renews what this instance may spend; called after each report interval. */
  refresh(): void {
    const { blackboard, clock, view } = this.#options;
    const index = blackboard.configuration;
    if (!index) return;
    const now = clock.monotonicNow();
    if (index.version !== this.#configurationVersion) {
      this.#configurationVersion = index.version;
      for (const workspace of index.configuration.workspaces ?? []) {
        if (workspace.ratePerSecond <= 0) this.#buckets.delete(workspace.id);
        else {this.#bucketOf(workspace, now).setLimit(
            this.#limitOf(workspace),
            now,
          );}
      }
    }
    const current = view();
    for (const bucket of this.#buckets.values()) bucket.refresh(now, current);
  }

  ownUses(): WorkspaceUse[] {
    return [...this.#buckets].map(([workspace, bucket]) => ({
      workspace,
      ...bucket.ownUse(),
    }));
  }

  notePeer(
    peer: InstanceId,
    incarnation: string,
    uses: readonly WorkspaceUse[],
  ): void {
    for (const use of uses) {
      this.#buckets.get(use.workspace)?.notePeer(peer, incarnation, use);
    }
  }

  forgetPeer(peer: InstanceId): void {
    for (const bucket of this.#buckets.values()) bucket.forgetPeer(peer);
  }

  #limitOf(workspace: WorkspaceRule): BucketLimit {
    return bucketOfWindow(workspace, this.#options.window);
  }

  #bucketOf(workspace: WorkspaceRule, now: number): SharedBucket {
    let bucket = this.#buckets.get(workspace.id);
    if (!bucket) {
      bucket = new SharedBucket(this.#limitOf(workspace), {
        now,
        isFull: this.#options.isFirstStart,
        startLevel: this.#options.slackRequests * restartSlackShare,
      });
      bucket.refresh(now, this.#options.view());
      this.#buckets.set(workspace.id, bucket);
    }
    return bucket;
  }
}
