/**
 * Owns one partition on this instance: follows its stream, opens an epoch, appends entries in that
 * epoch, and stops as soon as it reads a newer one. The epoch is opened once the previous owner has
 * released its epoch or is no longer a member, or if it is an active member that has not released
 * its epoch within `releaseTimeoutMilliseconds`. An appended entry is acted upon only once it has
 * been read back from the log.
 */

import type { Clock } from "../../common/clock.ts";
import { RosemaryrudderError } from "../../common/errors.ts";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type PartitionNumber,
  type StreamName,
  type WriterId,
} from "../../common/ids.ts";
import type { Logger } from "../../common/logging.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { AppendBudget } from "../../log/append-budget.ts";
import { GroupCommitWriter } from "../../log/group-commit-writer.ts";
import type { LogClient } from "../../log/log-client.ts";
import {
  checkpointRetentionShare,
  logStallThresholdMilliseconds,
  recordsPerCheckpoint,
  releaseTimeoutMilliseconds,
} from "../constants.ts";
import { createCheckpointEntries } from "./checkpoint.ts";
import type { OwnerEntry, PartitionEntry } from "./entries.ts";
import { PartitionFollower } from "./follower.ts";
import type { Epoch, PartitionState } from "./state.ts";

/** The owner's epoch has ended, or is not open; a newer owner may exist. */
export class EpochLostError extends RosemaryrudderError {
  constructor(partition: PartitionNumber) {
    super("epoch_lost", `the epoch of partition ${partition} has ended`);
  }
}

export interface PartitionOwnerOptions {
  partition: PartitionNumber;
  instance: InstanceId;
  incarnation: () => Incarnation;
  control: ControlView;
  client: LogClient;
  budget: AppendBudget;
  clock: Clock;
  logger: Logger;
  /** Called when the epoch is open and all records before it have been applied. */
  onActive: (owner: PartitionOwner) => void;
  /** Called when entries took effect while the epoch is open. */
  onEntries: (
    owner: PartitionOwner,
    entries: readonly PartitionEntry[],
  ) => void;
  /**
   * Called when an open epoch has ended here: by a release, a newer epoch, a gap in the stream or
   * a stop of this owner.
   */
  onStopped: (owner: PartitionOwner) => void;
  /** Called after each append to the log with its entries and the time that it took. */
  onAppended: (entries: number, milliseconds: number) => void;
}

type Phase = "following" | "opening" | "active" | "stopped";

let writerCount = 0;

export function partitionStream(partition: PartitionNumber): StreamName {
  return brandAs<StreamName>(`partition-${partition}`);
}

export class PartitionOwner {
  readonly partition: PartitionNumber;
  readonly #options: PartitionOwnerOptions;
  readonly #follower: PartitionFollower;
  /** Monotonic start times of the appends that have not been read back, by append id. */
  readonly #pendingAppends = new Map<number, number>();
  readonly #startedAt: number;
  #phase: Phase = "following";
  #writer: GroupCommitWriter | undefined;
  #writerId: WriterId | undefined;
  #epoch: Epoch | undefined;
  #nextAppendId = 0;
  #isWritingCheckpoint = false;

