/**
 * Counts the bytes that this instance has written to the store within the time for which the store
 * keeps every record. Together with the older live records they make up the stored volume.
 */

import { Buffer } from "node:buffer";
import {
  type KeyedEntry,
  type KeyedStore,
  StoreRejectedError,
  StoreUnavailableError,
} from "./keyed-store.ts";

/** Bytes that the store counts for a record in addition to its key and value. */
const recordHeaderBytes = 5;
const bucketMilliseconds = 1_000;

/** Bytes that a record takes up in the store. */
export function storedBytes({ key, value }: KeyedEntry): number {
  return recordHeaderBytes + Buffer.byteLength(key) + (value?.length ?? 0);
}

export interface WriteMeterOptions {
  /** How long the store keeps every record. */
  readonly historyMilliseconds: number;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

export class WriteMeter {
  readonly #options: WriteMeterOptions;
  /** Bytes by the number of the second in which they were written. */
  readonly #buckets = new Map<number, number>();

  constructor(options: WriteMeterOptions) {
    this.#options = options;
  }

  /** Bytes written within the history, and in the second before. */
  get recentBytes(): number {
    const { historyMilliseconds, now } = this.#options;
    const oldest =
      Math.floor((now() - historyMilliseconds) / bucketMilliseconds) -
      1;
    let sum = 0;
    for (const [bucket, bytes] of this.#buckets) {
      if (bucket < oldest) this.#buckets.delete(bucket);
      else sum += bytes;
    }
    return sum;
  }

  /** Counts a write from its beginning on, and takes it back if it certainly had no effect. */
  async measure<Result>(
    entries: readonly KeyedEntry[],
    write: () => Promise<Result>,
  ): Promise<Result> {
    const bytes = entries.reduce((sum, entry) => sum + storedBytes(entry), 0);
    const bucket = Math.floor(this.#options.now() / bucketMilliseconds);
    this.#add(bucket, bytes);
    try {
      return await write();
    } catch (error) {
      const hadNoEffect = error instanceof StoreRejectedError ||
        (error instanceof StoreUnavailableError && !error.mayHaveTakenEffect);
      if (hadNoEffect) this.#add(bucket, -bytes);
      throw error;
    }
  }

  #add(bucket: number, bytes: number): void {
    this.#buckets.set(bucket, (this.#buckets.get(bucket) ?? 0) + bytes);
  }
}

/** Returns a store whose writes are counted. */
export function meterWrites(store: KeyedStore, meter: WriteMeter): KeyedStore {
  return {
    append: (target, entries, rules) =>
      meter.measure(entries, () => store.append(target, entries, rules)),
    read: (...call) => store.read(...call),
    readNewest: (...call) => store.readNewest(...call),
    join: (...call) => store.join(...call),
    leave: (...call) => store.leave(...call),
  };
}
