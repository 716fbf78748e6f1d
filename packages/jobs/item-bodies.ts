/**
 * Writes, reads and caches the bodies of batch items. They are written before their job is
 * accepted, read by the instance that runs the items, and cached in memory up to
 * `bodyCacheBytes`. A body that is larger than a record is split into parts.
 */

import { Buffer } from "node:buffer";
import { RosemaryrudderError } from "../common/errors.ts";
import type { JobId, Offset, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { Holding } from "../overload/held-bytes.ts";
import {
  type KeyedEntry,
  type KeyedRecord,
  type KeyedStore,
  OffsetOutOfRangeError,
  type RelayRules,
  StoreUnavailableError,
  type StreamPartition,
} from "../store/keyed-store.ts";
import { readNewestPages } from "../store/newest-pages.ts";
import { chunkBySize, recordOverheadBytes } from "./chunk-by-size.ts";
import {
  bodyCacheBytes,
  bodyLoadCopies,
  maximumAppendBytes,
  maximumValueBytes,
} from "./constants.ts";
import type { JobPartition } from "./job-partition.ts";
import type { JobRegions } from "./job-regions.ts";
import { bodyKeys, type JobRecord, keyBeforeBodies } from "./records.ts";

export interface ItemBodiesOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  readonly regions: Pick<JobRegions, "allowedFor">;
  /** Called with the keys of bodies that were written, or may have been, and may belong to no job. */
  readonly onOrphaned: (
    partition: JobPartition,
    job: JobId,
    keys: readonly string[],
  ) => void;
  /** Called with the size of the cache after each change. */
  readonly onCachedBytes: (bytes: number) => void;
  /** Opens a holding for bodies that are being loaded; nothing is held without it. */
  readonly openLoadHolding?: () => Holding;
  readonly logger: Logger;
}

export interface ReadBodyOptions {
  /** The body is not loaded if the budget of held bytes has no room; rejects with NoRoomError. */
  readonly mayBeRefused?: boolean;
}

/** The budget of held bytes has no room for the bodies of the job. */
export class NoRoomError extends RosemaryrudderError {
  constructor(message: string) {
    super("no_room", message);
  }
}

/** The store was read, and it does not hold the body of the item. */
export class BodyMissingError extends RosemaryrudderError {
  constructor(message: string) {
    super("body_missing", message);
  }
}

/** From the offset at which they were written, or the newest records of their keys. */
type LoadWay = "offset" | "newest";

/** Bodies by the index of the item; those that were removed are undefined. */
type LoadedBodies = readonly (Buffer | undefined)[];

export class ItemBodies {
  readonly #options: ItemBodiesOptions;
  readonly #cache = new Map<JobId, LoadedBodies>();
  readonly #loading = new Map<string, Promise<LoadedBodies>>();
  #cachedBytes = 0;

  constructor(options: ItemBodiesOptions) {
    this.#options = options;
  }

