/**
 * Records of the log. An envelope names its schema version, its writer and the writer's
 * sequence number, so that a record appended twice after a lost answer counts once.
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
  /** Wall-clock milliseconds at the writer; a label, never a basis for decisions of a reducer. */
  readonly writtenAt: number;
  readonly entries: readonly unknown[];
}

export function encodeRecord(record: LogRecord): Buffer {
  return encodeValue(record);
}

/** Decodes a record; undefined for bytes that are not one, which every reader skips alike. */
export function decodeRecord(bytes: Uint8Array): LogRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(decodeValue(bytes));
    return parsed.success ? parsed.data as unknown as LogRecord : undefined;
  } catch {
    return undefined;
  }
}
