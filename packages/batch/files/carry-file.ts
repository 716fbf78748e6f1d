/**
 * Carries a file forward, so that it outlives the log's retention: appends copies of its chunks
 * before the log drops the originals, then a completion record with the offsets of the copies.
 * Until that record is in the log, the previous completion record stays in force.
 */

import type { Clock } from "../../common/clock.ts";
import { brandAs, type WriterId } from "../../common/ids.ts";
import type { AppendBudget } from "../../log/append-budget.ts";
import { GroupCommitWriter } from "../../log/group-commit-writer.ts";
import type { LogClient } from "../../log/log-client.ts";
import { type FileCompletion, fileStream } from "./file-records.ts";
import type { FileStore } from "./file-store.ts";

export interface CarryFileOptions {
  client: LogClient;
  budget: AppendBudget;
  files: FileStore;
  clock: Clock;
  /** Must be unique for each call, since the sequence of each writer begins at zero. */
  writer: WriterId;
  /** Throws if this instance no longer owns the job's home partition. */
  checkOwnership: () => void;
}

export async function carryFile(
  completion: FileCompletion,
  options: CarryFileOptions,
): Promise<FileCompletion> {
  const { client, budget, files, clock } = options;
  const { file } = completion;
  const writer = new GroupCommitWriter({
    client,
    stream: fileStream(file),
    writer: brandAs<WriterId>(options.writer),
    budget,
    clock,
  });
  try {
    const oldestChunkAt = clock.wallNow();
    const chunks: { offset: number; firstLine: number }[] = [];
    for (const { firstLine } of completion.chunks) {
      options.checkOwnership();
      const chunk = await files.readChunk(file, firstLine);
      chunks.push({ offset: await writer.append(chunk), firstLine });
    }
    options.checkOwnership();
    const carried = { ...completion, oldestChunkAt, chunks };
    await writer.append(carried);
    files.invalidateCompletion(file);
    return carried;
  } finally {
    writer.close();
  }
}
