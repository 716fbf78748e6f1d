/**
 * The bodies of items: written before their job is accepted, read by the instance that runs the
 * items, and kept in memory up to a bound. A body that is longer than a record is split.
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
import { gatherBySize, recordOverheadBytes } from "./gather.ts";
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

  /** Writes all bodies of a job and returns the offset of the first. */
  async write(
    partition: JobPartition,
    job: JobId,
    bodies: readonly Buffer[],
  ): Promise<Offset> {
    let first: Offset | undefined;
    const records = toEntries(job, bodies);
    const sizeOf = (entry: KeyedEntry) => entry.value?.length ?? 0;
    for (const entries of gatherBySize(records, sizeOf)) {
      const offset = await this.#options.store.append(
        this.#target(partition),
        entries,
      );
      first ??= offset;
    }
    this.#remember(job, [...bodies]);
    return first ?? (0 as Offset);
  }

  /** The body of one item; rejects if the store does not give it. */
  async read(
    partition: JobPartition,
    record: JobRecord,
    item: number,
  ): Promise<Buffer> {
    const cached = this.#cache.get(record.job);
    const bodies = cached ?? await this.#load(partition, record);
    const body = bodies[item];
    if (!body) throw new Error(`no body of item ${item} of ${record.job}`);
    return body;
  }

  forget(job: JobId): void {
    const bodies = this.#cache.get(job);
    if (!bodies) return;
    this.#cache.delete(job);
    this.#cachedBytes -= sizeOf(bodies);
  }

  #load(partition: JobPartition, record: JobRecord): Promise<Buffer[]> {
    const running = this.#loading.get(record.job);
    if (running) return running;
    const loading = this.#loadFromStore(partition, record)
      .finally(() => this.#loading.delete(record.job));
    this.#loading.set(record.job, loading);
    return loading;
  }

  async #loadFromStore(
    partition: JobPartition,
    record: JobRecord,
  ): Promise<Buffer[]> {
    const target = this.#target(partition);
    let records: KeyedRecord[];
    try {
      records = await this.#readHistory(target, record);
    } catch (error) {
      if (!(error instanceof OffsetOutOfRangeError)) throw error;
      records = await this.#readNewest(target, record);
    }
    const bodies = assemble(record, records) ??
      assemble(record, await this.#readNewest(target, record));
    if (!bodies) throw new Error(`bodies of ${record.job} are incomplete`);
    this.#remember(record.job, bodies);
    return bodies;
  }

  /** Reads from the offset at which the bodies were written. */
  async #readHistory(
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

  /** Reads the newest records from the key of the job's first body on. */
  async #readNewest(
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

  #remember(job: JobId, bodies: Buffer[]): void {
    if (this.#cache.has(job)) return;
    this.#cache.set(job, bodies);
    this.#cachedBytes += sizeOf(bodies);
    for (const oldest of this.#cache.keys()) {
      if (this.#cachedBytes <= bodyCacheBytes || oldest === job) break;
      this.forget(oldest);
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

/** Undefined if a part is missing. */
function assemble(
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
