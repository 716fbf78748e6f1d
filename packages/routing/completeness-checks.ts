/**
 * Completeness of chat answers. An engine that dies can end its answer without breaking the
 * HTTP framing, so the content itself must show that it is whole.
 */

import { Buffer } from "node:buffer";
import { UpstreamError } from "../common/errors.ts";
import { maximumBufferedResponseBytes } from "./constants.ts";

export interface CompletenessCheck {
  /** Chunks that may be passed on now. */
  push(chunk: Uint8Array): Uint8Array | undefined;
  /** Called at the end of the body; throws if the answer is not whole. */
  end(): Uint8Array | undefined;
}

/** Longest text of the last event, with what stands before and after it on its line. */
const tailLength = 24;
const doneEvent = /(?:^|[\r\n])data: ?\[DONE\](?:[\r\n]|$)/;

export class EventStreamCheck implements CompletenessCheck {
  #tail = "";
  #isDone = false;

  push(chunk: Uint8Array): Uint8Array {
    if (!this.#isDone) {
      const bytes = Buffer.from(
        chunk.buffer,
        chunk.byteOffset,
        chunk.byteLength,
      );
      const text = this.#tail + bytes.toString("latin1");
      if (text.includes("[DONE]")) this.#isDone = doneEvent.test(text);
      this.#tail = text.slice(-tailLength);
    }
    return chunk;
  }

  end(): undefined {
    if (!this.#isDone) {
      throw new UpstreamError(
        "upstream_truncated",
        "the stream ended without its last event",
        { verdict: "ran" },
      );
    }
    return undefined;
  }
}

/** Holds the answer back until it is known to be valid JSON. */
export class JsonBodyCheck implements CompletenessCheck {
  readonly #chunks: Uint8Array[] = [];
  #bytes = 0;

  push(chunk: Uint8Array): undefined {
    this.#bytes += chunk.byteLength;
    if (this.#bytes > maximumBufferedResponseBytes) {
      throw new UpstreamError(
        "upstream_answer_too_large",
        `the answer is larger than ${maximumBufferedResponseBytes} bytes`,
        { verdict: "ran" },
      );
    }
    this.#chunks.push(chunk);
    return undefined;
  }

  end(): Uint8Array {
    const bytes = Buffer.concat(this.#chunks);
    try {
      JSON.parse(bytes.toString("utf8"));
    } catch {
      throw new UpstreamError(
        "upstream_truncated",
        `the answer of ${bytes.length} bytes is not valid JSON`,
        { verdict: "ran" },
      );
    }
    return bytes;
  }
}
