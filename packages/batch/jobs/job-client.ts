/**
 * Sends job requests from the instance that received a caller's request to the home owner of the
 * workspace. While ownership moves, the request is repeated unchanged, with the same job id, so
 * that it takes effect at most once. Refusals and timeouts become errors for the caller.
 */

import type { Clock } from "../../common/clock.ts";
import { CallerError, RosemaryrudderError } from "../../common/errors.ts";
import type {
  InstanceId,
  JobId,
  PartitionNumber,
  WorkspaceId,
} from "../../common/ids.ts";
import type {
  ControlView,
  PartitionOwnerLookup,
} from "../../control/control-state.ts";
import type { PeerMessage } from "../../protocol/peer-message.ts";
import type { PeerNetwork } from "../../protocol/peer-network.ts";
import type { JobDescription } from "../batch-service.ts";
import {
  ownerRequestMilliseconds,
  ownerRetryDelayMilliseconds,
  ownerRetryLimitMilliseconds,
} from "../constants.ts";
import type { JobSpec } from "../partition/entries.ts";
import { partitionOf } from "../partition/partition-set.ts";
import { delay } from "../timing.ts";
import {
  cancelJobMessage,
  getJobMessage,
  type JobAnswer,
  type JobResults,
  listJobsMessage,
  type NotOwner,
  submitJobMessage,
} from "./job-messages.ts";

export interface JobClientOptions {
  control: ControlView;
  partitionOwner: PartitionOwnerLookup;
  network: PeerNetwork;
  clock: Clock;
}

export interface FoundJob {
  readonly job: JobDescription;
  readonly results: JobResults;
}

type AnswerWithKind = { readonly kind: string };

export class JobClient {
  readonly #options: JobClientOptions;

  constructor(options: JobClientOptions) {
    this.#options = options;
  }

  async submit(spec: JobSpec): Promise<JobDescription> {
    const answer = await this.requestFromHomeOwner(
      spec.workspace,
      submitJobMessage,
      {
        spec,
      },
      { changesState: true },
    );
    const found = this.#foundJob(answer);
    if (found) return found.job;
    throw unavailable("unknown");
  }

  async get(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<FoundJob | undefined> {
    const body = { workspace, job };
    return this.#foundJob(
      await this.requestFromHomeOwner(workspace, getJobMessage, body),
    );
  }

  async cancel(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<JobDescription | undefined> {
    const answer = await this.requestFromHomeOwner(
      workspace,
      cancelJobMessage,
      {
        workspace,
        job,
      },
      { changesState: true },
    );
    return this.#foundJob(answer)?.job;
  }

  async list(
    workspace: WorkspaceId,
    { after, limit }: { after?: JobId | undefined; limit: number },
  ): Promise<readonly JobDescription[]> {
    const answer = await this.requestFromHomeOwner(workspace, listJobsMessage, {
      workspace,
      after,
      limit,
    });
    return answer.kind === "jobs" ? answer.jobs : [];
  }

  /** Sends a request to the owner of the workspace's home partition, as `requestFromOwner` does. */
  async requestFromHomeOwner<Request, Answer extends AnswerWithKind>(
    workspace: WorkspaceId,
    message: PeerMessage<Request, Answer>,
    body: Request,
    options: { changesState?: boolean } = {},
  ): Promise<Exclude<Answer, { kind: "not-owner" | "refused" }>> {
    const { platform } = this.#options.control.state.configuration;
    if (!platform) throw notConfigured();
    const partition = partitionOf(workspace, platform.partitions);
    return await this.requestFromOwner(partition, message, body, options);
  }

  /**
   * Sends a request to the current owner of a partition, and repeats it until the owner answers
   * or `ownerRetryLimitMilliseconds` have passed. After the first attempt at a request that
   * changes state, a 503 error states that the request may have run.
   */
  async requestFromOwner<Request, Answer extends AnswerWithKind>(
    partition: PartitionNumber,
    message: PeerMessage<Request, Answer>,
    body: Request,
    { changesState = false }: { changesState?: boolean } = {},
  ): Promise<Exclude<Answer, { kind: "not-owner" | "refused" }>> {
    const { clock, control, partitionOwner, network } = this.#options;
    const giveUpAt = clock.monotonicNow() + ownerRetryLimitMilliseconds;
    let mayHaveRun = false;
    let holder: InstanceId | undefined;
    while (clock.monotonicNow() < giveUpAt) {
      const owner = holder ?? partitionOwner(control.state, partition);
      holder = undefined;
      if (owner) {
        try {
          const answer = await network.request(owner, message, body, {
            deadlineMilliseconds: Math.min(
              ownerRequestMilliseconds,
              giveUpAt - clock.monotonicNow(),
            ),
          });
          throwRefusal(answer, mayHaveRun);
          if (answer.kind !== "not-owner") {
            return answer as Exclude<
              Answer,
              { kind: "not-owner" | "refused" }
            >;
          }
          holder = (answer as AnswerWithKind as NotOwner).holder;
        } catch (error) {
          if (error instanceof CallerError) throw error;
          if (!(error instanceof RosemaryrudderError)) throw error;
        }
        mayHaveRun = changesState;
      }
      await delay(ownerRetryDelayMilliseconds);
    }
    throw unavailable(mayHaveRun ? "unknown" : "not_run");
  }

  #foundJob(
    answer: Extract<JobAnswer, { kind: "job" | "unknown-job" }>,
  ): FoundJob | undefined {
    return answer.kind === "job" ? answer : undefined;
  }
}

function throwRefusal(answer: AnswerWithKind, mayHaveRun: boolean): void {
  if (answer.kind !== "refused") return;
  const refused = answer as Extract<JobAnswer, { kind: "refused" }>;
  const isNotRun = refused.isNotRun && !(mayHaveRun && refused.status === 503);
  throw new CallerError({
    status: refused.status,
    code: refused.code,
    message: refused.message,
    verdict: isNotRun ? "not_run" : "unknown",
    ...(refused.status === 503 ? { retryAfterSeconds: 5 } : {}),
  });
}

function unavailable(verdict: "not_run" | "unknown"): CallerError {
  return new CallerError({
    status: 503,
    code: "job_owner_unavailable",
    message: "the owner of the workspace's jobs does not answer",
    verdict,
    retryAfterSeconds: 5,
  });
}

export function notConfigured(): CallerError {
  return new CallerError({
    status: 503,
    code: "not_configured",
    message: "no configuration has been published yet",
    retryAfterSeconds: 5,
  });
}
