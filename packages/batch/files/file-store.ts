/**
 * Reads uploaded files from the log: the completion record in force, single lines through an LRU
 * cache of chunks, and the whole content as a stream.
 */

import { Buffer } from "node:buffer";
import { RosemaryrudderError } from "../../common/errors.ts";
import type { FileId, Offset } from "../../common/ids.ts";
import type { LogClient, StoredRecord } from "../../log/log-client.ts";
import { maximumCachedChunks, offsetBeyondEnd } from "../constants.ts";
import {
  decodeFileRecord,
  type FileChunk,
  type FileCompletion,
  fileStream,
} from "./file-records.ts";

const maximumCachedCompletions = 256;

export class FileMissingError extends RosemaryrudderError {
  constructor(file: FileId) {
    super("file_missing", `file ${file} or a part of it is no longer stored`);
  }
}

export class FileStore {
  readonly #client: LogClient;
  readonly #completions = new Map<FileId, Promise<FileCompletion>>();
  readonly #chunks = new Map<string, Promise<FileChunk>>();

  constructor(client: LogClient) {
    this.#client = client;
  }

  /** The completion record in force; undefined if the file does not exist. */
  async find(file: FileId): Promise<FileCompletion | undefined> {
    const stream = fileStream(file);
    const { start, end } = await this.#client.read(stream, {
      from: offsetBeyondEnd,
      waitMilliseconds: 0,
    });
    // While a file is carried forward, copies of its chunks follow the last completion record.
    for (let offset = end - 1; offset >= start; offset--) {
      const record = await this.#readRecord(file, offset as Offset);
      const entry = record && decodeFileRecord(record.data);
      if (entry?.kind === "file-completed" && entry.file === file) return entry;
    }
    return undefined;
  }

  /** Reads the bytes of one line, without its line feed. */
  async readLine(file: FileId, line: number): Promise<Uint8Array> {
    const chunk = await this.readChunk(file, line);
    const position = line - chunk.firstLine;
    const from = chunk.lineOffsets[position];
    if (from === undefined) throw new FileMissingError(file);
    const to = chunk.lineOffsets[position + 1] ?? chunk.data.length;
    return chunk.data.subarray(from, to - 1);
  }

  /** Streams the bytes of all lines, one chunk at a time. */
  async *content(completion: FileCompletion): AsyncGenerator<Uint8Array> {
    for (const { firstLine } of completion.chunks) {
      const chunk = await this.readChunk(completion.file, firstLine);
      yield chunk.data;
    }
  }

  /** Reads the chunk that contains the line. */
  async readChunk(file: FileId, line: number): Promise<FileChunk> {
    try {
      return await this.#readCachedChunk(file, line);
    } catch (error) {
      if (!(error instanceof FileMissingError)) throw error;
      // The chunk may have been carried forward after the completion record was cached.
      this.#completions.delete(file);
      return await this.#readCachedChunk(file, line);
    }
  }

  /** Removes the file's completion record from the cache after a newer one was written. */
  invalidateCompletion(file: FileId): void {
    this.#completions.delete(file);
  }

  async #readCachedChunk(file: FileId, line: number): Promise<FileChunk> {
    const completion = await this.#readCachedCompletion(file);
    if (line < 0 || line >= completion.lines) throw new FileMissingError(file);
    const index = findChunkIndex(completion, line);
    const { offset } = completion.chunks[index] as { offset: number };
    return await getOrLoad(
      this.#chunks,
      `${file}/${index}`,
      maximumCachedChunks,
      () => this.#loadChunk(file, index, offset as Offset),
    );
  }

  async #loadChunk(
    file: FileId,
    index: number,
    offset: Offset,
  ): Promise<FileChunk> {
    const record = await this.#readRecord(file, offset);
    const entry = record && decodeFileRecord(record.data);
    if (entry?.kind !== "chunk" || entry.index !== index) {
      throw new FileMissingError(file);
    }
    // Copies the bytes: the decoded ones are a view of the response's buffer, which the cached
    // chunk would keep in memory as a whole.
    return { ...entry, data: Buffer.from(entry.data) };
  }

  #readCachedCompletion(file: FileId): Promise<FileCompletion> {
    return getOrLoad(
      this.#completions,
      file,
      maximumCachedCompletions,
      async () => {
        const completion = await this.find(file);
        if (!completion) throw new FileMissingError(file);
        return completion;
      },
    );
  }

  async #readRecord(
    file: FileId,
    offset: Offset,
  ): Promise<StoredRecord | undefined> {
    const { records } = await this.#client.read(fileStream(file), {
      from: offset,
      waitMilliseconds: 0,
      maximumBytes: 1,
    });
    return records.find((record) => record.offset === offset);
  }
}

/** Binary search for the last chunk that starts at or before the line. */
function findChunkIndex({ chunks }: FileCompletion, line: number): number {
  let low = 0;
  let high = chunks.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if ((chunks[middle]?.firstLine ?? 0) <= line) low = middle;
    else high = middle - 1;
  }
  return low;
}

/** Returns a value from an LRU cache or loads it; a value that fails to load is not cached. */
function getOrLoad<Key, Value>(
  cache: Map<Key, Promise<Value>>,
  key: Key,
  maximum: number,
  load: () => Promise<Value>,
): Promise<Value> {
  const loading = cache.get(key) ?? load();
  cache.delete(key);
  cache.set(key, loading);
  loading.catch(() => {
    if (cache.get(key) === loading) cache.delete(key);
  });
  for (const oldest of cache.keys()) {
    if (cache.size <= maximum) break;
    cache.delete(oldest);
  }
  return loading;
}
