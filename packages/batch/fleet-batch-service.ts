/**
 * The batch service of one instance. Implements files and batch jobs for callers, and runs the
 * components behind them: partitions, item execution, range synchronization and results. Does
 * nothing until the first document is published.
 */

import type { BatchCapacity } from "../capacity/capacity.ts";
import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/disposable-store.ts";
import { LogUnavailableError } from "../common/errors.ts";
import type {
  FileId,
  Incarnation,
  InstanceId,
  JobId,
  WorkspaceId,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import type {
  ControlView,
  PartitionOwnerLookup,
} from "../control/control-state.ts";
import type { PlatformSection } from "../control/document.ts";
import type { AppendBudget } from "../log/append-budget.ts";
import type { LogClient } from "../log/log-client.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import type { RunBatchItem } from "../routing/upstream-caller.ts";
import { AppendStatistics, type AppendSummary } from "./append-statistics.ts";
import type {
  BatchService,
  CreateFileOptions,
  CreateJobOptions,
  FileDescription,
  JobDescription,
} from "./batch-service.ts";
import { CarryForward } from "./carry-forward.ts";
import { maintenancePeriodMilliseconds } from "./constants.ts";
import {
  describeFile,
  describeResult,
  fileNotFound,
  jobIdOf,
  logUnavailable,
  rangeItemsFor,
} from "./descriptions.ts";
import { Executor } from "./execution/executor.ts";
import type { FileCompletion } from "./files/file-records.ts";
import { FileStore } from "./files/file-store.ts";
import { uploadFile } from "./files/file-upload.ts";
import { HomeOwner } from "./jobs/home-owner.ts";
import { type FoundJob, JobClient, notConfigured } from "./jobs/job-client.ts";
import { parseResultFile } from "./jobs/job-description.ts";
import { rangeChangedMessage } from "./jobs/job-messages.ts";
import { RangeHandler } from "./jobs/range-handler.ts";
import { RangeSync } from "./jobs/range-sync.ts";
import { partitionOf, PartitionSet } from "./partition/partition-set.ts";
import type { RangeState } from "./partition/state.ts";
import { ResultReader } from "./results/result-reader.ts";

export interface FleetBatchServiceOptions {
  instance: InstanceId;
  incarnation: () => Incarnation;
  control: ControlView;
  partitionOwner: PartitionOwnerLookup;
  logClient: LogClient;
  appendBudget: AppendBudget;
  network: PeerNetwork;
  capacity: BatchCapacity;
  runItem: RunBatchItem;
  clock?: Clock;
  logger?: Logger;
}

export interface BatchStatistics {
  /** Items without an outcome in the ranges that this instance owns. */
  readonly backlog: number;
  readonly running: number;
  /** Items in flight, or completed but not yet recorded in the log. */
  readonly unrecorded: number;
  readonly completed: number;
  readonly failed: number;
  readonly partitions: number;
  readonly appends: AppendSummary;
}

export class FleetBatchService implements BatchService {
  readonly #options: Required<FleetBatchServiceOptions>;
  readonly #store = new DisposableStore();
  readonly #files: FileStore;
  readonly #executor: Executor;
  readonly #partitions: PartitionSet;
  readonly #rangeSync: RangeSync;
  readonly #homeOwner: HomeOwner;
  readonly #rangeHandler: RangeHandler;
  readonly #carryForward: CarryForward;
  readonly #jobClient: JobClient;
  readonly #resultReader: ResultReader;
  readonly #appendStatistics = new AppendStatistics();

  constructor(given: FleetBatchServiceOptions) {
    const options = { clock: systemClock, logger: silentLogger, ...given };
    const { control, network, clock, partitionOwner, logClient } = options;
    this.#options = options;
    this.#files = new FileStore(logClient);
    this.#executor = new Executor({
      ...options,
      files: this.#files,
      onRangeFinished: (range) => this.#notifyHomeOwner(range),
    });
    this.#partitions = new PartitionSet({
      ...options,
      client: logClient,
      budget: options.appendBudget,
      drain: (owner) => this.#executor.drain(owner),
      onActive: (owner) => {
        this.#executor.addOwner(owner);
        for (const { spec } of owner.state.ranges.values()) {
          this.#sendRangeChanged(spec.workspace, spec.job);
        }
      },
      onEntries: (owner, entries) =>
        this.#executor.handleEntries(owner, entries),
      onStopped: (owner) => this.#executor.removeOwner(owner),
      onAppended: (entries, milliseconds) =>
        this.#appendStatistics.record(entries, milliseconds),
    });
    const partitions = this.#partitions;
    this.#rangeSync = new RangeSync({ ...options, partitions });
    this.#homeOwner = new HomeOwner({
      control,
      partitions,
      network,
      sync: this.#rangeSync,
      clock,
    });
    this.#rangeHandler = new RangeHandler({
      partitions,
      network,
      executor: this.#executor,
    });
    this.#carryForward = new CarryForward({
      ...options,
      client: logClient,
      budget: options.appendBudget,
      partitions,
      files: this.#files,
    });
    this.#jobClient = new JobClient({
      control,
      partitionOwner,
      network,
      clock,
    });
    this.#resultReader = new ResultReader({
      client: logClient,
      jobs: this.#jobClient,
      files: this.#files,
    });
  }

  /** Starts to own the partitions that the control state assigns to this instance. */
  start(): void {
    const { control } = this.#options;
    this.#homeOwner.start();
    this.#rangeHandler.start();
    this.#store.add(
      control.onChange((state, previous) => {
        this.#partitions.maintain();
        if (state.membershipOffset !== previous.membershipOffset) {
          this.#rangeSync.syncAllNow();
        }
      }),
    );
    this.#store.addInterval(
      () => this.#maintain(),
      maintenancePeriodMilliseconds,
    );
    this.#maintain();
  }

  /** Releases all partitions; resolves when calls that may not be repeated have ended. */
  async release(): Promise<void> {
    await this.#partitions.release();
  }

  async dispose(): Promise<void> {
    await this.#store.dispose();
    this.#partitions.stop();
    this.#executor.dispose();
  }

  get statistics(): BatchStatistics {
    return {
      ...this.#executor.statistics,
      partitions: this.#partitions.activeOwners().length,
      appends: this.#appendStatistics.summary,
    };
  }

  async createFile(options: CreateFileOptions): Promise<FileDescription> {
    const platform = this.#requirePlatform();
    const completion = await uploadFile({
      ...options,
      client: this.#options.logClient,
      budget: this.#options.appendBudget,
      clock: this.#options.clock,
    });
    return describeFile(completion, platform);
  }

  async getFile(
    workspace: WorkspaceId,
    file: FileId,
  ): Promise<FileDescription | undefined> {
    const platform = this.#requirePlatform();
    const result = parseResultFile(file);
    if (result) {
      const found = await this.#findJobWithResults(workspace, result.job);
      return found && describeResult(found, result.kind, platform);
    }
    const completion = await this.#findInput(workspace, file);
    return completion && describeFile(completion, platform);
  }

  async readFile(
    workspace: WorkspaceId,
    file: FileId,
  ): Promise<AsyncIterable<Uint8Array>> {
    const { partitions } = this.#requirePlatform();
    const result = parseResultFile(file);
    if (!result) {
      const completion = await this.#findInput(workspace, file);
      if (completion) return this.#files.content(completion);
      throw fileNotFound();
    }
    const found = await this.#findJobWithResults(workspace, result.job);
    if (!found) throw fileNotFound();
    return this.#resultReader.read(found, result.kind, partitions);
  }

  async createJob(options: CreateJobOptions): Promise<JobDescription> {
    const { partitions } = this.#requirePlatform();
    const file = await this.#findInput(options.workspace, options.inputFile);
    if (!file) throw fileNotFound();
    return await this.#jobClient.submit({
      id: jobIdOf(options),
      workspace: options.workspace,
      ...(options.idempotencyKey === undefined
        ? {}
        : { idempotencyKey: options.idempotencyKey }),
      fingerprint: options.fingerprint,
      inputFile: options.inputFile,
      endpoint: options.endpoint,
      deadline: options.deadline,
      metadata: options.metadata ?? {},
      createdAt: this.#options.clock.wallNow(),
      lines: file.lines,
      rangeItems: rangeItemsFor(file.lines, partitions),
    });
  }

  async getJob(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<JobDescription | undefined> {
    return (await this.#jobClient.get(workspace, job))?.job;
  }

  async listJobs(
    workspace: WorkspaceId,
    options: { after?: JobId | undefined; limit: number },
  ): Promise<readonly JobDescription[]> {
    return await this.#jobClient.list(workspace, options);
  }

  async cancelJob(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<JobDescription | undefined> {
    return await this.#jobClient.cancel(workspace, job);
  }

  #maintain(): void {
    this.#partitions.maintain();
    this.#homeOwner.cancelListedJobs();
    this.#rangeSync.maintain();
    this.#executor.maintain();
    this.#carryForward.maintain();
  }

  #requirePlatform(): PlatformSection {
    const { platform } = this.#options.control.state.configuration;
    if (!platform) throw notConfigured();
    return platform;
  }

  async #findInput(
    workspace: WorkspaceId,
    file: FileId,
  ): Promise<FileCompletion | undefined> {
    if (!/^file-[0-9a-f]{32}$/.test(file)) return undefined;
    const completion = await this.#readLog(() => this.#files.find(file));
    return completion?.workspace === workspace ? completion : undefined;
  }

  async #readLog<Value>(read: () => Promise<Value>): Promise<Value> {
    try {
      return await read();
    } catch (error) {
      if (error instanceof LogUnavailableError) throw logUnavailable(error);
      throw error;
    }
  }

  async #findJobWithResults(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<FoundJob | undefined> {
    const found = await this.#jobClient.get(workspace, job);
    const expiresAt = found?.job.expiresAt;
    const isExpired = expiresAt !== undefined &&
      expiresAt < this.#options.clock.wallNow();
    return isExpired ? undefined : found;
  }

  #notifyHomeOwner({ spec }: RangeState): void {
    this.#sendRangeChanged(spec.workspace, spec.job);
  }

  #sendRangeChanged(workspace: WorkspaceId, job: JobId): void {
    const { control, partitionOwner, network, instance } = this.#options;
    const { platform } = control.state.configuration;
    if (!platform) return;
    const partition = partitionOf(workspace, platform.partitions);
    const home = partitionOwner(control.state, partition);
    if (home === instance) this.#homeOwner.handleRangeChanged(workspace, job);
    else if (home) network.send(home, rangeChangedMessage, { workspace, job });
  }
}
