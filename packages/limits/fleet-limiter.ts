/**
 * The fleet-wide rate limiter. The rate and burst of each workspace are split among a few
 * instances, its holders. Each instance keeps the buckets of the workspaces it holds, transfers
 * tokens to other instances on request, and collects tokens for the requests it receives.
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import type {
  Incarnation,
  InstanceId,
  Offset,
  WorkspaceId,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import { systemTimers, type Timers } from "../common/timers.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { endTransfer, spend, startTransfer, transferAmount } from "./bucket.ts";
import {
  Collection,
  type CollectionContext,
  tokenWaitMilliseconds,
} from "./collection.ts";
import {
  maximumEarlyHandovers,
  refillPeriodMilliseconds,
  transferDeadlineMilliseconds,
} from "./constants.ts";
import { HolderIndex } from "./holder-index.ts";
import { eligibleMembers, isOwnMember } from "./holders.ts";
import type { LimitDecision, Limiter } from "./limiter.ts";
import { collectMessage, handoverMessage, settleMessage } from "./messages.ts";
import {
  applyInForce,
  changeAllocation,
  createEntry,
  type Handover,
  receiveHandover,
  refillEntry,
  resetBucket,
  startWithFullBucket,
  type WorkspaceEntry,
} from "./workspace-entry.ts";

export interface FleetLimiterOptions {
  instance: InstanceId;
  /** The incarnation with which this instance joined last or is about to join. */
  incarnation: () => Incarnation;
  control: ControlView;
  network: PeerNetwork;
  clock?: Clock;
  timers?: Timers;
  logger?: Logger;
}

const admitted: LimitDecision = { admitted: true };

export class FleetLimiter implements Limiter {
  readonly #options: Required<FleetLimiterOptions>;
  readonly #store = new DisposableStore();
  readonly #entries = new Map<WorkspaceId, WorkspaceEntry>();
  readonly #holders = new HolderIndex();
  readonly #collectionContext: CollectionContext;
  #lastIncarnation: Incarnation | undefined;
  #nextTransfer = 1;
  #earlyHandovers: Handover[] = [];
  #cancelRefill = () => {};
  /** Monotonic milliseconds of the last check that found the instance fresh. */
  #lastFreshAt = Number.NEGATIVE_INFINITY;
  #isDisposed = false;

