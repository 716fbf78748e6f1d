/**
 * Simulates the prefix cache of an engine with a bounded number of blocks. A prompt is split
 * into blocks of equal length; the key of a block is the hash of the prompt up to its end, so
 * only a common prefix is shared. The least recently used blocks are evicted first. Cache events
 * become visible after a lag, and a share of them is lost.
 */

import { hashNumber } from "../../common/hashing.ts";
import { maximumCacheEvents } from "../constants.ts";

export interface CacheEvent {
  readonly sequence: number;
  readonly time: number;
  readonly type: "stored" | "evicted";
  readonly block: string;
}

export interface PrefixCacheOptions {
  maximumBlocks: number;
  blockCharacters: number;
  eventLagMilliseconds: number;
  eventLossShare: number;
}

/** `hashNumber` returns 48 bits. */
const hashNumberRange = 2 ** 48;

export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #blocks = new Map<string, true>();
  #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Returns the keys of the complete blocks of a prompt. */
  blockKeys(prompt: string): string[] {
    const { blockCharacters } = this.#options;
    const keys: string[] = [];
    let previous = "";
    for (let end = blockCharacters; end <= prompt.length;) {
      const block = prompt.slice(end - blockCharacters, end);
      previous = hashNumber(previous + block).toString(36);
      keys.push(previous);
      end += blockCharacters;
    }
    return keys;
  }

  /**
   * Marks the longest cached prefix as recently used and returns its length in characters, which
   * need no prefill.
   */
  useCachedPrefix(keys: readonly string[]): number {
    let count = 0;
    for (const key of keys) {
      if (!this.#blocks.delete(key)) break;
      this.#blocks.set(key, true);
      count += 1;
    }
    return count * this.#options.blockCharacters;
  }

  /** Adds blocks as the most recently used, and evicts the oldest ones above the capacity. */
  store(keys: readonly string[]): void {
    for (const key of keys) {
      if (!this.#blocks.delete(key)) this.#publish("stored", key);
      this.#blocks.set(key, true);
    }
    for (const key of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#options.maximumBlocks) break;
      this.#blocks.delete(key);
      this.#publish("evicted", key);
    }
  }

  /** Returns visible events after a sequence number. A gap in the sequence is a lost event. */
  eventsAfter(sequence: number, limit = 1_000): CacheEvent[] {
    const newestVisibleTime = Date.now() - this.#options.eventLagMilliseconds;
    return this.#events
      .filter((event) =>
        event.sequence > sequence && event.time <= newestVisibleTime
      )
      .slice(0, limit);
  }

  #publish(type: CacheEvent["type"], block: string): void {
    const sequence = ++this.#sequence;
    const isLost = hashNumber(`event ${sequence}`) / hashNumberRange <
      this.#options.eventLossShare;
    if (isLost) return;
    this.#events.push({ sequence, time: Date.now(), type, block });
    if (this.#events.length >= 2 * maximumCacheEvents) {
      this.#events = this.#events.slice(-maximumCacheEvents);
    }
  }
}
