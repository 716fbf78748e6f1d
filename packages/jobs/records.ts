/**
 * The records of the batch jobs. Each has a key of its own, so that the store keeps all of them:
 * one for the job, one for its end, and one for each group of results and failures.
 */

import * as z from "zod/mini";
import type { JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";

export interface JobItem {
  readonly id: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Prompt tokens and the most output tokens together. */
  readonly tokens: number;
  readonly bodyBytes: number;
}

export interface JobRecord {
  readonly kind: "job";
  readonly job: JobId;
  readonly workspace: WorkspaceId | undefined;
  readonly route: RouteId;
  readonly host: string;
  /** Wall-clock milliseconds. */
  readonly acceptedAt: number;
  readonly dueAt: number;
  readonly retainedUntil: number;
  readonly maximumAttempts: number;
  /** Offset of the first body in the stream of bodies. */
  readonly bodyOffset: number;
  readonly items: readonly JobItem[];
}

export interface EndRecord {
  readonly kind: "end";
  readonly job: JobId;
}

export type ResultState = "completed" | "dead_letter";

export interface ItemResult {
  readonly job: JobId;
  readonly item: number;
  readonly state: ResultState;
  readonly text: string;
}

/** An item failed at a server this many times so far. */
export interface ItemFailures {
  readonly job: JobId;
  readonly item: number;
  readonly count: number;
}

export interface GroupRecord {
  readonly kind: "group";
  readonly results: readonly ItemResult[];
  readonly failures: readonly ItemFailures[];
}

export type BatchRecord = JobRecord | EndRecord | GroupRecord;

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
    })),
    failures: z.array(z.object({ ...itemReference, count: z.number() })),
  }),
]);

export function encodeRecord(record: BatchRecord): Uint8Array {
  return encodeValue(record);
}

/** Throws if the bytes are no record of this version of the program. */
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

const indexDigits = 4;

/** Key of one part of an item's body; the keys of a job sort in the order of its items. */
export function bodyKey(job: JobId, item: number, part: number): string {
  const index = String(item).padStart(indexDigits, "0");
  return `${job}/${index}/${String(part).padStart(indexDigits, "0")}`;
}

/** A key that sorts directly before all bodies of the job. */
export function keyBeforeBodies(job: JobId): string {
  return `${job}/`;
}