  /** Writes all bodies of a job and returns the offset of the first record. */
  async write(
    partition: JobPartition,
    job: JobId,
    bodies: readonly Buffer[],
    rules: RelayRules = {},
  ): Promise<Offset> {
    let first: Offset | undefined;
    const records = toEntries(job, bodies);
    const sizeOf = (entry: KeyedEntry) => entry.value?.length ?? 0;
    try {
      for (const entries of chunkBySize(records, sizeOf)) {
        const offset = await this.#options.store.append(
          this.#target(partition),
          entries,
          rules,
        );
        first ??= offset;
      }
    } catch (error) {
      const mayHaveWritten = first !== undefined ||
        !(error instanceof StoreUnavailableError) || error.mayHaveTakenEffect;
      if (mayHaveWritten) this.reportOrphaned(partition, job, bodies);
      throw error;
    }
    this.#addToCache(job, [...bodies]);
    return first ?? (0 as Offset);
  }

  /** Has the bodies removed later unless their job is recorded. */
  reportOrphaned(
    partition: JobPartition,
    job: JobId,
    bodies: readonly Buffer[],
  ): void {
    const keys = toEntries(job, bodies).map(({ key }) => key);
    this.#options.onOrphaned(partition, job, keys);
  }

  /**
   * Returns the body of one item; rejects with BodyMissingError if the store does not hold it, and
   * with another error if it cannot be read.
   */
  async read(
    partition: JobPartition,
    record: JobRecord,
    item: number,
    options: ReadBodyOptions = {},
  ): Promise<Buffer> {
    if (record.items[item]?.bodyBytes === 0) return Buffer.alloc(0);
    const cached = this.#cache.get(record.job);
    // What is cached may lack bodies that were beyond the limit of the first read.
    const load = (way: LoadWay) => this.#load(partition, record, way, options);
    const known = cached ?? await load("offset");
    const body = known[item] ?? (await load("newest"))[item];
    if (body) return body;
    throw new BodyMissingError(`no body of item ${item} of job ${record.job}`);
  }

  /** Removes the bodies of a job from the cache. */
  evict(job: JobId): void {
    const bodies = this.#cache.get(job);
    if (!bodies) return;
    this.#cache.delete(job);
    this.#cachedBytes -= sizeOf(bodies);
    this.#options.onCachedBytes(this.#cachedBytes);
  }

  /** Loads the bodies of a job in one of two ways; concurrent calls share one load. */
  #load(
    partition: JobPartition,
    record: JobRecord,
    way: LoadWay,
    { mayBeRefused = false }: ReadBodyOptions,
  ): Promise<LoadedBodies> {
    const key = `${way}/${record.job}`;
    const running = this.#loading.get(key);
    if (running) return running;
    const bytes = bodyBytesOf(record) * bodyLoadCopies;
    const holding = this.#options.openLoadHolding?.();
    if (!mayBeRefused) holding?.grow(bytes);
    else if (holding && !holding.tryGrow(bytes)) {
      holding.dispose();
      return Promise.reject(
        new NoRoomError(`no room for the bodies of job ${record.job}`),
      );
    }
    const target = this.#target(partition);
    const records = way === "offset"
      ? this.#readFromOffset(target, record)
      : this.#readNewestRecords(target, record);
    const loading = records
      .then((found) => {
        const bodies = assembleBodies(record, found);
        this.#addToCache(record.job, bodies);
        return bodies;
      })
      .finally(() => {
        this.#loading.delete(key);
        holding?.dispose();
      });
    this.#loading.set(key, loading);
    return loading;
  }

  /**
   * Reads the records from the offset at which the bodies were written; returns none if the store
   * has dropped them.
   */
  async #readFromOffset(
    target: StreamPartition,
    record: JobRecord,
  ): Promise<KeyedRecord[]> {
    const total = record.items.reduce(
      (sum, item) => sum + item.bodyBytes + recordOverheadBytes,
      0,
    );
    try {
      const result = await this.#options.store.read(target, {
        from: record.bodyOffset as Offset,
        allowedRegions: this.#options.regions.allowedFor(record),
        maximumBytes: Math.min(total, maximumAppendBytes / 2),
      });
      return [...result.records];
    } catch (error) {
      if (error instanceof OffsetOutOfRangeError) return [];
      throw error;
    }
  }

  /** Reads the newest record of each key, from the key of the job's first body on. */
  async #readNewestRecords(
    target: StreamPartition,
    record: JobRecord,
  ): Promise<KeyedRecord[]> {
    const prefix = keyBeforeBodies(record.job);
    const records: KeyedRecord[] = [];
    const { store, regions } = this.#options;
    const allowedRegions = regions.allowedFor(record);
    const pages = readNewestPages(store, target, prefix, { allowedRegions });
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

  #addToCache(job: JobId, bodies: LoadedBodies): void {
    this.evict(job);
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
  return bodies.flatMap((body, item) =>
    bodyKeys(job, item, body.length).map((key, part) => ({
      key,
      value: body.subarray(
        part * maximumValueBytes,
        (part + 1) * maximumValueBytes,
      ),
    }))
  );
}

/** Leaves out the bodies of which a part is missing, or whose length differs from the expected one. */
function assembleBodies(
  record: JobRecord,
  records: readonly KeyedRecord[],
): LoadedBodies {
  const byKey = new Map(records.map((found) => [found.key, found.value]));
  return record.items.map(({ bodyBytes }, item) => {
    const keys = bodyKeys(record.job, item, bodyBytes);
    const parts = keys.flatMap((key) => byKey.get(key) ?? []);
    if (parts.length < keys.length) return undefined;
    const body = Buffer.concat(parts);
    return body.length === bodyBytes ? body : undefined;
  });
}

function bodyBytesOf({ items }: JobRecord): number {
  return items.reduce((sum, { bodyBytes }) => sum + bodyBytes, 0);
}

function sizeOf(bodies: LoadedBodies): number {
  return bodies.reduce((sum, body) => sum + (body?.length ?? 0), 0);
}
