/**
 * Limits each workspace to its rate across the whole fleet, with one shared bucket per
 * workspace. A process that is not part of the first start of the fleet begins with a few tokens
 * and those for the time since it started, since the fleet may have just spent the burst. If
 * others have admitted requests in the meantime, their reports replace the level.
 */

import type { Clock } from "../../common/clock.ts";
import type { InstanceId, WorkspaceId } from "../../common/ids.ts";
import type {
  LimitDecision,
  WorkspaceLimiter,
} from "../../gateway/placement.ts";
import type { Blackboard } from "../blackboard.ts";
import type { WorkspaceRule } from "../configuration.ts";
import {
  type BucketLimit,
  type BucketUsage,
  type FleetView,
  SharedBucket,
} from "./shared-bucket.ts";
import { restartSlackShare } from "./constants.ts";
import { bucketLimitForWindow, type LimitWindow } from "./window-limit.ts";

export interface FleetLimitsOptions {
  readonly blackboard: Blackboard;
  readonly clock: Clock;
  /** This process is part of the first start of the fleet. */
  readonly isFirstStart: boolean;
  /** From this time on, tokens are due that are not known to be spent; monotonic milliseconds. */
  readonly refillsFrom: number;
  /** The limits that this instance applied before, whose counts of admitted requests continue. */
  readonly predecessor?: FleetLimits;
  /** The levels of the predecessor are taken over as well. */
  readonly keepsLevels?: boolean;
  readonly window: LimitWindow;
  /** Requests by which a window may exceed its limit in addition to the overage. */
  readonly slackRequests: number;
  readonly view: () => FleetView;
}

/** Usage of one workspace's bucket, as it is reported to peers. */
export interface WorkspaceUsage extends BucketUsage {
  readonly workspace: WorkspaceId;
}

const millisecondsPerSecond = 1_000;
const admittedDecision: LimitDecision = { admitted: true };

export class FleetLimits implements WorkspaceLimiter {
  readonly #options: Omit<FleetLimitsOptions, "predecessor" | "keepsLevels">;
  readonly #buckets = new Map<WorkspaceId, SharedBucket>();
  readonly #knownLevels: ReadonlyMap<WorkspaceId, number>;
  /**
   * Requests that buckets which no longer exist have admitted. Peers may still know these counts,
   * and would not deduct what is admitted later if it were counted from 0.
   */
  readonly #earlierAdmissions: Map<WorkspaceId, number>;
  #configurationVersion = -1;

  constructor(
    { predecessor, keepsLevels = true, ...options }: FleetLimitsOptions,
  ) {
    this.#options = options;
    this.#knownLevels = predecessor && keepsLevels
      ? predecessor.#levels()
      : new Map();
    this.#earlierAdmissions = predecessor
      ? predecessor.#admissions()
      : new Map();
  }

  admit(workspace: WorkspaceRule): LimitDecision {
    const { clock, view } = this.#options;
    const now = clock.monotonicNow();
    const bucket = this.#bucketOf(workspace, now);
    if (bucket.take(now)) return admittedDecision;
    const current = view();
    return {
      admitted: false,
      retryAfterMilliseconds: bucket.retryAfterMilliseconds(current),
      state: bucket.describe(current),
    };
  }

  /** Applies changed limits and recomputes all allowances; called once per report interval. */
  refresh(): void {
    const { blackboard, clock, view } = this.#options;
    const index = blackboard.configuration;
    if (!index) return;
    const now = clock.monotonicNow();
    if (index.version !== this.#configurationVersion) {
      this.#configurationVersion = index.version;
      for (const workspace of index.configuration.workspaces ?? []) {
        if (workspace.ratePerSecond <= 0) this.#removeBucket(workspace.id);
        else {this.#bucketOf(workspace, now).setLimit(
            this.#limitOf(workspace),
            now,
          );}
      }
    }
    const current = view();
    for (const bucket of this.#buckets.values()) bucket.refresh(now, current);
  }

  ownUsages(): WorkspaceUsage[] {
    return [...this.#buckets].map(([workspace, bucket]) => ({
      workspace,
      ...bucket.ownUsage(),
    }));
  }

  recordPeerUsages(
    peer: InstanceId,
    incarnation: string,
    usages: readonly WorkspaceUsage[],
  ): void {
    const { clock, view } = this.#options;
    for (const usage of usages) {
      const bucket = this.#buckets.get(usage.workspace);
      const takesLevel = bucket?.recordPeerUsage(peer, incarnation, usage);
      // The level may be spent at once, not only after the next report interval.
      if (takesLevel) bucket?.refresh(clock.monotonicNow(), view());
    }
  }

  forgetPeer(peer: InstanceId): void {
    for (const bucket of this.#buckets.values()) bucket.forgetPeer(peer);
  }

  /** Tokens left for each workspace of which a request was counted here. */
  #levels(): Map<WorkspaceId, number> {
    return new Map(
      [...this.#buckets].map(([workspace, { level }]) => [workspace, level]),
    );
  }

  /** Requests of each workspace that were admitted within this incarnation. */
  #admissions(): Map<WorkspaceId, number> {
    const admissions = new Map(this.#earlierAdmissions);
    for (const { workspace, admitted } of this.ownUsages()) {
      admissions.set(workspace, admitted);
    }
    return admissions;
  }

  #removeBucket(workspace: WorkspaceId): void {
    const bucket = this.#buckets.get(workspace);
    if (!bucket) return;
    this.#earlierAdmissions.set(workspace, bucket.ownUsage().admitted);
    this.#buckets.delete(workspace);
  }

  #limitOf(workspace: WorkspaceRule): BucketLimit {
    return bucketLimitForWindow(workspace, this.#options.window);
  }

  #bucketOf(workspace: WorkspaceRule, now: number): SharedBucket {
    let bucket = this.#buckets.get(workspace.id);
    if (!bucket) {
      const { isFirstStart, refillsFrom, slackRequests } = this.#options;
      const limit = this.#limitOf(workspace);
      const knownLevel = this.#knownLevels.get(workspace.id) ??
        (now - refillsFrom) / millisecondsPerSecond * limit.ratePerSecond;
      bucket = new SharedBucket(limit, {
        now,
        startsFull: isFirstStart,
        initialLevel: slackRequests * restartSlackShare + knownLevel,
        admitted: this.#earlierAdmissions.get(workspace.id),
      });
      bucket.refresh(now, this.#options.view());
      this.#buckets.set(workspace.id, bucket);
    }
    return bucket;
  }
}
