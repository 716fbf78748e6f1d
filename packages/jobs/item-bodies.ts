/**
 * Writes, reads and caches the bodies of batch items. They are written before their job is
 * accepted, read by the instance that runs the items, and cached in memory up to
 * `bodyCacheBytes`. A body that is larger than a record is split into parts.
 */

import { Buffer } from "node:buffer";
import type { JobId, Offset, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import {
  type KeyedEntry,
  type KeyedRecord,
  type KeyedStore,
  OffsetOutOfRangeError,
  type StreamPartition,
} from "../store/keyed-store.ts";
import { readNewestPages } from "../store/newest-pages.ts";
import { chunkBySize, recordOverheadBytes } from "./chunk-by-size.ts";
import {
  bodyCacheBytes,
  maximumAppendBytes,
  maximumValueBytes,
} from "./constants.ts";
import type { JobPartition } from "./job-partition.ts";
import { bodyKey, type JobRecord, keyBeforeBodies } from "./records.ts";

export interface ItemBodiesOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  /** Called with the size of the cache after each change. */
  readonly onCachedBytes: (bytes: number) => void;
  readonly logger: Logger;
}

export class ItemBodies {
  readonly #options: ItemBodiesOptions;
  readonly #cache = new Map<JobId, Buffer[]>();
  readonly #loading = new Map<JobId, Promise<Buffer[]>>();
  #cachedBytes = 0;

  constructor(options: ItemBodiesOptions) {
    this.#options = options;
  }

  /** Writes all bodies of a job and returns the offset of the first record. */
  async write(
    partition: JobPartition,
    job: JobId,
    bodies: readonly Buffer[],
  ): Promise<Offset> {
    let first: Offset | undefined;
    const records = toEntries(job, bodies);
    const sizeOf = (entry: KeyedEntry) => entry.value?.length ?? 0;
    for (const entries of chunkBySize(records, sizeOf)) {
      const offset = await this.#options.store.append(
        this.#target(partition),
        entries,
      );
      first ??= offset;
    }
    this.#addToCache(job, [...bodies]);
    return first ?? (0 as Offset);
  }

  /** Returns the body of one item; rejects if it cannot be read from the store. */
  async read(
    partition: JobPartition,
    record: JobRecord,
    item: number,
  ): Promise<Buffer> {
    const cached = this.#cache.get(record.job);
    const bodies = cached ?? await this.#load(partition, record);
    const body = bodies[item];
    if (!body) throw new Error(`no body of item ${item} of job ${record.job}`);
    return body;
  }

  /** Removes the bodies of a job from the cache. */
  evict(job: JobId): void {
    const bodies = this.#cache.get(job);
    if (!bodies) return;
    this.#cache.delete(job);
    this.#cachedBytes -= sizeOf(bodies);
    this.#options.onCachedBytes(this.#cachedBytes);
  }

  #load(partition: JobPartition, record: JobRecord): Promise<Buffer[]> {
    const running = this.#loading.get(record.job);
    if (running) return running;
    const loading = this.#loadFromStore(partition, record)
      .finally(() => this.#loading.delete(record.job));
    this.#loading.set(record.job, loading);
    return loading;
  }

  /**
   * Reads the records from the offset of the bodies on, or the newest record of each key if the
   * store has dropped those records or they do not contain all bodies.
   */
  async #loadFromStore(
    partition: JobPartition,
    record: JobRecord,
  ): Promise<Buffer[]> {
    const target = this.#target(partition);
    let records: KeyedRecord[];
    try {
      records = await this.#readFromOffset(target, record);
    } catch (error) {
      if (!(error instanceof OffsetOutOfRangeError)) throw error;
      records = await this.#readNewestRecords(target, record);
    }
    const bodies = assembleBodies(record, records) ??
      assembleBodies(record, await this.#readNewestRecords(target, record));
    if (!bodies) throw new Error(`bodies of job ${record.job} are incomplete`);
    this.#addToCache(record.job, bodies);
    return bodies;
  }

  /** Reads the records from the offset at which the bodies were written. */
  async #readFromOffset(
    target: StreamPartition,
    record: JobRecord,
  ): Promise<KeyedRecord[]> {
    const total = record.items.reduce(
      (sum, item) => sum + item.bodyBytes + recordOverheadBytes,
      0,
    );
    const result = await this.#options.store.read(target, {
      from: record.bodyOffset as Offset,
      maximumBytes: Math.min(total, maximumAppendBytes / 2),
    });
    return [...result.records];
  }

  /** Reads the newest record of each key, from the key of the job's first body on. */
  async #readNewestRecords(
    target: StreamPartition,
    record: JobRecord,
  ): Promise<KeyedRecord[]> {
    const prefix = keyBeforeBodies(record.job);
    const records: KeyedRecord[] = [];
    const pages = readNewestPages(this.#options.store, target, prefix);
    for await (const page of pages) {
      for (const found of page.records) {
        if (found.key.startsWith(prefix)) records.push(found);
      }
      if (!page.records.at(-1)?.key.startsWith(prefix)) break;
    }
    return records;
  }

  #target(partition: JobPartition): StreamPartition {
    return { stream: this.#options.stream, partition: partition.number };
  }

  #addToCache(job: JobId, bodies: Buffer[]): void {
    if (this.#cache.has(job)) return;
    this.#cache.set(job, bodies);
    this.#cachedBytes += sizeOf(bodies);
    this.#options.onCachedBytes(this.#cachedBytes);
    for (const oldest of this.#cache.keys()) {
      if (this.#cachedBytes <= bodyCacheBytes || oldest === job) break;
      this.evict(oldest);
    }
  }
}

function toEntries(job: JobId, bodies: readonly Buffer[]): KeyedEntry[] {
  return bodies.flatMap((body, item) => {
    const parts = Math.max(1, Math.ceil(body.length / maximumValueBytes));
    return Array.from({ length: parts }, (_, part) => ({
      key: bodyKey(job, item, part),
      value: body.subarray(
        part * maximumValueBytes,
        (part + 1) * maximumValueBytes,
      ),
    }));
  });
}

/** Returns undefined if a part is missing or a body does not have its expected length. */
function assembleBodies(
  record: JobRecord,
  records: readonly KeyedRecord[],
): Buffer[] | undefined {
  const byKey = new Map(records.map((found) => [found.key, found.value]));
  const bodies: Buffer[] = [];
  for (const [item, { bodyBytes }] of record.items.entries()) {
    const parts: Uint8Array[] = [];
    const count = Math.max(1, Math.ceil(bodyBytes / maximumValueBytes));
    for (let part = 0; part < count; part++) {
      const key = bodyKey(record.job, item, part);
      if (!byKey.has(key)) return undefined;
      parts.push(byKey.get(key) ?? new Uint8Array(0));
    }
    const body = Buffer.concat(parts);
    if (body.length !== bodyBytes) return undefined;
    bodies.push(body);
  }
  return bodies;
}

function sizeOf(bodies: readonly Buffer[]): number {
  return bodies.reduce((sum, body) => sum + body.length, 0);
}
