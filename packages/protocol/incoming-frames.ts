/**
 * Reads the frames of one peer within the budget of held bytes: a large frame reserves its size
 * before it is buffered, and the connection is not read until there is room. The bytes are released
 * when the frame has been decoded; whoever handles a large body reserves it for itself.
 */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { peerClient } from "../overload/client-id.ts";
import type { HeldBytes, Holding } from "../overload/held-bytes.ts";
import { frameIdleMilliseconds } from "./constants.ts";
import { FrameReader } from "./frames.ts";

const noBytes = Buffer.alloc(0);

export interface IncomingFramesOptions {
  readonly socket: Socket;
  readonly heldBytes: HeldBytes;
  /** Messages of a peer, or its replies, which are read although many messages wait. */
  readonly kind: "peer_frame" | "peer_reply";
  /** Called with the value of each frame; what it throws closes the connection. */
  readonly onValue: (value: unknown) => void;
  readonly onFailure: (error: unknown) => void;
}

export class IncomingFrames {
  readonly #options: IncomingFramesOptions;
  readonly #reader = new FrameReader({
    reserve: (bytes) => this.#reserve(bytes),
  });
  /** Holds the bytes of the large frame that is being read. */
  #holding: Holding | undefined;

  constructor(options: IncomingFramesOptions) {
    this.#options = options;
  }

  push(bytes: Uint8Array): void {
    const { socket, onValue, onFailure } = this.#options;
    try {
      for (const value of this.#reader.push(bytes)) onValue(value);
    } catch (error) {
      onFailure(error);
      socket.destroy();
      return this.dispose();
    }
    this.#holding?.recordProgress(bytes.length);
    const missingBytes = this.#reader.missingBytes;
    if (missingBytes > 0) return this.#wait(missingBytes);
    if (!this.#reader.isMidLargeFrame) this.dispose();
  }

  /** The connection is not read until the budget has room. */
  get isWaiting(): boolean {
    return this.#holding?.isWaiting ?? false;
  }

  /** Releases the bytes of a frame that is not complete. */
  dispose(): void {
    this.#holding?.dispose();
    this.#holding = undefined;
  }

  #reserve(bytes: number): boolean {
    const { heldBytes, kind, socket } = this.#options;
    if (!this.#holding) {
      this.#holding = heldBytes.open({ kind, client: peerClient });
      this.#holding.track({
        idleMilliseconds: frameIdleMilliseconds,
        evict: () => socket.destroy(),
      });
    }
    return this.#holding.bytes >= bytes || this.#holding.tryGrow(bytes);
  }

  #wait(bytes: number): void {
    const { socket } = this.#options;
    if (this.#holding?.isWaiting) return;
    socket.pause();
    this.#holding?.waitFor(bytes, () => {
      socket.resume();
      this.push(noBytes);
    });
  }
}
