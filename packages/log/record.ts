/**
 * Format of the records of the log. A record carries its schema version, its writer and the
 * writer's sequence number, so that one appended twice after a lost response counts once.
 */

import type { Buffer } from "node:buffer";
import { z } from "zod";
import type { WriterId } from "../common/ids.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";

export const recordSchema = z.object({
  version: z.number().int().positive(),
  writer: z.string().min(1),
  sequence: z.number().int().nonnegative(),
  writtenAt: z.number(),
  entries: z.array(z.unknown()),
});

export interface LogRecord {
  readonly version: number;
  readonly writer: WriterId;
  readonly sequence: number;
  /** Wall-clock milliseconds at the writer; informative only, reducers must not depend on it. */
  readonly writtenAt: number;
  readonly entries: readonly unknown[];
}

export function encodeRecord(record: LogRecord): Buffer {
  return encodeValue(record);
}

/** Decodes a record; returns undefined for malformed bytes, which all readers skip alike. */
export function decodeRecord(bytes: Uint8Array): LogRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(decodeValue(bytes));
    return parsed.success ? parsed.data as unknown as LogRecord : undefined;
  } catch {
    return undefined;
  }
}
