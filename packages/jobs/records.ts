/**
 * Defines the stored records of the batch jobs, their encoding and their keys: one record for
 * each job, one for its end, one for each group of results and failure counts of a job, and one for
 * each part of a text that is too large for one record. Each record has a key of its own, since the
 * store keeps only the newest record of a key.
 */

import * as z from "zod/mini";
import type { JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";
import { maximumValueBytes } from "./constants.ts";

export interface JobItem {
  readonly id: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Prompt tokens plus the largest number of output tokens. */
  readonly tokens: number;
  readonly bodyBytes: number;
}

export interface JobRecord {
  readonly kind: "job";
  readonly job: JobId;
  readonly workspace: WorkspaceId | undefined;
  readonly route: RouteId;
  readonly host: string;
  /** Wall-clock milliseconds, as are the two times below. */
  readonly acceptedAt: number;
  readonly dueAt: number;
  readonly retainedUntil: number;
  readonly maximumAttempts: number;
  /** Offset of the job's first record in the stream of item bodies. */
  readonly bodyOffset: number;
  readonly items: readonly JobItem[];
}

/** Written when the caller ends the job; its items no longer run. */
export interface EndRecord {
  readonly kind: "end";
  readonly job: JobId;
}

export type ResultState = "completed" | "dead_letter";

export interface ItemResult {
  readonly job: JobId;
  /** Index of the item in its job. */
  readonly item: number;
  readonly state: ResultState;
  /** Empty in a group record if the text is stored in parts. */
  readonly text: string;
  /** The text records that hold the text; they are written before the result. */
  readonly parts?: TextReference;
}

/** Identifies the parts of one text. */
export interface TextReference {
  readonly id: string;
  readonly count: number;
}

/** How many times an item has failed at a server so far. */
export interface ItemFailures {
  readonly job: JobId;
  readonly item: number;
  readonly count: number;
}

/** One part of a text that is too large for one record. */
export interface TextRecord {
  readonly kind: "text";
  readonly job: JobId;
  readonly item: number;
  /** The id of the reference in the result. */
  readonly id: string;
  readonly part: number;
  readonly text: string;
}

/**
 * Results and failure counts that were written together. All belong to one job, so that the record
 * can be removed with the job; records of earlier versions may hold those of several.
 */
export interface GroupRecord {
  readonly kind: "group";
  readonly results: readonly ItemResult[];
  readonly failures: readonly ItemFailures[];
}

export type BatchRecord = JobRecord | EndRecord | GroupRecord | TextRecord;

const itemReference = { job: z.string(), item: z.int() };

const recordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("job"),
    job: z.string(),
    workspace: z.nullish(z.string()),
    route: z.string(),
    host: z.string(),
    acceptedAt: z.number(),
    dueAt: z.number(),
    retainedUntil: z.number(),
    maximumAttempts: z.number(),
    bodyOffset: z.number(),
    items: z.array(z.object({
      id: z.string(),
      path: z.string(),
      headers: z.array(z.string()),
      tokens: z.number(),
      bodyBytes: z.number(),
    })),
  }),
  z.object({ kind: z.literal("end"), job: z.string() }),
  z.object({
    kind: z.literal("group"),
    results: z.array(z.object({
      ...itemReference,
      state: z.enum(["completed", "dead_letter"]),
      text: z.string(),
      parts: z.optional(z.object({ id: z.string(), count: z.int() })),
    })),
    failures: z.array(z.object({ ...itemReference, count: z.number() })),
  }),
  z.object({
    kind: z.literal("text"),
    ...itemReference,
    id: z.string(),
    part: z.int(),
    text: z.string(),
  }),
]);

export function encodeRecord(record: BatchRecord): Uint8Array {
  return encodeValue(record);
}

/** Throws if the bytes are not a record that this version of the program can read. */
export function decodeRecord(bytes: Uint8Array): BatchRecord {
  const record = recordSchema.parse(decodeValue(bytes));
  return record as unknown as BatchRecord;
}

export function jobKey(job: JobId): string {
  return `job/${job}`;
}

export function endKey(job: JobId): string {
  return `end/${job}`;
}

export function groupKey(writer: string, number: number): string {
  return `group/${writer}/${number}`;
}

export function textKey(id: string, part: number, number: number): string {
  return `text/${id}/${part}/${number}`;
}

/** The jobs that a record belongs to. */
export function jobsOf(record: BatchRecord): JobId[] {
  if (record.kind !== "group") return [record.job];
  const { results, failures } = record;
  return [...new Set([...results, ...failures].map(({ job }) => job))];
}

const indexDigits = 4;

/** Key of one part of an item's body; the keys of a job sort by item and part. */
export function bodyKey(job: JobId, item: number, part: number): string {
  const index = String(item).padStart(indexDigits, "0");
  return `${job}/${index}/${String(part).padStart(indexDigits, "0")}`;
}

/** Keys of all parts of an item's body. */
export function bodyKeys(
  job: JobId,
  item: number,
  bodyBytes: number,
): string[] {
  const parts = Math.max(1, Math.ceil(bodyBytes / maximumValueBytes));
  return Array.from({ length: parts }, (_, part) => bodyKey(job, item, part));
}

/** The job to which the key of a body belongs; job ids may contain slashes. */
export function jobOfBodyKey(key: string): JobId {
  return key.split("/").slice(0, -2).join("/") as JobId;
}

/** A key that sorts directly after the keys of all bodies of the job. */
export function keyAfterBodies(job: JobId): string {
  return `${job}/:`;
}

/** A key that sorts directly before the keys of all bodies of the job. */
export function keyBeforeBodies(job: JobId): string {
  return `${job}/`;
}
