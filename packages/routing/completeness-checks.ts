/**
 * Checks that the body of a chat response is complete. An engine that crashes can end its
 * response with valid HTTP framing, so completeness must be verified from the content.
 */

import { Buffer } from "node:buffer";
import { UpstreamError } from "../common/errors.ts";
import { maximumBufferedResponseBytes } from "./constants.ts";

export interface CompletenessCheck {
  /** Takes a chunk and returns the bytes that may be passed on now, if any. */
  push(chunk: Uint8Array): Uint8Array | undefined;
  /** Called at the end of the body; returns withheld bytes, or throws if it is incomplete. */
  end(): Uint8Array | undefined;
}

/**
 * Characters kept from the chunks so far, so that a done event split over chunks is found. Covers
 * the longest form of the event with the line breaks before and after it.
 */
const tailLength = 24;
const doneEvent = /(?:^|[\r\n])data: ?\[DONE\](?:[\r\n]|$)/;

/** Passes chunks on at once and checks that the stream contained the event `data: [DONE]`. */
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
        "the stream ended without the event data: [DONE]",
        { verdict: "ran" },
      );
    }
    return undefined;
  }
}

/** Withholds the body until it is complete and known to be valid JSON. */
export class JsonBodyCheck implements CompletenessCheck {
  readonly #chunks: Uint8Array[] = [];
  #bytes = 0;

  push(chunk: Uint8Array): undefined {
    this.#bytes += chunk.byteLength;
    if (this.#bytes > maximumBufferedResponseBytes) {
      throw new UpstreamError(
        "upstream_answer_too_large",
        `the response is larger than ${maximumBufferedResponseBytes} bytes`,
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
        `the response of ${bytes.length} bytes is not valid JSON`,
        { verdict: "ran" },
      );
    }
    return bytes;
  }
}
