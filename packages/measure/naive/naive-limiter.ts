/**
 * Naive rate limiter, a baseline for measurements: each instance has its own token bucket with an
 * equal share of the workspace's rate and burst.
 */

import { type Clock, systemClock } from "../../common/clock.ts";
import type { WorkspaceId } from "../../common/ids.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { LimitDecision, Limiter } from "../../limits/limiter.ts";

export interface NaiveLimiterOptions {
  control: ControlView;
  clock?: Clock;
}

interface LocalBucket {
  tokens: number;
  updatedAt: number;
}

export class NaiveLimiter implements Limiter {
  readonly #control: ControlView;
  readonly #clock: Clock;
  readonly #buckets = new Map<WorkspaceId, LocalBucket>();

  constructor({ control, clock = systemClock }: NaiveLimiterOptions) {
    this.#control = control;
    this.#clock = clock;
  }

  take(workspace: WorkspaceId): Promise<LimitDecision> {
    const { configuration, members } = this.#control.state;
    const limits = configuration.workspaces.get(workspace);
    if (!limits) {
      return Promise.resolve({ admitted: false, retryAfterSeconds: 1 });
    }
    const memberCount = Math.max(1, members.size);
    const rate = limits.ratePerSecond / memberCount;
    const capacity = Math.max(1, limits.burst / memberCount);
    const now = this.#clock.monotonicNow();
    const bucket = this.#buckets.get(workspace) ??
      { tokens: capacity, updatedAt: now };
    bucket.tokens = Math.min(
      capacity,
      bucket.tokens + (now - bucket.updatedAt) / 1_000 * rate,
    );
    bucket.updatedAt = now;
    this.#buckets.set(workspace, bucket);
    if (bucket.tokens < 1) {
      const retryAfterSeconds = (1 - bucket.tokens) / rate;
      return Promise.resolve({ admitted: false, retryAfterSeconds });
    }
    bucket.tokens -= 1;
    return Promise.resolve({ admitted: true });
  }
}
