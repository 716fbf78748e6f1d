/** Identities, sizes and descriptions of files and jobs, and the errors that callers get. */

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

/** A resend with the same key gets the same id on every instance. */
export function jobIdOf(
  { workspace, idempotencyKey }: CreateJobOptions,
): JobId {
  const digits = idempotencyKey === undefined
    ? randomUUID().replaceAll("-", "")
    : sha256Hex(`${workspace}\n${idempotencyKey}`).slice(0, 32);
  return brandAs<JobId>(`batch_${digits}`);
}

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

/** The bytes of an error file do not count lines of items that a cancel has ended. */
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