  constructor(options: FleetLimiterOptions) {
    this.#options = {
      clock: systemClock,
      timers: systemTimers,
      logger: silentLogger,
      ...options,
    };
    const { instance, network, clock, timers } = this.#options;
    this.#collectionContext = {
      instance,
      network,
      clock,
      timers,
      isFresh: () => this.#isFresh(),
      suspects: new Map(),
    };
  }

  start(): void {
    const { control, network } = this.#options;
    network.handle(
      collectMessage,
      ({ workspace, ...request }) => this.#transferTokens(workspace, request),
    );
    network.handle(settleMessage, ({ workspace, transfer, refund }) => {
      const entry = this.#entries.get(workspace);
      if (!entry || !this.#isFresh()) return null;
      refillEntry(entry, this.#now());
      entry.bucket = endTransfer(entry.bucket, transfer, refund);
      return null;
    });
    network.handle(handoverMessage, (handover) => {
      this.#receiveHandover(handover);
      return null;
    });
    this.#repeatRefill();
    // Buckets of workspaces that exist already start empty, since their burst may be spent.
    this.#applyState(control.state, undefined);
    this.#store.add(
      control.onChange((state, previous) => this.#applyState(state, previous)),
    );
  }

  async dispose(): Promise<void> {
    this.#isDisposed = true;
    this.#cancelRefill();
    await this.#store.dispose();
  }

  take(workspace: WorkspaceId): Promise<LimitDecision> {
    const entry = this.#entries.get(workspace);
    const limit = entry?.allocation.limit;
    if (!entry || !limit || !this.#isFresh()) {
      return Promise.resolve({ admitted: false, retryAfterSeconds: 1 });
    }
    const now = this.#now();
    refillEntry(entry, now);
    if (entry.waiting.length === 0 && entry.bucket.level >= 1) {
      entry.bucket = spend(entry.bucket, 1);
      return Promise.resolve(admitted);
    }
    const servable = limit.burst +
      limit.ratePerSecond * tokenWaitMilliseconds(entry) / 1_000;
    if (now < entry.refuseUntil || entry.waiting.length >= servable) {
      entry.lastRefusalAt = now;
      return Promise.resolve(this.#refusal(entry));
    }
    return new Promise((resolve) => {
      entry.waiting.push({
        since: now,
        resolve: (isAdmitted) =>
          resolve(isAdmitted ? admitted : this.#refusal(entry)),
      });
      if (!entry.isCollecting) void this.#collect(entry);
    });
  }

  async #collect(entry: WorkspaceEntry): Promise<void> {
    entry.isCollecting = true;
    try {
      await new Collection(this.#collectionContext, entry).run();
    } catch (error) {
      this.#options.logger.error("a token collection failed", {
        workspace: entry.id,
        reason: String(error),
      });
      for (const { resolve } of entry.waiting.splice(0)) resolve(false);
    } finally {
      entry.isCollecting = false;
    }
  }

  #refusal(entry: WorkspaceEntry): LimitDecision {
    const rate = entry.allocation.limit?.ratePerSecond ?? 1;
    const seconds = (entry.waiting.length + 1) / rate;
    return {
      admitted: false,
      retryAfterSeconds: Math.max(1, Math.ceil(seconds)),
    };
  }

  /** Refills all buckets periodically, so that a shrinking holder hands over its full surplus. */
  #repeatRefill(): void {
    const { timers } = this.#options;
    const cancel = timers.after(refillPeriodMilliseconds, () => {
      if (this.#isDisposed) return;
      this.#repeatRefill();
      if (!this.#isFresh()) return;
      const now = this.#now();
      for (const entry of this.#entries.values()) refillEntry(entry, now);
    });
    this.#cancelRefill = cancel;
  }

  #isFresh(): boolean {
    const isFresh = this.#options.control.isFresh();
    if (isFresh) this.#lastFreshAt = this.#now();
    return isFresh;
  }

  #now(): number {
    return this.#options.clock.monotonicNow();
  }

  #transferTokens(
    workspace: WorkspaceId,
    request: { amount: number; whole: boolean; spare: number },
  ) {
    const entry = this.#entries.get(workspace);
    if (!entry || !this.#isFresh()) {
      return { transfer: 0, amount: 0, level: 0 };
    }
    const now = this.#now();
    refillEntry(entry, now);
    const { bucket } = entry;
    const given = transferAmount(bucket, request);
    if (given <= 0) return { transfer: 0, amount: 0, level: bucket.level };
    const transfer = this.#nextTransfer++;
    entry.bucket = startTransfer(bucket, {
      id: transfer,
      amount: given,
      expiresAt: now + transferDeadlineMilliseconds,
    });
    return { transfer, amount: given, level: entry.bucket.level };
  }

  #receiveHandover(handover: Handover): void {
    const { workspace, offset } = handover;
    if (offset > this.#options.control.state.appliedOffset) {
      if (this.#earlyHandovers.length < maximumEarlyHandovers) {
        this.#earlyHandovers.push(handover);
      }
      return;
    }
    const entry = this.#entries.get(workspace);
    if (entry) receiveHandover(entry, handover, this.#now());
  }

  #applyState(state: ControlState, previous: ControlState | undefined): void {
    const { instance, incarnation } = this.#options;
    const now = this.#now();
    const ownIncarnation = incarnation();
    const isMember = isOwnMember(state, instance, ownIncarnation);
    if (this.#lastIncarnation !== ownIncarnation) {
      this.#lastIncarnation = ownIncarnation;
      for (const entry of this.#entries.values()) resetBucket(entry, now);
    }
    const { workspaces } = state.configuration;
    const haveMembersChanged = state.members !== previous?.members;
    if (haveMembersChanged) this.#holders.setMembers(eligibleMembers(state));
    let hasPendingShares = false;
    for (const id of new Set([...this.#entries.keys(), ...workspaces.keys()])) {
      const workspace = workspaces.get(id);
      const known = this.#entries.get(id);
      const limit = known?.allocation.limit;
      const isSameLimit = limit?.burst === workspace?.burst &&
        limit?.ratePerSecond === workspace?.ratePerSecond;
      if (known && isSameLimit && !haveMembersChanged) continue;
      const entry = known ?? createEntry(id, now);
      this.#entries.set(id, entry);
      const change = {
        instance,
        offset: state.appliedOffset,
        isMember,
        // A fresh instance has applied all records except those of the last freshness window,
        // which are not in force yet. So this record, which was not applied at the last fresh
        // check, came into force after it at the earliest. A share grows only when the time for
        // transfers in transit has passed as well.
        notInForceBefore: this.#lastFreshAt + transferDeadlineMilliseconds,
        allocation: {
          limit: workspace && {
            ratePerSecond: workspace.ratePerSecond,
            burst: workspace.burst,
          },
          holders: workspace ? this.#holders.holders(id, workspace.burst) : [],
        },
      };
      if (!known && previous && isMember) {
        startWithFullBucket(entry, change);
        continue;
      }
      const parts = changeAllocation(entry, change);
      for (const { receiver, amount } of isMember ? parts : []) {
        if (receiver === instance) continue;
        const body = { workspace: id, offset: state.appliedOffset, amount };
        this.#options.network.send(receiver, handoverMessage, body);
      }
      hasPendingShares ||= entry.schedule.pending.length > 0;
    }
    if (hasPendingShares) void this.#putInForceLater(state.appliedOffset);
    this.#applyEarlyHandovers(state.appliedOffset);
  }

  #applyEarlyHandovers(offset: Offset): void {
    const due = this.#earlyHandovers.filter((entry) => entry.offset <= offset);
    if (due.length === 0) return;
    this.#earlyHandovers = this.#earlyHandovers.filter((entry) =>
      entry.offset > offset
    );
    for (const handover of due) this.#receiveHandover(handover);
  }

  async #putInForceLater(offset: Offset): Promise<void> {
    const { control, timers, logger } = this.#options;
    try {
      await control.whenInForce(offset);
    } catch (error) {
      // The shares of this record are replaced by those of the next record that comes into force.
      logger.warn("waiting for a control record failed", {
        offset,
        reason: String(error),
      });
      return;
    }
    // Tokens that a holder transferred just before it applied the record are usable until then.
    timers.after(transferDeadlineMilliseconds, () => {
      if (this.#isDisposed) return;
      const options = { now: this.#now(), isFresh: this.#isFresh() };
      for (const entry of this.#entries.values()) {
        applyInForce(entry, offset, options);
      }
    });
  }
}
