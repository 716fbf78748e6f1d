/**
 * Frames of the protocol between instances: a four-byte big-endian length, then one CBOR value.
 */

import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import { RosemaryrudderError } from "../common/errors.ts";
import {
  frameHeaderBytes,
  maximumFrameBytes,
  smallFrameBytes,
} from "./constants.ts";

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
  readonly #reserve: (bytes: number) => boolean;
  #buffered: Buffer = Buffer.alloc(0);
  /** A frame that is larger than one read; its bytes are copied to their place as they arrive. */
  #largeFrame: Buffer | undefined;
  #largeFrameBytes = 0;
  #missingBytes = 0;

  /**
   * `reserve` is asked before a large frame is buffered. If it returns false, the reader waits: the
   * connection is not to be read until `reserve` returns true and `push` is called again.
   */
  constructor({ reserve = () => true }: FrameReaderOptions = {}) {
    this.#reserve = reserve;
  }

  /** Size of the frame for which `reserve` has returned false; 0 if the reader does not wait. */
  get missingBytes(): number {
    return this.#missingBytes;
  }

  /** A large frame is not complete yet. */
  get isMidLargeFrame(): boolean {
    return this.#largeFrame !== undefined;
  }

  /** Adds bytes and returns the values of all frames that are now complete. */
  push(bytes: Uint8Array): unknown[] {
    // Bytes that a socket has read are not used again by it, so that they need not be copied.
    this.#buffered = this.#buffered.length === 0
      ? Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
      : Buffer.concat([this.#buffered, bytes]);
    const values: unknown[] = [];
    while (this.#takeFrame(values));
    return values;
  }

  /** Takes the next part of the buffered bytes; returns false if more bytes are needed. */
  #takeFrame(values: unknown[]): boolean {
    if (this.#largeFrame) return this.#continueLargeFrame(values);
    if (this.#buffered.length < frameHeaderBytes) return false;
    const length = this.#buffered.readUInt32BE();
    if (length > maximumFrameBytes) {
      throw new FrameError(
        `a frame of ${length} bytes exceeds the limit of ${maximumFrameBytes}`,
      );
    }
    const end = frameHeaderBytes + length;
    if (this.#buffered.length >= end) {
      values.push(
        decodeValue(this.#buffered.subarray(frameHeaderBytes, end)),
      );
      this.#buffered = this.#buffered.subarray(end);
      return true;
    }
    if (length <= smallFrameBytes) return false;
    if (!this.#reserve(length)) {
      this.#missingBytes = length;
      return false;
    }
    this.#missingBytes = 0;
    this.#largeFrame = Buffer.allocUnsafeSlow(length);
    this.#largeFrameBytes = 0;
    this.#buffered = this.#buffered.subarray(frameHeaderBytes);
    return true;
  }

  #continueLargeFrame(values: unknown[]): boolean {
    const frame = this.#largeFrame!;
    const copied = this.#buffered.copy(frame, this.#largeFrameBytes);
    this.#largeFrameBytes += copied;
    this.#buffered = this.#buffered.subarray(copied);
    if (this.#largeFrameBytes < frame.length) return false;
    this.#largeFrame = undefined;
    values.push(decodeValue(frame));
    return true;
  }
}

export interface FrameReaderOptions {
  readonly reserve?: (bytes: number) => boolean;
}
