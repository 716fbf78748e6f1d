/**
 * Collects the chunks of one body. A body that arrives in one chunk is kept as it is; further
 * chunks are copied into blocks, since a chunk of one byte that is kept takes hundreds of bytes.
 * Blocks are used again, so that bodies that never become complete leave no garbage.
 */

import { Buffer } from "node:buffer";
import {
  blockBytes,
  chunkOverheadBytes,
  maximumFreeBlocks,
} from "./constants.ts";

/** Blocks of `blockBytes` each. */
export class BlockPool {
  readonly #free: Buffer[] = [];

  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
  }

  giveBack(blocks: readonly Buffer[]): void {
    const room = maximumFreeBlocks - this.#free.length;
    this.#free.push(...blocks.slice(0, Math.max(0, room)));
  }
}

export class BodyBuffer {
  readonly #pool: BlockPool;
  #first: Buffer | undefined;
  readonly #blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  #usedBytes = 0;
  #chunks = 0;
  #length = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  get length(): number {
    return this.#length;
  }

  /** Memory that the body takes, with what its chunks are charged. */
  get heldBytes(): number {
    return (this.#first?.length ?? 0) + this.#blocks.length * blockBytes +
      this.#chunks * chunkOverheadBytes;
  }

  append(chunk: Buffer): void {
    this.#chunks += 1;
    this.#length += chunk.length;
    if (this.#chunks === 1) {
      this.#first = chunk;
      return;
    }
    let position = 0;
    while (position < chunk.length) {
      if (this.#blocks.length === 0 || this.#usedBytes === blockBytes) {
        this.#blocks.push(this.#pool.take());
        this.#usedBytes = 0;
      }
      const copied = chunk.copy(
        this.#blocks.at(-1)!,
        this.#usedBytes,
        position,
      );
      position += copied;
      this.#usedBytes += copied;
    }
  }

  /** Returns the whole body and gives its blocks back. */
  take(): Buffer {
    const first = this.#first ?? Buffer.alloc(0);
    if (this.#blocks.length === 0) return first;
    const body = Buffer.allocUnsafeSlow(this.#length);
    let position = first.copy(body);
    for (const block of this.#blocks) position += block.copy(body, position);
    this.clear();
    return body;
  }

  /** Forgets what was received and gives the blocks back. */
  clear(): void {
    this.#pool.giveBack(this.#blocks);
    this.#blocks.length = 0;
    this.#first = undefined;
  }
}
