/**
 * Queue of response body chunks between the connection to the upstream and the reader, with
 * back-pressure. The iteration ends normally only after `end`; `fail` makes it throw.
 */

import { responseBufferBytes } from "./constants.ts";

export interface ResponseBodyOptions {
  /** Called to pause or resume reading from the connection. */
  onPause: (isPaused: boolean) => void;
  /** Called when the reader stops before the end of the body. */
  onCancel: () => void;
}

/** A call of `next` that waits for a chunk. */
interface PendingRead {
  resolve(result: IteratorResult<Uint8Array>): void;
  reject(error: unknown): void;
}

export class ResponseBody implements AsyncIterableIterator<Uint8Array> {
  readonly #options: ResponseBodyOptions;
  readonly #chunks: Uint8Array[] = [];
  #queuedBytes = 0;
  #isPaused = false;
  #isEnded = false;
  #error: unknown;
  #pendingRead: PendingRead | undefined;

  constructor(options: ResponseBodyOptions) {
    this.#options = options;
  }

  push(chunk: Uint8Array): void {
    if (this.#isEnded) return;
    const pendingRead = this.#pendingRead;
    if (pendingRead) {
      this.#pendingRead = undefined;
      pendingRead.resolve({ done: false, value: chunk });
      return;
    }
    this.#chunks.push(chunk);
    this.#queuedBytes += chunk.byteLength;
    if (!this.#isPaused && this.#queuedBytes > responseBufferBytes) {
      this.#isPaused = true;
      this.#options.onPause(true);
    }
  }

  end(): void {
    this.#isEnded = true;
    this.#pendingRead?.resolve({ done: true, value: undefined });
    this.#pendingRead = undefined;
  }

  fail(error: unknown): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (this.#pendingRead) {
      this.#pendingRead.reject(error);
      this.#pendingRead = undefined;
    } else {
      this.#error = error;
    }
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array>> {
    const chunk = this.#chunks.shift();
    if (chunk) {
      this.#queuedBytes -= chunk.byteLength;
      if (this.#isPaused && this.#queuedBytes <= responseBufferBytes / 2) {
        this.#isPaused = false;
        this.#options.onPause(false);
      }
      return Promise.resolve({ done: false, value: chunk });
    }
    if (this.#error !== undefined) {
      const error = this.#error;
      this.#error = undefined;
      return Promise.reject(error);
    }
    if (this.#isEnded) return Promise.resolve({ done: true, value: undefined });
    return new Promise((resolve, reject) => {
      this.#pendingRead = { resolve, reject };
    });
  }

  return(): Promise<IteratorResult<Uint8Array>> {
    this.#chunks.length = 0;
    this.#error = undefined;
    if (!this.#isEnded) {
      this.end();
      this.#options.onCancel();
    }
    return Promise.resolve({ done: true, value: undefined });
  }
}
