/** The batch jobs of an entry instance: partitions, ownership, executor and calls together. */

import type { Clock } from "../common/clock.ts";
import type {
  InstanceId,
  JobId,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { JobReport, PeerReports } from "../fleet/peers/peer-reports.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import type { ServerPools } from "../gateway/server-pools.ts";
import { BatchExecutor } from "../jobs/batch-executor.ts";
import { ItemBodies } from "../jobs/item-bodies.ts";
import { BatchCalls } from "../jobs/job-calls.ts";
import type { JobCodec } from "../jobs/job-codec.ts";
import { JobPartition, JobPartitions } from "../jobs/job-partition.ts";
import { Ownership } from "../jobs/ownership.ts";
import { ProgressKeeper } from "../jobs/progress-keeper.ts";
import { ResultWriter } from "../jobs/result-writer.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import {
  bodyStream,
  jobStream,
  ownerGroup,
  progressStream,
} from "./constants.ts";
import type { EntrySettings } from "./entry-settings.ts";

export interface BatchWorkOptions {
  readonly settings: EntrySettings;
  readonly store: KeyedStore;
  readonly blackboard: Blackboard;
  readonly pools: ServerPools;
  readonly callerCodec: CallerCodec;
  readonly jobCodec: JobCodec;
  readonly peers: () => PeerReports;
  readonly countRun: (outcome: string) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class BatchWork {
  readonly calls: BatchCalls;
  readonly #options: BatchWorkOptions;
  readonly #partitions: JobPartitions;
  readonly #bodies: ItemBodies;
  readonly #ownership: Ownership;
  readonly #progress: ProgressKeeper;
  readonly #executor: BatchExecutor;
  readonly #writers = new Map<PartitionNumber, ResultWriter>();
  #groupNumber = 0;

  constructor(options: BatchWorkOptions) {
    this.#options = options;
    const { settings, store, logger, clock } = options;
    this.#bodies = new ItemBodies({
      store,
      stream: bodyStream as StreamName,
      logger,
    });
    this.#partitions = new JobPartitions(
      jobStream as StreamName,
      settings.store.partitions,
      (target) =>
        new JobPartition({
          store,
          target,
          logger,
          now: clock.monotonicNow,
          isOwned: () => this.#ownership.isOwned(target.partition),
          onChange: (jobs) => this.#executor.noteJobChange(jobs),
        }),
    );
    this.#ownership = this.#createOwnership();
    this.#progress = new ProgressKeeper({
      store,
      stream: progressStream as StreamName,
      ownedPartitions: () => this.#ownership.owned(),
      progressOf: (partition) => this.#executor.progressOf(partition),
      logger,
    });
    this.#executor = this.#createExecutor();
    this.calls = new BatchCalls({
      partitions: this.#partitions,
      bodies: this.#bodies,
      codec: options.jobCodec,
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      logger,
    });
  }

  get ownsFirstPartition(): boolean {
    return this.#ownership.mayStart(0 as PartitionNumber);
  }

  start(): void {
    for (const partition of this.#partitions.all()) partition.start();
    this.#ownership.start();
    this.#progress.start();
    this.#executor.start();
  }

  async leave(): Promise<void> {
    await this.#ownership.leave();
    this.#progress.stop();
    this.#executor.stop();
  }

  get runningItems(): number {
    return this.#executor.runningItems;
  }

  /** Stops reading the partitions; called last. */
  stop(): void {
    for (const partition of this.#partitions.all()) partition.stop();
  }

  /** Stops one own run at the server; false if there is none. */
  displace(server: InstanceId): boolean {
    return this.#executor.displace(server);
  }

  report(): JobReport {
    return {
      ownedPartitions: this.#ownership.owned(),
      ownerGeneration: this.#ownership.generation,
      waitingItems: this.#executor.waitingItems,
    };
  }

  /** Forgets jobs whose lifetime has passed. */
  sweep(): void {
    const { settings, clock } = this.#options;
    const now = clock.wallNow();
    for (const partition of this.#partitions.all()) {
      for (const state of [...partition.state.jobs()]) {
        const { record } = state;
        const isOver = state.isEnded ||
          state.finished.size === record.items.length;
        const endsAt = record.acceptedAt + settings.jobLifetimeMilliseconds;
        if (isOver && now > endsAt) this.#forget(partition, record.job);
      }
    }
  }

  #forget(partition: JobPartition, job: JobId): void {
    partition.state.forget(job);
    this.#bodies.forget(job);
  }

  #createOwnership(): Ownership {
    const { settings, store, clock, logger, peers } = this.#options;
    return new Ownership({
      store,
      instance: settings.instance,
      group: ownerGroup,
      stream: jobStream as StreamName,
      clock,
      logger,
      onLost: async (partitions) => {
        await this.#executor.release(partitions);
        for (const number of partitions) this.#progress.forget(number);
      },
      onWon: (partitions) => {
        for (const number of partitions) {
          this.#partitions.get(number)?.poke();
          void this.#progress.load(number);
        }
      },
      isClaimedByPeer: (partition, generation) =>
        peers().recentReports().some(({ report }) =>
          report.ownerGeneration > generation &&
          report.ownedPartitions.includes(partition)
        ),
      isInTouch: () => {
        const { heard, members } = peers().view();
        return heard > 1 || members === 1;
      },
    });
  }

  #createExecutor(): BatchExecutor {
    const { settings, blackboard, pools, callerCodec, jobCodec, peers } =
      this.#options;
    const { clock, logger } = this.#options;
    return new BatchExecutor({
      blackboard,
      partitions: this.#partitions,
      bodies: this.#bodies,
      writerOf: (partition) => this.#writerOf(partition),
      progress: this.#progress,
      mayStart: (partition) =>
        this.#progress.isLoaded(partition) &&
        this.#ownership.mayStart(partition),
      isOwned: (partition) => this.#ownership.isOwned(partition),
      othersWaiting: () =>
        peers().recentReports().reduce(
          (sum, { report }) => sum + report.waitingItems,
          0,
        ),
      callerCodec,
      jobCodec,
      pools,
      zone: settings.zone,
      now: clock.monotonicNow,
      wallNow: clock.wallNow,
      countRun: this.#options.countRun,
      logger,
    });
  }

  #writerOf(partition: JobPartition): ResultWriter {
    const { settings, logger } = this.#options;
    let writer = this.#writers.get(partition.number);
    if (!writer) {
      writer = new ResultWriter({
        partition,
        writer: `${settings.instance}/${settings.incarnation}`,
        nextNumber: () => this.#groupNumber++,
        logger,
      });
      this.#writers.set(partition.number, writer);
    }
    return writer;
  }
}
