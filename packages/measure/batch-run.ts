/**
 * Generates the batch load of a scenario: one job for each of the workspaces with the largest
 * weights, large enough to keep a backlog for the whole run, and one urgent job with a near
 * deadline.
 */

import type { Dispatcher } from "undici";
import { CallerClient } from "../client/caller-client.ts";
import { RosemaryrudderError } from "../common/errors.ts";
import type { PreparedWorkspace } from "../demo/example-documents.ts";

export interface BatchRunOptions {
  workspaces: readonly PreparedWorkspace[];
  model: string;
  targets: () => readonly string[];
  dispatcher: Dispatcher;
  itemsPerJob: number;
  /** Items of the urgent job, and its completion window in seconds; 0 items submit none. */
  urgentItems: number;
  urgentWindowSeconds: number;
}

export interface BatchJob {
  readonly workspace: string;
  readonly weight: number;
  readonly id: string;
  readonly isUrgent: boolean;
}

export interface JobProgress {
  readonly job: BatchJob;
  readonly finished: number;
  readonly total: number;
}

/** Workspaces with a backlog, enough to make the share of the worst-served one meaningful. */
const backlogWorkspaceCount = 4;
const maximumItemTokens = 10;
const maximumAttempts = 40;

export class BatchRun {
  readonly #options: BatchRunOptions;
  #nextTarget = 0;

  constructor(options: BatchRunOptions) {
    this.#options = options;
  }

  /** Submits all jobs. The urgent one belongs to the workspace with the largest weight. */
  async submit(): Promise<BatchJob[]> {
    const { workspaces, itemsPerJob, urgentItems, urgentWindowSeconds } =
      this.#options;
    const backlogWorkspaces = workspaces.toSorted((left, right) =>
      (right.batchWeight ?? 1) - (left.batchWeight ?? 1)
    ).slice(0, backlogWorkspaceCount);
    const jobs = await Promise.all(
      backlogWorkspaces.map((workspace) =>
        this.#submitJob(workspace, itemsPerJob, "24h", false)
      ),
    );
    const [urgentWorkspace] = backlogWorkspaces;
    if (!urgentWorkspace || urgentItems === 0) return jobs;
    const urgent = await this.#submitJob(
      urgentWorkspace,
      urgentItems,
      `${urgentWindowSeconds}s`,
      true,
    );
    return [...jobs, urgent];
  }

  /** Reads the item counts of all jobs; retries at other instances when one does not answer. */
  progress(jobs: readonly BatchJob[]): Promise<JobProgress[]> {
    return Promise.all(jobs.map(async (job) => {
      for (let attempt = 0; attempt < maximumAttempts; attempt++) {
        const answer = await this.#client(job.workspace).getBatch(job.id)
          .catch(() => undefined);
        if (answer?.status === 200) {
          const { total, completed, failed } = answer.body.request_counts;
          return { job, total, finished: completed + failed };
        }
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
      throw new RosemaryrudderError("batch_unreadable", `job ${job.id}`);
    }));
  }

  async cancel(jobs: readonly BatchJob[]): Promise<void> {
    await Promise.all(jobs.map(async ({ workspace, id }) => {
      await this.#client(workspace).json("POST", `/v1/batches/${id}/cancel`)
        .catch(() => {});
    }));
  }

  async #submitJob(
    workspace: PreparedWorkspace,
    items: number,
    completionWindow: string,
    isUrgent: boolean,
  ): Promise<BatchJob> {
    const file = await this.#retryWhileRateLimited(
      workspace.id,
      (client) =>
        client.uploadFile(this.#createInput(workspace.id, items, isUrgent)),
    );
    const batch = await this.#retryWhileRateLimited(
      workspace.id,
      (client) => client.createBatch(file.body.id, { completionWindow }),
    );
    return {
      workspace: workspace.id,
      weight: workspace.batchWeight ?? 1,
      id: batch.body.id,
      isUrgent,
    };
  }

  /** Retries a call while it is rate limited, as it often is by the naive limiter. */
  async #retryWhileRateLimited<
    Answer extends { status: number; body: unknown },
  >(
    workspace: string,
    call: (client: CallerClient) => Promise<Answer>,
  ): Promise<Answer> {
    for (let attempt = 0;; attempt++) {
      const answer = await call(this.#client(workspace));
      if (answer.status === 200) return answer;
      if (answer.status !== 429 || attempt >= maximumAttempts) {
        throw new RosemaryrudderError(
          "batch_refused",
          JSON.stringify(answer.body),
        );
      }
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
  }

  #createInput(workspace: string, items: number, isUrgent: boolean): string {
    const label = `${workspace}${isUrgent ? " urgent" : ""}`;
    return Array.from({ length: items }, (_, index) =>
      JSON.stringify({
        custom_id: `item-${index}`,
        method: "POST",
        url: "/v1/chat/completions",
        body: {
          model: this.#options.model,
          messages: [{ role: "user", content: `${label} lot ${index}` }],
          max_tokens: maximumItemTokens,
        },
      })).join("\n");
  }

  #client(workspace: string): CallerClient {
    const { workspaces, targets, dispatcher } = this.#options;
    const urls = targets();
    const baseUrl = urls[this.#nextTarget++ % urls.length] ?? "";
    const key = workspaces.find(({ id }) => id === workspace)?.key ?? "";
    return new CallerClient({ baseUrl, key, dispatcher });
  }
}
