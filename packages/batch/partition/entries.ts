/**
 * Schemas of the entries in a partition stream. Every entry except `epoch-opened` and the parts of
 * a checkpoint carries the epoch in which it was written; see section 3.3 of the design page.
 */

import { z } from "zod";
import {
  brandAs,
  type FileId,
  type Incarnation,
  type InstanceId,
  type JobId,
  type Offset,
  type WorkspaceId,
} from "../../common/ids.ts";

const count = z.number().int().nonnegative();
const offset = count.transform((value) => brandAs<Offset>(value));
const jobId = z.string().min(1).transform((value) => brandAs<JobId>(value));
const fileId = z.string().min(1).transform((value) => brandAs<FileId>(value));
const workspaceId = z.string().min(1).transform((value) =>
  brandAs<WorkspaceId>(value)
);

/** A job as it was accepted; it never changes. Times are in wall-clock milliseconds. */
export const jobSpecSchema = z.object({
  id: jobId,
  workspace: workspaceId,
  idempotencyKey: z.string().optional(),
  fingerprint: z.string(),
  inputFile: fileId,
  endpoint: z.string(),
  deadline: z.number(),
  metadata: z.record(z.string(), z.string()),
  createdAt: z.number(),
  lines: count,
  rangeItems: z.number().int().positive(),
});
export type JobSpec = z.output<typeof jobSpecSchema>;

/** The part of a job that the owner of one of its ranges needs. */
export const rangeSpecSchema = z.object({
  job: jobId,
  range: count,
  firstLine: count,
  lines: z.number().int().positive(),
  workspace: workspaceId,
  inputFile: fileId,
  deadline: z.number(),
});
export type RangeSpec = z.output<typeof rangeSpecSchema>;

const epochField = { epoch: offset };
const rangeFields = { ...epochField, job: jobId, range: count };

export const entrySchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("epoch-opened"),
    owner: z.string().transform((value) => brandAs<InstanceId>(value)),
    incarnation: z.string().transform((value) => brandAs<Incarnation>(value)),
    controlOffset: z.number().int().transform((value) =>
      brandAs<Offset>(value)
    ),
  }),
  z.object({ kind: z.literal("epoch-released"), ...epochField }),
  z.object({
    kind: z.literal("job-accepted"),
    ...epochField,
    spec: jobSpecSchema,
  }),
  z.object({
    kind: z.literal("range-finished"),
    ...rangeFields,
    at: z.number(),
    completed: count,
    failed: count,
    outputBytes: count,
    errorBytes: count,
    isCancelled: z.boolean(),
  }),
  z.object({
    kind: z.literal("job-cancelled"),
    ...epochField,
    job: jobId,
    at: z.number(),
  }),
  z.object({ kind: z.literal("job-removed"), ...epochField, job: jobId }),
  z.object({
    kind: z.literal("range-accepted"),
    ...epochField,
    spec: rangeSpecSchema,
  }),
  z.object({
    kind: z.literal("item-started"),
    ...rangeFields,
    lines: z.array(count),
  }),
  /** Items that go back to the ready items without an attempt, such as after a revoked grant. */
  z.object({
    kind: z.literal("item-returned"),
    ...rangeFields,
    lines: z.array(count),
    /** Whether the call did not run; false if it was aborted and may have run. */
    isNotRun: z.boolean(),
  }),
  z.object({
    kind: z.literal("item-attempted"),
    ...rangeFields,
    line: count,
    code: z.string(),
    message: z.string(),
    /** Whether the call certainly did not run; its intent then no longer counts. */
    isNotRun: z.boolean(),
  }),
  z.object({ kind: z.literal("item-intent"), ...rangeFields, line: count }),
  z.object({
    kind: z.literal("item-completed"),
    ...rangeFields,
    line: count,
    isError: z.boolean(),
    /** The line of the output or error file, without its line feed. */
    text: z.string(),
    /** Whether this is a copy that was carried forward; the outcome was decided before. */
    isCopy: z.boolean().optional(),
  }),
  /**
   * All completions that readers use in records before the offset `before` have been copied to
   * later records.
   */
  z.object({
    kind: z.literal("range-carried"),
    ...rangeFields,
    before: offset,
  }),
  z.object({ kind: z.literal("range-cancelled"), ...rangeFields }),
  z.object({ kind: z.literal("range-removed"), ...rangeFields }),
  z.object({
    kind: z.literal("checkpoint"),
    id: z.string(),
    asOf: offset,
    part: count,
    parts: z.number().int().positive(),
    data: z.instanceof(Uint8Array),
  }),
]);

export type PartitionEntry = z.output<typeof entrySchema>;
export type EntryOf<Kind extends PartitionEntry["kind"]> = Extract<
  PartitionEntry,
  { kind: Kind }
>;
/** Entries that concern one range. */
export type RangeEntry = Extract<
  PartitionEntry,
  { job: JobId; range: number; epoch: Offset }
>;

/** Entries that an owner appends, without their epoch; the owner adds it. */
export type OwnerEntry = PartitionEntry extends infer Entry
  ? Entry extends { epoch: Offset } ? Omit<Entry, "epoch"> : never
  : never;
