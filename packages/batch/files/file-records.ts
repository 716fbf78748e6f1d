/**
 * Schemas of the records of a file stream: chunks of whole lines, then a completion record with
 * the offset of every chunk. The last completion record of a stream is in force, so a file that
 * was carried forward is read from its newest copies.
 */

import { z } from "zod";
import type { FileId, StreamName, WorkspaceId } from "../../common/ids.ts";
import { decodeRecord } from "../../log/record.ts";
import { brandAs } from "../../common/ids.ts";

const chunkSchema = z.object({
  kind: z.literal("chunk"),
  index: z.number().int().nonnegative(),
  /** Zero-based number of the first line. */
  firstLine: z.number().int().nonnegative(),
  /** Byte position in `data` at which each line starts; each line ends with a line feed. */
  lineOffsets: z.array(z.number().int().nonnegative()),
  data: z.instanceof(Uint8Array),
});

const completionSchema = z.object({
  kind: z.literal("file-completed"),
  file: z.string(),
  workspace: z.string(),
  filename: z.string(),
  bytes: z.number(),
  lines: z.number(),
  createdAt: z.number(),
  /** Wall-clock milliseconds at which the first of the listed chunk records was written. */
  oldestChunkAt: z.number(),
  chunks: z.array(z.object({ offset: z.number(), firstLine: z.number() })),
});

const entrySchema = z.discriminatedUnion("kind", [
  chunkSchema,
  completionSchema,
]);

export type FileChunk = z.infer<typeof chunkSchema>;
export type FileCompletion = z.infer<typeof completionSchema> & {
  file: FileId;
  workspace: WorkspaceId;
};

export function fileStream(file: FileId): StreamName {
  return brandAs<StreamName>(file);
}

/** Decodes the single entry of a file record; undefined if it is of another kind. */
export function decodeFileRecord(
  data: Uint8Array,
): FileChunk | FileCompletion | undefined {
  const parsed = entrySchema.safeParse(decodeRecord(data)?.entries[0]);
  return parsed.success ? parsed.data as FileChunk | FileCompletion : undefined;
}
