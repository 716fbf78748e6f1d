/**
 * Holds an answer back until it is complete, so that its request can still be sent to another
 * server. A large answer is released before its end.
 */

import type { Buffer } from "node:buffer";
import { maximumHeldAnswerBytes } from "./constants.ts";

export class HeldAnswer {
  #chunks: Buffer[] = [];
  #bytes = 0;

  /** Adds bytes; returns true if the answer is too large to be held any longer. */
  add(chunk: Buffer): boolean {
    this.#chunks.push(chunk);
    this.#bytes += chunk.length;
    return this.#bytes > maximumHeldAnswerBytes;
  }

  /** Returns what was held and forgets it. */
  release(): Buffer[] {
    const chunks = this.#chunks;
    this.#chunks = [];
    this.#bytes = 0;
    return chunks;
  }
}