  constructor(options: PartitionOwnerOptions) {
    this.#options = options;
    this.partition = options.partition;
    this.#startedAt = options.clock.monotonicNow();
    this.#follower = new PartitionFollower({
      client: options.client,
      stream: partitionStream(options.partition),
      clock: options.clock,
      logger: options.logger,
      onApplied: (entries) => this.#handleEntries(entries),
      onCaughtUp: () => this.maintain(),
      // A gap means that the state will be replaced; the work of an open epoch relies on it.
      onGap: () => this.#phase === "following" || this.stop(),
    });
  }

  get state(): PartitionState {
    return this.#follower.state;
  }

  get isActive(): boolean {
    return this.#phase === "active";
  }

  get isStopped(): boolean {
    return this.#phase === "stopped";
  }

  /** The epoch that this owner opened; its offset is the fencing token. */
  get epoch(): Epoch {
    if (!this.#epoch) throw new EpochLostError(this.partition);
    return this.#epoch;
  }

  /** Whether the oldest pending append is so old that the log counts as unavailable. */
  get isLogStalled(): boolean {
    for (const startedAt of this.#pendingAppends.values()) {
      return this.#options.clock.monotonicNow() - startedAt >
        logStallThresholdMilliseconds;
    }
    return false;
  }

  start(): void {
    this.#follower.start();
  }

  /**
   * Appends an entry in this epoch and resolves once it has been read back and is in effect.
   * Rejects with an EpochLostError if that is not certain; the next owner then decides from the
   * records that it has read.
   */
  async append(entry: OwnerEntry): Promise<void> {
    const writer = this.#writer;
    const epoch = this.#epoch;
    if (!writer || !epoch || this.#phase !== "active") {
      throw new EpochLostError(this.partition);
    }
    await this.#appendAndRead(writer, { ...entry, epoch: epoch.offset });
    const current = this.state.epoch;
    const isInEffect = current?.offset === epoch.offset &&
      (!current.isReleased || entry.kind === "epoch-released");
    if (!isInEffect) throw new EpochLostError(this.partition);
  }

  /** Appends an entry without waiting for its effect; a failure is ignored. */
  appendInBackground(entry: OwnerEntry): void {
    this.append(entry).catch(() => {});
  }

  /** Ends the epoch by an entry in the stream, so that the next owner does not have to wait. */
  async release(): Promise<void> {
    try {
      if (this.isActive) await this.append({ kind: "epoch-released" });
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
    } finally {
      this.stop();
    }
  }

  stop(): void {
    if (this.#phase === "stopped") return;
    const wasActive = this.isActive;
    this.#phase = "stopped";
    this.#follower.stop();
    this.#writer?.close();
    if (wasActive) this.#options.onStopped(this);
  }

  /** Opens the epoch as soon as that is allowed, and writes checkpoints when they are due. */
  maintain(): void {
    if (this.#phase === "following" && this.#canOpenEpoch()) {
      void this.#openEpoch();
    } else if (this.isActive && this.#isCheckpointDue()) {
      void this.#writeCheckpoint();
    }
  }

  #canOpenEpoch(): boolean {
    if (!this.#follower.hasCaughtUp) return false;
    const previous = this.state.epoch;
    const { instance, incarnation, control, clock } = this.#options;
    if (!previous) return true;
    // The reducer ignores an epoch whose control offset is below that of the current epoch.
    if (control.state.appliedOffset < previous.controlOffset) return false;
    if (previous.isReleased) return true;
    if (previous.owner === instance) return true;
    const member = control.state.members.get(previous.owner);
    if (!member || member.incarnation !== previous.incarnation) return true;
    if (previous.incarnation === incarnation()) return true;
    if (member.state === "leaving") return false;
    return clock.monotonicNow() - this.#startedAt > releaseTimeoutMilliseconds;
  }

  async #openEpoch(): Promise<void> {
    const { instance, incarnation, control, partition } = this.#options;
    this.#phase = "opening";
    const writerId = brandAs<WriterId>(
      `${instance}/${incarnation()}/partition-${partition}/${++writerCount}`,
    );
    this.#writerId = writerId;
    this.#writer = new GroupCommitWriter({
      client: this.#options.client,
      stream: partitionStream(partition),
      writer: writerId,
      budget: this.#options.budget,
      clock: this.#options.clock,
      logger: this.#options.logger,
      onAppended: this.#options.onAppended,
    });
    try {
      await this.#appendAndRead(this.#writer, {
        kind: "epoch-opened",
        owner: instance,
        incarnation: incarnation(),
        controlOffset: control.state.appliedOffset,
      });
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
    }
    if (this.#phase === "opening") this.#phase = "following";
  }

  async #appendAndRead(
    writer: GroupCommitWriter,
    entry: unknown,
  ): Promise<void> {
    const appendId = this.#nextAppendId++;
    this.#pendingAppends.set(appendId, this.#options.clock.monotonicNow());
    try {
      const offset = await writer.append(entry);
      const isApplied = await this.#follower.whenApplied(offset);
      if (!isApplied) throw new EpochLostError(this.partition);
    } finally {
      this.#pendingAppends.delete(appendId);
    }
  }

  #handleEntries(entries: readonly PartitionEntry[]): void {
    const { epoch } = this.state;
    if (this.#phase === "opening" && epoch?.writer === this.#writerId) {
      this.#epoch = epoch;
      this.#phase = "active";
      this.#options.logger.info("a partition epoch was opened", {
        partition: this.partition,
        epoch: epoch?.offset,
      });
      this.#options.onActive(this);
    } else if (this.isActive) {
      if (epoch?.offset !== this.#epoch?.offset) {
        this.#options.logger.info("a newer epoch has replaced this one", {
          partition: this.partition,
          owner: epoch?.owner,
        });
        this.stop();
      } else if (entries.length > 0) {
        this.#options.onEntries(this, entries);
      }
    } else if (entries.some(({ kind }) => kind === "epoch-released")) {
      this.maintain();
    }
  }

  #isCheckpointDue(): boolean {
    const { platform } = this.#options.control.state.configuration;
    if (this.#isWritingCheckpoint || !platform) return false;
    const { recordsSinceCheckpoint, lastCheckpointAt } = this.#follower;
    if (recordsSinceCheckpoint >= recordsPerCheckpoint) return true;
    const checkpointedAt = lastCheckpointAt ?? this.#follower.firstRecordAt;
    const age = this.#options.clock.wallNow() - (checkpointedAt ?? 0);
    return age >
      platform.log.retentionSeconds * 1_000 * checkpointRetentionShare;
  }

  async #writeCheckpoint(): Promise<void> {
    const writer = this.#writer;
    if (!writer) return;
    this.#isWritingCheckpoint = true;
    try {
      const id = `${this.#writerId}/${this.state.appliedOffset}`;
      await Promise.all(
        createCheckpointEntries(id, this.state).map((entry) =>
          this.#appendAndRead(writer, entry)
        ),
      );
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
    } finally {
      this.#isWritingCheckpoint = false;
    }
  }
}
