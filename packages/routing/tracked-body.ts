/**
 * Reads response bodies: the start ahead, while a retry is still possible, and the rest with
 * callbacks for its end.
 */

/** A response body of which the start has been read. */
export interface ReadAheadBody {
  /** Chunks that were read already and have not been passed to the reader. */
  readonly chunks: Uint8Array[];
  /** The rest of the body, or undefined if it has ended. */
  readonly rest: AsyncIterator<Uint8Array> | undefined;
}

/** Reads the first chunk of a body, or the whole body if `isBuffered`. */
export async function readAhead(
  body: AsyncIterable<Uint8Array>,
  isBuffered: boolean,
): Promise<ReadAheadBody> {
  const iterator = body[Symbol.asyncIterator]();
  const chunks: Uint8Array[] = [];
  do {
    const result = await iterator.next();
    if (result.done) return { chunks, rest: undefined };
    chunks.push(result.value);
  } while (isBuffered);
  return { chunks, rest: iterator };
}

export interface TrackedBodyOptions {
  /** Called when the body has ended without an error. */
  onEnd: () => void;
  /** Called when reading the body fails. */
  onError: (error: unknown) => void;
  /** Called exactly once: at the end, after an error or when the reader stops early. */
  onFinish: () => void;
}

/** Iterates over a body and reports its end to the callbacks. */
export class TrackedBody implements AsyncIterableIterator<Uint8Array> {
  readonly #body: ReadAheadBody;
  readonly #options: TrackedBodyOptions;
  #isFinished = false;

  constructor(body: ReadAheadBody, options: TrackedBodyOptions) {
    this.#body = body;
    this.#options = options;
    if (!body.rest) this.#finishCleanly();
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array>> {
    const chunk = this.#body.chunks.shift();
    if (chunk) return { done: false, value: chunk };
    if (this.#isFinished || !this.#body.rest) {
      return { done: true, value: undefined };
    }
    try {
      const result = await this.#body.rest.next();
      if (result.done) this.#finishCleanly();
      return result;
    } catch (error) {
      if (!this.#isFinished) this.#options.onError(error);
      this.#finish();
      throw error;
    }
  }

  async return(): Promise<IteratorResult<Uint8Array>> {
    this.#body.chunks.length = 0;
    if (!this.#isFinished) {
      this.#finish();
      await this.#body.rest?.return?.();
    }
    return { done: true, value: undefined };
  }

  #finishCleanly(): void {
    if (this.#isFinished) return;
    this.#options.onEnd();
    this.#finish();
  }

  #finish(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#options.onFinish();
  }
}
