/** Computes job ids, range sizes and file descriptions, and creates errors for callers. */

import { randomUUID } from "node:crypto";
import { CallerError } from "../common/errors.ts";
import { sha256Hex } from "../common/hashing.ts";
import { brandAs, type JobId } from "../common/ids.ts";
import type { PlatformSection } from "../control/document.ts";
import type { CreateJobOptions, FileDescription } from "./batch-service.ts";
import {
  lifetimeRetentionShare,
  maximumRangeItems,
  minimumRangeItems,
  rangesPerPartition,
} from "./constants.ts";
import type { FileCompletion } from "./files/file-records.ts";
import type { FoundJob } from "./jobs/job-client.ts";
import { type ResultKind, resultLifetime } from "./jobs/job-description.ts";

/** Derives the id from the idempotency key, if any, so that all instances get the same id. */
export function jobIdOf(
  { workspace, idempotencyKey }: CreateJobOptions,
): JobId {
  const digits = idempotencyKey === undefined
    ? randomUUID().replaceAll("-", "")
    : sha256Hex(`${workspace}\n${idempotencyKey}`).slice(0, 32);
  return brandAs<JobId>(`batch_${digits}`);
}

/** Items per range of a job with the given number of lines. */
export function rangeItemsFor(lines: number, partitions: number): number {
  const evenShare = Math.ceil(lines / (partitions * rangesPerPartition));
  return Math.min(maximumRangeItems, Math.max(minimumRangeItems, evenShare));
}

export function describeFile(
  completion: FileCompletion,
  platform: PlatformSection,
): FileDescription {
  const lifetime = platform.log.retentionSeconds * 1_000 *
    lifetimeRetentionShare;
  return {
    id: completion.file,
    workspace: completion.workspace,
    filename: completion.filename,
    purpose: "batch",
    bytes: completion.bytes,
    lines: completion.lines,
    createdAt: completion.createdAt,
    expiresAt: completion.oldestChunkAt + lifetime,
  };
}

/**
 * Describes an output or error file. Its size leaves out the error lines of items without a result
 * in a cancelled job, which are built when the file is read.
 */
export function describeResult(
  { job, results }: FoundJob,
  kind: ResultKind,
  platform: PlatformSection,
): FileDescription {
  const isOutput = kind === "output";
  return {
    id: isOutput ? job.outputFile : job.errorFile,
    workspace: job.workspace,
    filename: `${job.id}-${kind}.jsonl`,
    purpose: "batch_output",
    bytes: isOutput ? results.outputBytes : results.errorBytes,
    lines: isOutput ? job.counts.completed : job.counts.failed,
    createdAt: job.createdAt,
    expiresAt: job.expiresAt ?? job.deadline + resultLifetime(platform),
  };
}

export function fileNotFound(): CallerError {
  return new CallerError({
    status: 404,
    code: "unknown_file",
    message: "there is no such file in this workspace",
  });
}

export function logUnavailable(cause: unknown): CallerError {
  return new CallerError({
    status: 503,
    code: "log_unavailable",
    message: "the log does not answer",
    retryAfterSeconds: 5,
    cause,
  });
}
