/** Batch jobs in the shape that callers see. */

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

/** The largest unit that divides the window. */
export function formatCompletionWindow(milliseconds: number): string {
  const seconds = Math.max(0, Math.round(milliseconds / 1_000));
  if (seconds > 0 && seconds % 3600 === 0) return `${seconds / 3600}h`;
  if (seconds > 0 && seconds % 60 === 0) return `${seconds / 60}m`;
  return `${seconds}s`;
}

export function unknownBatch(): CallerError {
  return new CallerError({
    status: 404,
    code: "unknown_batch",
    message: "the workspace has no batch with this id",
  });
}
