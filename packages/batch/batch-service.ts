/** The interface of files and batch jobs, as the caller-facing API uses it. */

import type { FileId, JobId, WorkspaceId } from "../common/ids.ts";

export interface FileDescription {
  readonly id: FileId;
  readonly workspace: WorkspaceId;
  readonly filename: string;
  readonly purpose: "batch" | "batch_output";
  readonly bytes: number;
  readonly lines: number;
  /** Wall-clock milliseconds. */
  readonly createdAt: number;
  readonly expiresAt: number;
}

export type JobStatus =
  | "in_progress"
  | "cancelling"
  | "cancelled"
  | "completed";

export interface JobCounts {
  readonly total: number;
  readonly completed: number;
  /** Items that ended with an error, including those that may have run. */
  readonly failed: number;
}

export interface JobDescription {
  readonly id: JobId;
  readonly workspace: WorkspaceId;
  readonly inputFile: FileId;
  readonly outputFile: FileId;
  readonly errorFile: FileId;
  readonly endpoint: string;
  readonly status: JobStatus;
  readonly counts: JobCounts;
  readonly metadata: Readonly<Record<string, string>>;
  /** Wall-clock milliseconds. */
  readonly createdAt: number;
  readonly deadline: number;
  readonly endedAt: number | undefined;
  readonly expiresAt: number | undefined;
}

export interface CreateFileOptions {
  workspace: WorkspaceId;
  filename: string;
  content: AsyncIterable<Uint8Array>;
  signal?: AbortSignal;
}

export interface CreateJobOptions {
  workspace: WorkspaceId;
  /** Given by the caller; a resend with the same key finds the same job. */
  idempotencyKey?: string | undefined;
  inputFile: FileId;
  endpoint: string;
  /** Wall-clock milliseconds. */
  deadline: number;
  /** The part of the request that must be the same in a resend, as a hash. */
  fingerprint: string;
  metadata?: Record<string, string>;
}

/** All functions throw a CallerError for a request that cannot be met. */
export interface BatchService {
  createFile(options: CreateFileOptions): Promise<FileDescription>;
  getFile(
    workspace: WorkspaceId,
    file: FileId,
  ): Promise<FileDescription | undefined>;
  /** Content of an input, output or error file. */
  readFile(
    workspace: WorkspaceId,
    file: FileId,
  ): Promise<AsyncIterable<Uint8Array>>;
  createJob(options: CreateJobOptions): Promise<JobDescription>;
  getJob(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<JobDescription | undefined>;
  listJobs(
    workspace: WorkspaceId,
    options: { after?: JobId | undefined; limit: number },
  ): Promise<readonly JobDescription[]>;
  cancelJob(
    workspace: WorkspaceId,
    job: JobId,
  ): Promise<JobDescription | undefined>;
}
