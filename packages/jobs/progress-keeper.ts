/**
 * Keeps how far the runs of items have got, in a stream of its own with one record for each
 * unfinished item. Only the owner of a partition writes it, and only the next owner reads it,
 * so that the runs of an instance that died go on from their last written event.
 */

import * as z from "zod/mini";
import type { JobId, PartitionNumber, StreamName } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";
import type { KeyedEntry, KeyedStore } from "../store/keyed-store.ts";
import { readNewestPages } from "../store/newest-pages.ts";
import {
  maximumValueBytes,
  progressIntervalMilliseconds,
  progressReadAttempts,
  progressReadRetryMilliseconds,
} from "./constants.ts";
import { gatherBySize } from "./gather.ts";

/** What the runs of an item have received so far. */
export interface ItemProgress {
  readonly job: JobId;
  readonly item: number;
  readonly lastEventId: number;
  readonly text: string;
}

export interface ProgressKeeperOptions {
  readonly store: KeyedStore;
  readonly stream: StreamName;
  /** Partitions whose items this instance runs. */
  readonly ownedPartitions: () => readonly PartitionNumber[];
  /** Progress of the unfinished items of a partition. */
  readonly progressOf: (partition: PartitionNumber) => readonly ItemProgress[];
  readonly logger: Logger;
}

interface PartitionProgress {
  /** By the key of the item. */
  readonly read: Map<string, ItemProgress>;
  /** Last event of each record that stands in the store, as far as this instance knows. */
  readonly written: Map<string, number>;
  isLoaded: boolean;
  writing: Promise<void> | undefined;
}

const progressSchema = z.object({
  job: z.string(),
  item: z.int(),
  lastEventId: z.number(),
  text: z.string(),
});

export class ProgressKeeper {
  readonly #options: ProgressKeeperOptions;
  readonly #partitions = new Map<PartitionNumber, PartitionProgress>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ProgressKeeperOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => {
      for (const partition of this.#options.ownedPartitions()) {
        if (this.isLoaded(partition)) void this.write(partition);
      }
    }, progressIntervalMilliseconds);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** What earlier owners have written is known, or cannot be had. */
  isLoaded(partition: PartitionNumber): boolean {
    return this.#partitions.get(partition)?.isLoaded ?? false;
  }

  get(
    partition: PartitionNumber,
    job: JobId,
    item: number,
  ): ItemProgress | undefined {
    return this.#partitions.get(partition)?.read.get(keyOf(job, item));
  }

  /** Reads what earlier owners have written; without it the items begin anew. */
  async load(partition: PartitionNumber): Promise<void> {
    const progress: PartitionProgress = {
      read: new Map(),
      written: new Map(),
      isLoaded: false,
      writing: undefined,
    };
    this.#partitions.set(partition, progress);
    for (let attempt = 1; attempt <= progressReadAttempts; attempt++) {
      try {
        await this.#read(partition, progress);
        break;
      } catch (error) {
        this.#options.logger.warn("the progress of items cannot be read", {
          partition,
          attempt,
          reason: String(error),
        });
        await delay(systemTimers, progressReadRetryMilliseconds);
      }
    }
    progress.isLoaded = true;
  }

  /** Forgets a partition that has another owner. */
  forget(partition: PartitionNumber): void {
    this.#partitions.delete(partition);
  }

  /** Writes what has changed since the last write; a failed write is made up by the next. */
  async write(partition: PartitionNumber): Promise<void> {
    const progress = this.#partitions.get(partition);
    if (!progress) return;
    await progress.writing;
    progress.writing = this.#writeChanges(partition, progress);
    await progress.writing;
    progress.writing = undefined;
  }

  async #writeChanges(
    partition: PartitionNumber,
    { read, written }: PartitionProgress,
  ): Promise<void> {
    const { store, stream, progressOf, logger } = this.#options;
    const current = new Map(
      progressOf(partition).map((entry) => [
        keyOf(entry.job, entry.item),
        entry,
      ]),
    );
    const entries: (KeyedEntry & { lastEventId?: number })[] = [];
    for (const [key, entry] of current) {
      if (written.get(key) === entry.lastEventId) continue;
      const value = encodeValue(entry);
      if (value.length > maximumValueBytes) continue;
      entries.push({ key, value, lastEventId: entry.lastEventId });
    }
    for (const key of written.keys()) {
      if (!current.has(key)) entries.push({ key, value: undefined });
    }
    const calls = gatherBySize(entries, ({ value }) => value?.length ?? 0);
    try {
      for (const call of calls) {
        await store.append(
          { stream, partition },
          call.map(({ key, value }) => ({ key, value })),
        );
        for (const { key, lastEventId } of call) {
          if (lastEventId === undefined) {
            written.delete(key);
            read.delete(key);
          } else written.set(key, lastEventId);
        }
      }
    } catch (error) {
      logger.warn("the progress of items could not be written", {
        partition,
        items: entries.length,
        reason: String(error),
      });
    }
  }

  async #read(
    partition: PartitionNumber,
    { read, written }: PartitionProgress,
  ): Promise<void> {
    const { store, stream } = this.#options;
    for await (const page of readNewestPages(store, { stream, partition })) {
      for (const { key, value } of page.records) {
        if (value === undefined) continue;
        const entry = this.#decode(partition, key, value);
        if (!entry) continue;
        read.set(key, entry);
        written.set(key, entry.lastEventId);
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
      this.#options.logger.error("a record of progress cannot be read", {
        partition,
        key,
        reason: String(error),
      });
      return undefined;
    }
  }
}

function keyOf(job: JobId, item: number): string {
  return `${job}/${item}`;
}
