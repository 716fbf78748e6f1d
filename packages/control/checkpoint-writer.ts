/** Writes a control checkpoint when one is due for this instance by its rank. */

import type { Clock } from "../common/clock.ts";
import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { GroupCommitWriter } from "../log/group-commit-writer.ts";
import type { StoredRecord } from "../log/log-client.ts";
import { createCheckpoint } from "./checkpoint.ts";
import { platformSectionSchema } from "./document.ts";
import { rankedMembers } from "./owners.ts";
import { isCheckpointDue } from "./schedules.ts";
import type { ControlStateBuilder } from "./state-builder.ts";

/** Retention of the log that applies until the platform section is published. */
const defaultRetentionSeconds =
  platformSectionSchema.shape.log.parse(undefined).retentionSeconds;

export interface CheckpointWriterOptions {
  self: InstanceId;
  builder: ControlStateBuilder;
  writer: GroupCommitWriter;
  clock: Clock;
  logger: Logger;
}

export class CheckpointWriter {
  readonly #options: CheckpointWriterOptions;
  #firstRecordTime: number | undefined;
  /** Log time of the latest record, and the monotonic time at which it was read here. */
  #latestRecord: { time: number; readAt: number } | undefined;
  #isWriting = false;
  checkpointsWritten = 0;

  constructor(options: CheckpointWriterOptions) {
    this.#options = options;
  }

  /**
   * Tracks the time by the clock of the log, so that the clocks of instances need not agree with
   * it. During a replay the estimate lags behind, until the first record that is appended after
   * the start arrives; this is the instance's own join at the latest.
   */
  trackLogTime(record: StoredRecord): void {
    this.#firstRecordTime ??= record.time;
    const readAt = this.#options.clock.monotonicNow();
    this.#latestRecord = { time: record.time, readAt };
  }

  /** Writes a checkpoint if it is due. Called regularly while this member is fresh. */
  writeIfDue(): void {
    const { self, builder, clock } = this.#options;
    const latestRecord = this.#latestRecord;
    if (this.#isWriting || !latestRecord || !builder.isComplete) return;
    const { state } = builder;
    const rank = rankedMembers(state, "control-checkpoint").indexOf(self);
    if (rank < 0) return;
    const since = builder.lastCheckpoint?.time ?? this.#firstRecordTime;
    const retentionSeconds =
      state.configuration.platform?.log.retentionSeconds ??
        defaultRetentionSeconds;
    const isDue = since !== undefined && isCheckpointDue({
      logNow: latestRecord.time + clock.monotonicNow() - latestRecord.readAt,
      since,
      retentionMilliseconds: retentionSeconds * 1_000,
      rank,
    });
    if (isDue) void this.#write();
  }

  async #write(): Promise<void> {
    const { builder, writer, logger } = this.#options;
    this.#isWriting = true;
    try {
      const parts = createCheckpoint(builder.state);
      const appends = parts.map((part) => writer.append(part));
      const offset = Math.max(...await Promise.all(appends));
      await this.#waitUntilApplied(offset);
      this.checkpointsWritten += 1;
      logger.info("a control checkpoint was written", {
        asOf: parts[0]?.asOf ?? -1,
        parts: parts.length,
      });
    } catch (error) {
      logger.warn("a control checkpoint could not be written", {
        reason: error instanceof Error ? error.message : String(error),
      });
    } finally {
      this.#isWriting = false;
    }
  }

  /**
   * Waits up to 5 s until the checkpoint was read back. Only then does it count as the last one,
   * and until then it must not be written a second time.
   */
  async #waitUntilApplied(offset: number): Promise<void> {
    const { builder } = this.#options;
    for (let attempt = 0; attempt < 100; attempt++) {
      if (builder.state.appliedOffset >= offset) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
}
