/**
 * Stores the progress of unfinished items in a stream of its own, with one record for each item.
 * Only the owner of a partition writes the progress, and only the next owner reads it. After a
 * crash of the owner, its items thus resume from the last event that was stored.
 */

import * as z from "zod/mini";
import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";
import {
  type KeyedEntry,
  type KeyedStore,
  StoreFullError,
} from "../store/keyed-store.ts";
import { readNewestPages } from "../store/newest-pages.ts";
import { retryPauseMilliseconds } from "../store/retry-pause.ts";
import {
  maximumValueBytes,
  progressIntervalMilliseconds,
  progressReadAttempts,
  progressReadRetryMilliseconds,
} from "./constants.ts";
import { chunkBySize } from "./chunk-by-size.ts";

/** What the runs of an item have received so far, as it is stored. */
export interface ItemProgress {
  readonly job: JobId;
  readonly item: number;
  readonly lastEventId: number;
  readonly text: string;
}

export interface ProgressStoreOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  /** Returns the partitions whose items this instance runs. */
  readonly ownedPartitions: () => readonly PartitionNumber[];
  /** Returns the present progress of the unfinished items of a partition. */
  readonly progressOf: (partition: PartitionNumber) => readonly ItemProgress[];
  /**
   * Whether an item has its result or its job is over, by a copy of the partition that contains what
   * earlier owners wrote. An item that is merely not known yet still needs its progress.
   */
  readonly isOver: (
    partition: PartitionNumber,
    job: JobId,
    item: number,
  ) => boolean;
  readonly logger: Logger;
}

/** What is kept of a stored record. */
type StoredItem = Omit<ItemProgress, "text">;

interface PartitionProgress {
  /** Progress that earlier owners stored, by the key of the item. */
  readonly loadedItems: Map<string, ItemProgress>;
  /** The records in the store, as far as this instance knows. */
  readonly storedItems: Map<string, StoredItem>;
  isLoaded: boolean;
  pendingWrite: Promise<void> | undefined;
}

const progressSchema = z.object({
  job: z.string(),
  item: z.int(),
  lastEventId: z.number(),
  text: z.string(),
});

export class ProgressStore {
  readonly #options: ProgressStoreOptions;
  readonly #partitions = new Map<PartitionNumber, PartitionProgress>();
  #timer: NodeJS.Timeout | undefined;
  /** Failed writes since the last successful one, which lengthen the pause before the next. */
  #failedWrites = 0;
  #pausedUntil = Number.NEGATIVE_INFINITY;

  constructor(options: ProgressStoreOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => {
      if (performance.now() < this.#pausedUntil) return;
      for (const partition of this.#options.ownedPartitions()) {
        const progress = this.#partitions.get(partition);
        if (!progress?.isLoaded || progress.pendingWrite) continue;
        void this.write(partition);
      }
    }, progressIntervalMilliseconds);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** True once the progress of earlier owners has been read, or could not be read. */
  isLoaded(partition: PartitionNumber): boolean {
    return this.#partitions.get(partition)?.isLoaded ?? false;
  }

  /** Returns the progress that earlier owners stored for an item. */
  get(
    partition: PartitionNumber,
    job: JobId,
    item: number,
  ): ItemProgress | undefined {
    return this.#partitions.get(partition)?.loadedItems.get(keyOf(job, item));
  }

  /** Reads the progress of earlier owners; if that fails, the items start from the beginning. */
  async load(partition: PartitionNumber): Promise<void> {
    const progress: PartitionProgress = {
      loadedItems: new Map(),
      storedItems: new Map(),
      isLoaded: false,
      pendingWrite: undefined,
    };
    this.#partitions.set(partition, progress);
    for (let attempt = 1; attempt <= progressReadAttempts; attempt++) {
      try {
        await this.#readRecords(partition, progress);
        break;
      } catch (error) {
        this.#options.logger.warn("the progress of items could not be read", {
          partition,
          attempt,
          reason: String(error),
        });
        await delay(systemTimers, progressReadRetryMilliseconds);
      }
    }
    progress.isLoaded = true;
  }

  /** Drops the loaded progress of a partition that this instance no longer owns. */
  unload(partition: PartitionNumber): void {
    this.#partitions.delete(partition);
  }

  /** Writes the changes since the last write; the next write includes those of a failed one. */
  async write(partition: PartitionNumber): Promise<void> {
    const progress = this.#partitions.get(partition);
    if (!progress) return;
    // Read before the wait: whoever gives up the partition drops the items right after this call.
    const current = new Map(
      this.#options.progressOf(partition).map((entry) => [
        keyOf(entry.job, entry.item),
        entry,
      ]),
    );
    const previous = progress.pendingWrite;
    const write = (async () => {
      await previous;
      await this.#writeChanges(partition, progress, current);
    })();
    progress.pendingWrite = write;
    await write;
    if (progress.pendingWrite === write) progress.pendingWrite = undefined;
  }

  async #writeChanges(
    partition: PartitionNumber,
    { loadedItems, storedItems }: PartitionProgress,
    current: ReadonlyMap<string, ItemProgress>,
  ): Promise<void> {
    const { store, stream, logger, isOver } = this.#options;
    const entries: (KeyedEntry & { item?: StoredItem })[] = [];
    for (const [key, entry] of current) {
      if (storedItems.get(key)?.lastEventId === entry.lastEventId) continue;
      const value = encodeValue(entry);
      if (value.length > maximumValueBytes) continue;
      entries.push({ key, value, item: storedItemOf(entry) });
    }
    for (const [key, { job, item }] of storedItems) {
      if (current.has(key) || !isOver(partition, job, item)) continue;
      entries.push({ key, value: undefined });
    }
    const chunks = chunkBySize(entries, ({ value }) => value?.length ?? 0);
    try {
      for (const chunk of chunks) {
        await store.append(
          { stream, partition },
          chunk.map(({ key, value }) => ({ key, value })),
        );
        for (const { key, item } of chunk) {
          if (item) storedItems.set(key, item);
          else {
            storedItems.delete(key);
            loadedItems.delete(key);
          }
        }
      }
      this.#failedWrites = 0;
    } catch (error) {
      logger.warn("the progress of items could not be written", {
        partition,
        items: entries.length,
        reason: String(error),
      });
      if (!(error instanceof StoreFullError)) return;
      this.#failedWrites += 1;
      this.#pausedUntil = performance.now() + retryPauseMilliseconds(error, {
        attempt: this.#failedWrites,
        baseMilliseconds: progressIntervalMilliseconds,
      });
    }
  }

  async #readRecords(
    partition: PartitionNumber,
    { loadedItems, storedItems }: PartitionProgress,
  ): Promise<void> {
    const { store, stream } = this.#options;
    for await (const page of readNewestPages(store, { stream, partition })) {
      for (const { key, value } of page.records) {
        if (value === undefined) continue;
        const entry = this.#decode(partition, key, value);
        if (!entry) continue;
        loadedItems.set(key, entry);
        storedItems.set(key, storedItemOf(entry));
      }
    }
  }

  #decode(
    partition: PartitionNumber,
    key: string,
    value: Uint8Array,
  ): ItemProgress | undefined {
    try {
      return progressSchema.parse(decodeValue(value)) as ItemProgress;
    } catch (error) {
      this.#options.logger.error("a progress record cannot be decoded", {
        partition,
        key,
        reason: String(error),
      });
      return undefined;
    }
  }
}

function storedItemOf({ job, item, lastEventId }: ItemProgress): StoredItem {
  return { job, item, lastEventId };
}

function keyOf(job: JobId, item: number): string {
  return `${job}/${item}`;
}
