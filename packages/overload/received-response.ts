/**
 * Holds one response of the store from its arrival until it is decoded. It is not refused, since
 * what it holds has to be known; small responses are not counted.
 */

import { smallHoldingBytes } from "./constants.ts";
import type { Holding } from "./held-bytes.ts";

export interface ReceivedResponseOptions {
  readonly openHolding: () => Holding;
  readonly recordReceived: (bytes: number) => void;
}

export class ReceivedResponse implements Disposable {
  readonly #options: ReceivedResponseOptions;
  #holding: Holding | undefined;
  #bytes = 0;
  #isDisposed = false;

  constructor(options: ReceivedResponseOptions) {
    this.#options = options;
  }

  add(bytes: number): void {
    this.#bytes += bytes;
    this.#options.recordReceived(bytes);
    // A call that has failed may still receive a part of its response.
    if (this.#isDisposed || this.#bytes <= smallHoldingBytes) return;
    this.#holding ??= this.#options.openHolding();
    this.#holding.grow(this.#bytes - this.#holding.bytes);
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#holding?.dispose();
  }
}
