/** Peer messages about jobs and their ranges: their names and the schemas of their bodies. */

import { z } from "zod";
import type {
  FileId,
  InstanceId,
  JobId,
  WorkspaceId,
} from "../../common/ids.ts";
import { brandAs } from "../../common/ids.ts";
import { definePeerMessage } from "../../protocol/peer-message.ts";
import { jobSpecSchema } from "../partition/entries.ts";

const count = z.number().int().nonnegative();
const jobId = z.string().min(1).transform((value) => brandAs<JobId>(value));
const fileId = z.string().min(1).transform((value) => brandAs<FileId>(value));
const workspaceId = z.string().min(1).transform((value) =>
  brandAs<WorkspaceId>(value)
);

const jobDescriptionSchema = z.object({
  id: jobId,
  workspace: workspaceId,
  inputFile: fileId,
  outputFile: fileId,
  errorFile: fileId,
  endpoint: z.string(),
  status: z.enum(["in_progress", "cancelling", "cancelled", "completed"]),
  counts: z.object({ total: count, completed: count, failed: count }),
  metadata: z.record(z.string(), z.string()),
  createdAt: z.number(),
  deadline: z.number(),
  endedAt: z.number().nullish().transform((value) => value ?? undefined),
  expiresAt: z.number().nullish().transform((value) => value ?? undefined),
});

/** Sizes of a job's result files and its items per range; not part of the API description. */
const jobResultsSchema = z.object({
  outputBytes: count,
  errorBytes: count,
  rangeItems: z.number().int().positive(),
});
export type JobResults = z.output<typeof jobResultsSchema>;

/**
 * Sent by an instance that does not own the partition. Responses carry a `kind` instead of an
 * error, so that the sender can tell a refused request from one sent to the wrong instance.
 */
const notOwnerSchema = z.object({
  kind: z.literal("not-owner"),
  /** The instance whose epoch is still open, if the responding instance is to succeed it. */
  holder: z.string().nullish().transform((value) =>
    value === null || value === undefined
      ? undefined
      : brandAs<InstanceId>(value)
  ),
});
export type NotOwner = z.output<typeof notOwnerSchema>;
const refusedSchema = z.object({
  kind: z.literal("refused"),
  status: z.number().int(),
  code: z.string(),
  message: z.string(),
  /** False if the request may still take effect. */
  isNotRun: z.boolean(),
});
export type Refused = z.output<typeof refusedSchema>;
const jobAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("job"),
    job: jobDescriptionSchema,
    results: jobResultsSchema,
  }),
  z.object({ kind: z.literal("unknown-job") }),
  notOwnerSchema,
  refusedSchema,
]);
export type JobAnswer = z.output<typeof jobAnswerSchema>;

const jobListAnswerSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("jobs"), jobs: z.array(jobDescriptionSchema) }),
  notOwnerSchema,
  refusedSchema,
]);
export type JobListAnswer = z.output<typeof jobListAnswerSchema>;

const jobReferenceSchema = z.object({ workspace: workspaceId, job: jobId });

export const submitJobMessage = definePeerMessage(
  "batch/submit-job",
  z.object({ spec: jobSpecSchema }).parse,
  (body): JobAnswer => jobAnswerSchema.parse(body),
);
export const getJobMessage = definePeerMessage(
  "batch/get-job",
  jobReferenceSchema.parse,
  (body): JobAnswer => jobAnswerSchema.parse(body),
);
export const cancelJobMessage = definePeerMessage(
  "batch/cancel-job",
  jobReferenceSchema.parse,
  (body): JobAnswer => jobAnswerSchema.parse(body),
);
export const listJobsMessage = definePeerMessage(
  "batch/list-jobs",
  z.object({
    workspace: workspaceId,
    after: jobId.nullish().transform((value) => value ?? undefined),
    limit: z.number().int().positive(),
  }).parse,
  (body): JobListAnswer => jobListAnswerSchema.parse(body),
);

/**
 * Sent by the home owner to a range owner: assigns ranges, asks for their progress, and passes on
 * cancels and removals. The message is idempotent.
 */
const syncRangesSchema = z.object({
  partition: count,
  job: jobSpecSchema.pick({
    id: true,
    workspace: true,
    inputFile: true,
    deadline: true,
    lines: true,
    rangeItems: true,
  }),
  ranges: z.array(count),
  wanted: z.enum(["run", "cancel", "remove"]),
});
export type SyncRanges = z.output<typeof syncRangesSchema>;

const rangeReportSchema = z.object({
  range: count,
  /** False before the range is recorded and after it is removed. */
  isKnown: z.boolean(),
  isFinished: z.boolean(),
  isCancelled: z.boolean(),
  completed: count,
  failed: count,
  outputBytes: count,
  errorBytes: count,
});
export type RangeReport = z.output<typeof rangeReportSchema>;

const syncAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("reports"),
    reports: z.array(rangeReportSchema),
  }),
  notOwnerSchema,
]);
export type SyncAnswer = z.output<typeof syncAnswerSchema>;

export const syncRangesMessage = definePeerMessage(
  "batch/sync-ranges",
  syncRangesSchema.parse,
  (body): SyncAnswer => syncAnswerSchema.parse(body),
);

/**
 * Sent by a range owner so that the home owner asks for progress at once. If it is lost, the
 * periodic sync finds the change.
 */
export const rangeChangedMessage = definePeerMessage(
  "batch/range-changed",
  z.object({ workspace: workspaceId, job: jobId }).parse,
);

/** Offsets of the records that hold the results of a range. */
const rangeIndexAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("index"),
    records: z.array(z.object({
      offset: count,
      first: count,
      last: count,
      hasCopies: z.boolean(),
    })),
    isCancelled: z.boolean(),
    /** Lines of a cancelled range that have no outcome but may have run. */
    mayHaveRun: z.array(count),
  }),
  z.object({ kind: z.literal("unknown-range") }),
  notOwnerSchema,
]);
export type RangeIndexAnswer = z.output<typeof rangeIndexAnswerSchema>;
export type RangeIndex = Extract<RangeIndexAnswer, { kind: "index" }>;

export const rangeIndexMessage = definePeerMessage(
  "batch/range-index",
  z.object({ partition: count, job: jobId, range: count }).parse,
  (body): RangeIndexAnswer => rangeIndexAnswerSchema.parse(body),
);
