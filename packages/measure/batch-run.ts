/**
 * Batch load of a scenario: one job for each of the largest workspaces, long enough to keep a
 * backlog for the whole run, and one job with a near deadline.
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
  /** Items and completion window of the job with the near deadline. */
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

/** Workspaces with a backlog; enough for the worst-served one to mean something. */
const backlogWorkspaces = 4;
const itemTokens = 10;
const pollAttempts = 40;

export class BatchRun {
  readonly #options: BatchRunOptions;
  #turn = 0;

  constructor(options: BatchRunOptions) {
    this.#options = options;
  }

  /** Submits all jobs. The urgent one belongs to the workspace with the largest weight. */
  async submit(): Promise<BatchJob[]> {
    const { workspaces, itemsPerJob, urgentItems, urgentWindowSeconds } =
      this.#options;
    const chosen = workspaces.toSorted((left, right) =>
      (right.batchWeight ?? 1) - (left.batchWeight ?? 1)
    ).slice(0, backlogWorkspaces);
    const jobs = await Promise.all(
      chosen.map((workspace) =>
        this.#submitJob(workspace, itemsPerJob, "24h", false)
      ),
    );
    const [first] = chosen;
    if (!first || urgentItems === 0) return jobs;
    const urgent = await this.#submitJob(
      first,
      urgentItems,
      `${urgentWindowSeconds}s`,
      true,
    );
    return [...jobs, urgent];
  }

  /** Counts of all jobs; polls other instances when one does not answer. */
  progress(jobs: readonly BatchJob[]): Promise<JobProgress[]> {
    return Promise.all(jobs.map(async (job) => {
      for (let attempt = 0; attempt < pollAttempts; attempt++) {
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
    const file = await this.#insist(
      workspace.id,
      (client) => client.uploadFile(this.#input(workspace.id, items, isUrgent)),
    );
    const batch = await this.#insist(
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

  /** Repeats a call that is refused for its rate, which the naive limiter often does. */
  async #insist<Answer extends { status: number; body: unknown }>(
    workspace: string,
    call: (client: CallerClient) => Promise<Answer>,
  ): Promise<Answer> {
    for (let attempt = 0;; attempt++) {
      const answer = await call(this.#client(workspace));
      if (answer.status === 200) return answer;
      if (answer.status !== 429 || attempt >= pollAttempts) {
        throw new RosemaryrudderError(
          "batch_refused",
          JSON.stringify(answer.body),
        );
      }
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
  }

  #input(workspace: string, items: number, isUrgent: boolean): string {
    const label = `${workspace}${isUrgent ? " urgent" : ""}`;
    return Array.from({ length: items }, (_, index) =>
      JSON.stringify({
        custom_id: `item-${index}`,
        method: "POST",
        url: "/v1/chat/completions",
        body: {
          model: this.#options.model,
          messages: [{ role: "user", content: `${label} lot ${index}` }],
          max_tokens: itemTokens,
        },
      })).join("\n");
  }

  #client(workspace: string): CallerClient {
    const { workspaces, targets, dispatcher } = this.#options;
    const urls = targets();
    const baseUrl = urls[this.#turn++ % urls.length] ?? "";
    const key = workspaces.find(({ id }) => id === workspace)?.key ?? "";
    return new CallerClient({ baseUrl, key, dispatcher });
  }
}
