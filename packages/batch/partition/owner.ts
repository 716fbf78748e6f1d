/**
 * Owns one partition on this instance: follows its stream, opens an epoch once the previous
 * owner has let go, appends entries of that epoch, and stops at once when it reads a newer
 * epoch. Nothing is acted upon before it has been read back.
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
import { checkpointEntries } from "./checkpoint.ts";
import type { OwnerEntry, PartitionEntry } from "./entries.ts";
import { PartitionFollower } from "./follower.ts";
import type { Epoch, PartitionState } from "./state.ts";

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
  /** The epoch is open and everything before it has been read. */
  onActive: (owner: PartitionOwner) => void;
  /** Entries took effect while the epoch is open. */
  onEntries: (
    owner: PartitionOwner,
    entries: readonly PartitionEntry[],
  ) => void;
  /** The epoch ended, by release or by a newer one. */
  onStopped: (owner: PartitionOwner) => void;
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
  readonly #pendingSince = new Map<number, number>();
  readonly #startedAt: number;
  #phase: Phase = "following";
  #writer: GroupCommitWriter | undefined;
  #writerId: WriterId | undefined;
  #epoch: Epoch | undefined;
  #nextPending = 0;
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
      // Work in this epoch relies on the state that is about to be replaced.
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

  /** Whether an append has been waiting for so long that the log counts as unavailable. */
  get isLogStalled(): boolean {
    for (const since of this.#pendingSince.values()) {
      return this.#options.clock.monotonicNow() - since >
        logStallThresholdMilliseconds;
    }
    return false;
  }

  start(): void {
    this.#follower.start();
  }

  /**
   * Appends an entry in this epoch and resolves once it has been read back and is in effect.
   * Rejects with an EpochLostError if it may not be; a newer owner then decides.
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

  /** Appends an entry whose effect nobody waits for. */
  note(entry: OwnerEntry): void {
    this.append(entry).catch(() => {});
  }

  /** Ends the epoch by a record, so that the next owner need not wait. */
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

  /** Opens the epoch when it may be opened, and writes checkpoints when they are due. */
  maintain(): void {
    if (this.#phase === "following" && this.#mayOpen()) {
      void this.#open();
    } else if (this.isActive && this.#isCheckpointDue()) {
      void this.#writeCheckpoint();
    }
  }

  #mayOpen(): boolean {
    if (!this.#follower.hasSeenEnd) return false;
    const previous = this.state.epoch;
    const { instance, incarnation, control, clock } = this.#options;
    if (!previous) return true;
    // The reducer would ignore an epoch from an older view of the members.
    if (control.state.appliedOffset < previous.controlOffset) return false;
    if (previous.isReleased) return true;
    if (previous.owner === instance) return true;
    const member = control.state.members.get(previous.owner);
    if (!member || member.incarnation !== previous.incarnation) return true;
    if (previous.incarnation === incarnation()) return true;
    if (member.state === "leaving") return false;
    return clock.monotonicNow() - this.#startedAt > releaseTimeoutMilliseconds;
  }

  async #open(): Promise<void> {
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
    const pending = this.#nextPending++;
    this.#pendingSince.set(pending, this.#options.clock.monotonicNow());
    try {
      const offset = await writer.append(entry);
      const isApplied = await this.#follower.whenApplied(offset);
      if (!isApplied) throw new EpochLostError(this.partition);
    } finally {
      this.#pendingSince.delete(pending);
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
    const since = lastCheckpointAt ?? this.#follower.firstRecordAt;
    const age = this.#options.clock.wallNow() - (since ?? 0);
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
        checkpointEntries(id, this.state).map((entry) =>
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
