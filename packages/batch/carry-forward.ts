/**
 * Carries data forward: finds records that the log will drop soon although they are still needed
 * and appends copies of them. Completions are copied by the owner of their range, input files by
 * the home owner of their job. One range or file is copied at a time, so that copies do not hold
 * up the appends of new completions.
 */

import type { Clock } from "../common/clock.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  brandAs,
  type FileId,
  type Incarnation,
  type InstanceId,
  type WriterId,
} from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { ControlView } from "../control/control-state.ts";
import type { AppendBudget } from "../log/append-budget.ts";
import type { LogClient } from "../log/log-client.ts";
import { carryForwardRetentionShare } from "./constants.ts";
import { carryFile } from "./files/carry-file.ts";
import type { FileStore } from "./files/file-store.ts";
import { EpochLostError, type PartitionOwner } from "./partition/owner.ts";
import type { PartitionSet } from "./partition/partition-set.ts";
import type { JobState, RangeState } from "./partition/state.ts";
import { carryResults } from "./results/carry-results.ts";

export interface CarryForwardOptions {
  instance: InstanceId;
  incarnation: () => Incarnation;
  control: ControlView;
  client: LogClient;
  budget: AppendBudget;
  partitions: PartitionSet;
  files: FileStore;
  clock: Clock;
  logger: Logger;
}

export class CarryForward {
  readonly #options: CarryForwardOptions;
  /** Wall-clock milliseconds at which the oldest chunk of each needed input file was written. */
  readonly #oldestChunkTimes = new Map<FileId, number>();
  #isRunning = false;
  /** Makes the writer id of each copy unique. */
  #carriedFileCount = 0;

  constructor(options: CarryForwardOptions) {
    this.#options = options;
  }

  maintain(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    void this.#run().finally(() => this.#isRunning = false);
  }

  async #run(): Promise<void> {
    const { control, partitions, clock } = this.#options;
    const { platform } = control.state.configuration;
    if (!platform) return;
    const maximumAge = platform.log.retentionSeconds * 1_000 *
      carryForwardRetentionShare;
    const neededFiles = new Set<FileId>();
    for (const owner of partitions.activeOwners()) {
      const dueBefore = () => clock.wallNow() - maximumAge;
      for (const range of [...owner.state.ranges.values()]) {
        if (!isRangeDue(range, dueBefore()) || !owner.isActive) continue;
        await this.#runAndLogFailure(
          owner,
          () => this.#carryRange(owner, range),
        );
      }
      for (const job of [...owner.state.jobs.values()]) {
        if (!needsInputFile(job) || !owner.isActive) continue;
        neededFiles.add(job.spec.inputFile);
        await this.#runAndLogFailure(owner, async () => {
          const oldest = await this.#oldestChunkTimeOf(job.spec.inputFile);
          if (oldest < dueBefore()) await this.#carryFile(owner, job);
        });
      }
    }
    for (const file of this.#oldestChunkTimes.keys()) {
      if (!neededFiles.has(file)) this.#oldestChunkTimes.delete(file);
    }
  }

  async #runAndLogFailure(
    owner: PartitionOwner,
    action: () => Promise<void>,
  ): Promise<void> {
    try {
      await action();
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
      this.#options.logger.warn("data could not be carried forward", {
        partition: owner.partition,
        reason: error.message,
      });
    }
  }

  async #carryRange(owner: PartitionOwner, range: RangeState): Promise<void> {
    const copied = await carryResults(this.#options.client, owner, range);
    this.#options.logger.info("completions were carried forward", {
      job: range.spec.job,
      range: range.spec.range,
      copied,
    });
  }

  async #oldestChunkTimeOf(file: FileId): Promise<number> {
    let oldestChunkAt = this.#oldestChunkTimes.get(file);
    if (oldestChunkAt === undefined) {
      const completion = await this.#options.files.find(file);
      if (!completion) return Number.POSITIVE_INFINITY;
      oldestChunkAt = completion.oldestChunkAt;
      this.#oldestChunkTimes.set(file, oldestChunkAt);
    }
    return oldestChunkAt;
  }

  async #carryFile(owner: PartitionOwner, job: JobState): Promise<void> {
    const { instance, incarnation, files, logger } = this.#options;
    const file = job.spec.inputFile;
    const completion = await files.find(file);
    if (!completion) return;
    const writer = brandAs<WriterId>(
      `carry/${instance}/${incarnation()}/${file}/${this.#carriedFileCount++}`,
    );
    const carried = await carryFile(completion, {
      ...this.#options,
      writer,
      checkOwnership: () => {
        if (!owner.isActive) throw new EpochLostError(owner.partition);
      },
    });
    this.#oldestChunkTimes.set(file, carried.oldestChunkAt);
    logger.info("a file was carried forward", {
      file,
      chunks: carried.chunks.length,
    });
  }
}

function isRangeDue(range: RangeState, dueBefore: number): boolean {
  const oldestRecord = range.index[0];
  return oldestRecord !== undefined && oldestRecord.time < dueBefore;
}

/**
 * Whether the input file of a job is still needed. A cancelled job needs it after its end, because
 * the custom_ids in its error lines are read from the input file.
 */
function needsInputFile(job: JobState): boolean {
  return job.endedAt === undefined || job.cancelledAt !== undefined;
}
