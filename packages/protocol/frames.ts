/**
 * Frames of the protocol between instances: a four-byte big-endian length, then one CBOR value.
 */

import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import { RosemaryrudderError } from "../common/errors.ts";
import { frameHeaderBytes, maximumFrameBytes } from "./constants.ts";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

export class FrameError extends RosemaryrudderError {
  constructor(message: string, options: ErrorOptions = {}) {
    super("bad_frame", message, options);
  }
}

export function encodeValue(value: unknown): Buffer {
  return encoder.encode(value);
}

/** Decodes one CBOR value; throws a FrameError for anything else. */
export function decodeValue(bytes: Uint8Array): unknown {
  try {
    return decoder.decode(bytes);
  } catch (cause) {
    throw new FrameError("the bytes are not a CBOR value", { cause });
  }
}

export function encodeFrame(value: unknown): Buffer {
  const body = encodeValue(value);
  if (body.length > maximumFrameBytes) {
    throw new FrameError(
      `a frame of ${body.length} bytes exceeds the limit of ${maximumFrameBytes}`,
    );
  }
  const header = Buffer.allocUnsafe(frameHeaderBytes);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/** Reassembles frames from the bytes that arrive on a connection. */
export class FrameReader {
  #buffered: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the values of all frames that are now complete. */
  push(bytes: Uint8Array): unknown[] {
    this.#buffered = this.#buffered.length === 0
      ? Buffer.from(bytes)
      : Buffer.concat([this.#buffered, bytes]);
    const values: unknown[] = [];
    let position = 0;
    while (this.#buffered.length - position >= frameHeaderBytes) {
      const length = this.#buffered.readUInt32BE(position);
      if (length > maximumFrameBytes) {
        throw new FrameError(
          `a frame of ${length} bytes exceeds the limit of ${maximumFrameBytes}`,
        );
      }
      const end = position + frameHeaderBytes + length;
      if (this.#buffered.length < end) break;
      values.push(
        decodeValue(this.#buffered.subarray(position + frameHeaderBytes, end)),
      );
      position = end;
    }
    this.#buffered = this.#buffered.subarray(position);
    return values;
  }
}
