/** Descriptions of jobs for callers, computed from the state of their home partition. */

import { brandAs, type FileId, type JobId } from "../../common/ids.ts";
import type { PlatformSection } from "../../control/document.ts";
import type { JobDescription, JobStatus } from "../batch-service.ts";
import {
  lifetimeRetentionShare,
  resultLifetimeMilliseconds,
} from "../constants.ts";
import type { JobState } from "../partition/state.ts";
import type { JobResults } from "./job-messages.ts";

const outputPrefix = "file-output-";
const errorPrefix = "file-error-";

export type ResultKind = "output" | "error";

export function outputFileOf(job: JobId): FileId {
  return brandAs<FileId>(`${outputPrefix}${job}`);
}

export function errorFileOf(job: JobId): FileId {
  return brandAs<FileId>(`${errorPrefix}${job}`);
}

/** The job and kind of a result file; undefined for an input file. */
export function parseResultFile(
  file: FileId,
): { job: JobId; kind: ResultKind } | undefined {
  for (
    const [prefix, kind] of [
      [outputPrefix, "output"],
      [errorPrefix, "error"],
    ] as const
  ) {
    if (file.startsWith(prefix)) {
      return { job: brandAs<JobId>(file.slice(prefix.length)), kind };
    }
  }
  return undefined;
}

/** Milliseconds for which results stay readable after the end of their job. */
export function resultLifetime(platform: PlatformSection): number {
  return Math.min(
    resultLifetimeMilliseconds,
    platform.log.retentionSeconds * 1_000 * lifetimeRetentionShare,
  );
}

export interface RangeProgress {
  readonly completed: number;
  readonly failed: number;
}

/**
 * Describes a job for callers. `progress` maps ranges that have not finished to the counts of
 * their last report.
 */
export function describeJob(
  job: JobState,
  progress: ReadonlyMap<number, RangeProgress>,
  platform: PlatformSection,
): JobDescription {
  const { spec, endedAt } = job;
  let completed = 0;
  let failed = 0;
  for (const finished of job.finished.values()) {
    completed += finished.completed;
    failed += finished.failed;
  }
  for (const [range, reported] of progress) {
    if (job.finished.has(range)) continue;
    completed += reported.completed;
    failed += reported.failed;
  }
  return {
    id: spec.id,
    workspace: spec.workspace,
    inputFile: spec.inputFile,
    outputFile: outputFileOf(spec.id),
    errorFile: errorFileOf(spec.id),
    endpoint: spec.endpoint,
    status: jobStatusOf(job),
    counts: { total: spec.lines, completed, failed },
    metadata: spec.metadata,
    createdAt: spec.createdAt,
    deadline: spec.deadline,
    endedAt,
    expiresAt: endedAt === undefined
      ? undefined
      : endedAt + resultLifetime(platform),
  };
}

function jobStatusOf({ endedAt, cancelledAt }: JobState): JobStatus {
  if (endedAt === undefined) {
    return cancelledAt === undefined ? "in_progress" : "cancelling";
  }
  return cancelledAt === undefined ? "completed" : "cancelled";
}

export function describeResults(job: JobState): JobResults {
  let outputBytes = 0;
  let errorBytes = 0;
  for (const finished of job.finished.values()) {
    outputBytes += finished.outputBytes;
    errorBytes += finished.errorBytes;
  }
  return { outputBytes, errorBytes, rangeItems: job.spec.rangeItems };
}
