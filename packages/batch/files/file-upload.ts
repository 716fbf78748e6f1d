/**
 * Stores an uploaded file: validates its lines as they are received, appends them in chunks to
 * the file's stream and reads the completion record back. A file without that record does not
 * exist for callers, so an aborted upload leaves no visible file.
 */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { Clock } from "../../common/clock.ts";
import { CallerError, LogUnavailableError } from "../../common/errors.ts";
import {
  brandAs,
  type FileId,
  type Offset,
  type WorkspaceId,
  type WriterId,
} from "../../common/ids.ts";
import type { AppendBudget } from "../../log/append-budget.ts";
import { GroupCommitWriter } from "../../log/group-commit-writer.ts";
import type { LogClient } from "../../log/log-client.ts";
import {
  maximumChunkDataBytes,
  maximumChunkLines,
  maximumQueuedChunks,
  ownerRetryDelayMilliseconds,
  uploadAppendTimeoutMilliseconds,
} from "../constants.ts";
import {
  decodeFileRecord,
  type FileChunk,
  type FileCompletion,
  fileStream,
} from "./file-records.ts";
import { LineParser } from "./line-parser.ts";
import { delay, withTimeout } from "../timing.ts";

export interface UploadOptions {
  client: LogClient;
  budget: AppendBudget;
  clock: Clock;
  workspace: WorkspaceId;
  filename: string;
  content: AsyncIterable<Uint8Array>;
  signal?: AbortSignal | undefined;
}

export async function uploadFile(
  options: UploadOptions,
): Promise<FileCompletion> {
  const file = brandAs<FileId>(`file-${randomUUID().replaceAll("-", "")}`);
  const chunks = new ChunkWriter(file, options);
  try {
    const parser = new LineParser();
    for await (const bytes of options.content) {
      options.signal?.throwIfAborted();
      for (const line of parser.push(bytes)) await chunks.add(line);
    }
    const last = parser.finish();
    if (last) await chunks.add(last);
    if (chunks.lines === 0) {
      throw new CallerError({
        status: 400,
        code: "empty_file",
        message: "the file has no lines",
      });
    }
    const completion: FileCompletion = {
      kind: "file-completed",
      file,
      workspace: options.workspace,
      filename: options.filename,
      bytes: chunks.bytes,
      lines: chunks.lines,
      createdAt: options.clock.wallNow(),
      oldestChunkAt: chunks.startedAt,
      chunks: await chunks.finish(),
    };
    await confirmCompletion(
      options.client,
      file,
      await chunks.append(completion),
    );
    return completion;
  } finally {
    chunks.close();
  }
}

/** Collects lines into chunks and appends them to the file's stream. */
class ChunkWriter {
  readonly #writer: GroupCommitWriter;
  readonly #appendedChunks: Promise<{ offset: number; firstLine: number }>[] =
    [];
  /** Wall-clock milliseconds. */
  readonly startedAt: number;
  #lineOffsets: number[] = [];
  #data: Uint8Array[] = [];
  #dataBytes = 0;
  bytes = 0;
  lines = 0;

  constructor(file: FileId, options: UploadOptions) {
    this.startedAt = options.clock.wallNow();
    this.#writer = new GroupCommitWriter({
      client: options.client,
      stream: fileStream(file),
      writer: brandAs<WriterId>(`upload/${file}`),
      budget: options.budget,
      clock: options.clock,
    });
  }

  async add(line: Uint8Array): Promise<void> {
    const isFull = this.#dataBytes + line.length + 1 > maximumChunkDataBytes ||
      this.#lineOffsets.length >= maximumChunkLines;
    if (isFull) await this.#flush();
    this.#lineOffsets.push(this.#dataBytes);
    this.#data.push(line, lineFeed);
    this.#dataBytes += line.length + 1;
    this.bytes += line.length + 1;
    this.lines++;
  }

  async finish(): Promise<{ offset: number; firstLine: number }[]> {
    await this.#flush();
    return await Promise.all(this.#appendedChunks);
  }

  async append(entry: FileChunk | FileCompletion): Promise<Offset> {
    const appended = await withTimeout(
      this.#writer.append(entry),
      uploadAppendTimeoutMilliseconds,
    );
    if (appended !== undefined) return appended;
    throw new CallerError({
      status: 503,
      code: "log_unavailable",
      message: "the file could not be stored; the log does not answer",
      retryAfterSeconds: 5,
    });
  }

  close(): void {
    this.#writer.close();
  }

  async #flush(): Promise<void> {
    if (this.#lineOffsets.length === 0) return;
    const firstLine = this.lines - this.#lineOffsets.length;
    const appended = this.append({
      kind: "chunk",
      index: this.#appendedChunks.length,
      firstLine,
      lineOffsets: this.#lineOffsets,
      data: Buffer.concat(this.#data),
    }).then((offset) => ({ offset, firstLine }));
    appended.catch(() => {});
    this.#appendedChunks.push(appended);
    this.#lineOffsets = [];
    this.#data = [];
    this.#dataBytes = 0;
    await this
      .#appendedChunks[this.#appendedChunks.length - maximumQueuedChunks];
  }
}

const lineFeed = Buffer.from("\n");

/** Waits until the completion record can be read at its offset. */
async function confirmCompletion(
  client: LogClient,
  file: FileId,
  offset: Offset,
): Promise<void> {
  const attempts = uploadAppendTimeoutMilliseconds /
    ownerRetryDelayMilliseconds;
  for (let attempt = 0; attempt < attempts; attempt++) {
    try {
      const result = await client.read(fileStream(file), {
        from: offset,
        waitMilliseconds: 0,
      });
      const record = result.records.find((found) => found.offset === offset);
      const entry = record && decodeFileRecord(record.data);
      if (entry?.kind === "file-completed") return;
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
    }
    await delay(ownerRetryDelayMilliseconds);
  }
  throw new CallerError({
    status: 503,
    code: "log_unavailable",
    message: "the file could not be read back from the log",
    verdict: "unknown",
    retryAfterSeconds: 5,
  });
}
