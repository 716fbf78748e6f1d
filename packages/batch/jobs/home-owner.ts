/**
 * Handles the peer messages that create, read, list and cancel jobs. Each workspace has a home
 * partition, chosen by the hash of its id, and the owner of that partition is the home owner of
 * the workspace's jobs. Responses are built only from entries read back from the partition's
 * stream.
 */

import type { Clock } from "../../common/clock.ts";
import type { JobId, WorkspaceId } from "../../common/ids.ts";
import { RosemaryrudderError } from "../../common/errors.ts";
import { isJobCancelled } from "../../control/configuration.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { PeerNetwork } from "../../protocol/peer-network.ts";
import type { JobDescription } from "../batch-service.ts";
import type { JobSpec } from "../partition/entries.ts";
import type { PartitionOwner } from "../partition/owner.ts";
import { partitionOf, type PartitionSet } from "../partition/partition-set.ts";
import type { JobState } from "../partition/state.ts";
import { describeJob, describeResults } from "./job-description.ts";
import {
  cancelJobMessage,
  getJobMessage,
  type JobAnswer,
  type JobListAnswer,
  listJobsMessage,
  type NotOwner,
  rangeChangedMessage,
  type Refused,
  submitJobMessage,
} from "./job-messages.ts";
import type { RangeSync } from "./range-sync.ts";

export interface HomeOwnerOptions {
  control: ControlView;
  partitions: PartitionSet;
  network: PeerNetwork;
  sync: RangeSync;
  clock: Clock;
}

export class HomeOwner {
  readonly #options: HomeOwnerOptions;
  /** Jobs listed as cancelled by operators whose job-cancelled entry is being appended. */
  readonly #cancelling = new Set<JobId>();

  constructor(options: HomeOwnerOptions) {
    this.#options = options;
  }

  start(): void {
    const { network } = this.#options;
    network.handle(submitJobMessage, ({ spec }) => this.#submit(spec));
    network.handle(
      getJobMessage,
      ({ workspace, job }) =>
        this.#withOwner(
          workspace,
          (owner) => this.#answerAboutJob(owner, workspace, job),
        ),
    );
    network.handle(
      cancelJobMessage,
      ({ workspace, job }) => this.#cancel(workspace, job),
    );
    network.handle(listJobsMessage, (request) => this.#list(request));
    network.handle(rangeChangedMessage, ({ workspace, job }) => {
      this.handleRangeChanged(workspace, job);
      return null;
    });
  }

  /** Asks the range owners of a job for progress after one of its ranges has changed. */
  handleRangeChanged(workspace: WorkspaceId, job: JobId): void {
    const owner = this.#ownerOf(workspace);
    if (owner) this.#options.sync.syncNow(owner, job);
  }

  /** Cancels the jobs that operators list as cancelled in the configuration. */
  cancelListedJobs(): void {
    const { configuration } = this.#options.control.state;
    for (const job of configuration.cancelledJobs) {
      for (const owner of this.#options.partitions.activeOwners()) {
        const state = owner.state.jobs.get(job);
        const isCancelling = this.#cancelling.has(job);
        if (!state || !isCancellable(state) || isCancelling) continue;
        if (!isJobCancelled(configuration, state.spec.workspace, job)) continue;
        this.#cancelling.add(job);
        void this.#recordCancel(owner, job).finally(() =>
          this.#cancelling.delete(job)
        );
      }
    }
  }

