/** Converts batch jobs to the batch objects of the caller-facing API. */

import type { JobDescription } from "../../batch/batch-service.ts";
import { CallerError } from "../../common/errors.ts";

const toUnixSeconds = (milliseconds: number) =>
  Math.floor(milliseconds / 1_000);

export function toBatchObject(job: JobDescription) {
  const endedAt = job.endedAt === undefined ? null : toUnixSeconds(job.endedAt);
  return {
    id: job.id,
    object: "batch",
    endpoint: job.endpoint,
    errors: null,
    input_file_id: job.inputFile,
    completion_window: formatCompletionWindow(job.deadline - job.createdAt),
    deadline: toUnixSeconds(job.deadline),
    status: job.status,
    output_file_id: job.outputFile,
    error_file_id: job.errorFile,
    created_at: toUnixSeconds(job.createdAt),
    in_progress_at: toUnixSeconds(job.createdAt),
    expires_at: job.expiresAt === undefined
      ? null
      : toUnixSeconds(job.expiresAt),
    completed_at: job.status === "completed" ? endedAt : null,
    cancelled_at: job.status === "cancelled" ? endedAt : null,
    request_counts: {
      total: job.counts.total,
      completed: job.counts.completed,
      failed: job.counts.failed,
    },
    metadata: job.metadata,
  };
}

/** Formats a duration in the largest unit that divides it, such as `24h`. */
export function formatCompletionWindow(milliseconds: number): string {
  const total = Math.max(0, Math.round(milliseconds / 1_000));
  if (total > 0 && total % 3600 === 0) return `${total / 3600}h`;
  if (total > 0 && total % 60 === 0) return `${total / 60}m`;
  return `${total}s`;
}

export function unknownBatch(): CallerError {
  return new CallerError({
    status: 404,
    code: "unknown_batch",
    message: "the workspace has no batch with this id",
  });
}
