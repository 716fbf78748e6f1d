/** The interface through which the HTTP API creates and reads files and batch jobs. */

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
  /** Items that ended with an error, including those whose call may have run. */
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
  /** Chosen by the caller; a request that repeats the key gets the same job. */
  idempotencyKey?: string | undefined;
  inputFile: FileId;
  endpoint: string;
  /** Wall-clock milliseconds. */
  deadline: number;
  /** Hash of the parts of the request that must match when its idempotency key is reused. */
  fingerprint: string;
  metadata?: Record<string, string>;
}

/** All methods throw a CallerError if the request is invalid or cannot be served. */
export interface BatchService {
  createFile(options: CreateFileOptions): Promise<FileDescription>;
  getFile(
    workspace: WorkspaceId,
    file: FileId,
  ): Promise<FileDescription | undefined>;
  /** Streams the content of an input, output or error file. */
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