  #ownerOf(workspace: WorkspaceId): PartitionOwner | undefined {
    const { platform } = this.#options.control.state.configuration;
    if (!platform) return undefined;
    return this.#options.partitions.activeOwner(
      partitionOf(workspace, platform.partitions),
    );
  }

  async #submit(spec: JobSpec): Promise<JobAnswer> {
    return await this.#withOwner(spec.workspace, async (owner) => {
      if (!owner.state.jobs.has(spec.id)) {
        if (owner.isLogStalled) return logUnavailable();
        await owner.append({ kind: "job-accepted", spec });
      }
      const job = owner.state.jobs.get(spec.id);
      if (!job) return this.#notOwner(spec.workspace);
      if (job.spec.fingerprint !== spec.fingerprint) {
        return {
          kind: "refused",
          status: 409,
          code: "idempotency_key_reused",
          message: "the idempotency key was used with another request",
          isNotRun: true,
        };
      }
      this.#options.sync.syncNow(owner, spec.id);
      return this.#answerAboutJob(owner, spec.workspace, spec.id);
    });
  }

  async #cancel(workspace: WorkspaceId, id: JobId): Promise<JobAnswer> {
    return await this.#withOwner(workspace, async (owner) => {
      const job = owner.state.jobs.get(id);
      if (!job || job.spec.workspace !== workspace) {
        return { kind: "unknown-job" };
      }
      if (isCancellable(job)) {
        if (owner.isLogStalled) return logUnavailable();
        await this.#recordCancel(owner, id);
        if (isCancellable(job)) return this.#notOwner(workspace);
      }
      return this.#answerAboutJob(owner, workspace, id);
    });
  }

  /** Leaves the job unchanged if the owner's epoch ends before the entry is recorded. */
  async #recordCancel(owner: PartitionOwner, job: JobId): Promise<void> {
    try {
      const at = this.#options.clock.wallNow();
      await owner.append({ kind: "job-cancelled", job, at });
      this.#options.sync.syncNow(owner, job);
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
    }
  }

  async #list(
    { workspace, after, limit }: {
      workspace: WorkspaceId;
      after: JobId | undefined;
      limit: number;
    },
  ): Promise<JobListAnswer> {
    const answer = await this.#withOwner(workspace, (owner) => {
      const jobs = [...owner.state.jobs.values()]
        .filter(({ spec }) => spec.workspace === workspace)
        .sort(newestFirst);
      const afterIndex = jobs.findIndex(({ spec }) => spec.id === after);
      if (after !== undefined && afterIndex === -1) return unknownAfterJob();
      const page = jobs.slice(afterIndex + 1, afterIndex + 1 + limit);
      return {
        kind: "jobs" as const,
        jobs: page.map((job) => this.#describe(owner, job)),
      };
    });
    return answer;
  }

  #answerAboutJob(
    owner: PartitionOwner,
    workspace: WorkspaceId,
    id: JobId,
  ): JobAnswer {
    const job = owner.state.jobs.get(id);
    if (!job || job.spec.workspace !== workspace) {
      return { kind: "unknown-job" };
    }
    return {
      kind: "job",
      job: this.#describe(owner, job),
      results: describeResults(job),
    };
  }

  #describe(owner: PartitionOwner, job: JobState): JobDescription {
    const { platform } = this.#options.control.state.configuration;
    if (!platform) {
      throw new RosemaryrudderError(
        "not_configured",
        "no configuration has been published yet",
      );
    }
    const progress = this.#options.sync.progressOf(owner, job.spec.id);
    return describeJob(job, progress, platform);
  }

  /**
   * Runs an action with the owner of the workspace's home partition. Answers `not-owner` if this
   * instance is not that owner when the action starts or no longer is when it ends.
   */
  async #withOwner<Answer>(
    workspace: WorkspaceId,
    action: (owner: PartitionOwner) => Answer | Promise<Answer>,
  ): Promise<Answer | NotOwner> {
    const owner = this.#ownerOf(workspace);
    // An instance whose process was paused may not yet have read the control record that
    // replaces its epoch.
    if (!owner || !this.#options.control.isFresh()) {
      return this.#notOwner(workspace);
    }
    try {
      const answer = await action(owner);
      return owner.isActive ? answer : this.#notOwner(workspace);
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
      return this.#notOwner(workspace);
    }
  }

  #notOwner(workspace: WorkspaceId): NotOwner {
    const { control, partitions } = this.#options;
    const { platform } = control.state.configuration;
    const holder = platform &&
      partitions.openEpochOwner(partitionOf(workspace, platform.partitions));
    return { kind: "not-owner", holder };
  }
}

function isCancellable(job: JobState): boolean {
  return job.endedAt === undefined && job.cancelledAt === undefined;
}

function newestFirst({ spec: left }: JobState, { spec: right }: JobState) {
  return right.createdAt - left.createdAt || (left.id < right.id ? -1 : 1);
}

function unknownAfterJob(): Refused {
  return {
    kind: "refused",
    status: 400,
    code: "job_not_found",
    message: "the job named by 'after' does not exist",
    isNotRun: true,
  };
}

function logUnavailable(): Refused {
  return {
    kind: "refused",
    status: 503,
    code: "log_unavailable",
    message: "the log does not answer",
    isNotRun: true,
  };
}
