/**
 * Holds an answer back until it is complete, so that its request can still be sent to another
 * server. A large answer is released before its end.
 */

import type { Buffer } from "node:buffer";
import type { Holding } from "../overload/held-bytes.ts";
import { maximumHeldAnswerBytes } from "./constants.ts";

export class HeldAnswer {
  readonly #openHolding: () => Holding;
  #holding: Holding | undefined;
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(openHolding: () => Holding) {
    this.#openHolding = openHolding;
  }

  /** Adds bytes; returns true if the answer is too large to be held any longer. */
  add(chunk: Buffer): boolean {
    this.#holding ??= this.#openHolding();
    const hasRoom = this.#holding.tryGrow(chunk.length);
    this.#chunks.push(chunk);
    this.#bytes += chunk.length;
    return !hasRoom || this.#bytes > maximumHeldAnswerBytes;
  }

  /** Returns what was held and forgets it. */
  release(): Buffer[] {
    const chunks = this.#chunks;
    this.#holding?.dispose();
    this.#holding = undefined;
    this.#chunks = [];
    this.#bytes = 0;
    return chunks;
  }
}
