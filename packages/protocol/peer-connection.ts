/**
 * An outgoing connection to a peer. It carries one-way messages, requests and the replies to these
 * requests. After a failure it reconnects at its next use.
 */

import { connect, type Socket } from "node:net";
import { PeerUnavailableError, RosemaryrudderError } from "../common/errors.ts";
import type { Clock } from "../common/clock.ts";
import type { Logger } from "../common/logging.ts";
import type { HeldBytes } from "../overload/held-bytes.ts";
import {
  connectTimeoutMilliseconds,
  maximumQueuedBytes,
  reconnectDelayMilliseconds,
} from "./constants.ts";
import { type Envelope, envelopeSchema } from "./envelope.ts";
import { encodeFrame } from "./frames.ts";
import { IncomingFrames } from "./incoming-frames.ts";

export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

export interface PeerConnectionOptions {
  address: PeerAddress;
  hello: Envelope;
  /**
   * The connection is replaced if a request on it times out and nothing has arrived on it for
   * longer than this.
   */
  silenceTimeoutMilliseconds: number;
  clock: Clock;
  logger: Logger;
  /** Budget of the process, in which large replies are reserved. */
  heldBytes: HeldBytes;
  onBytesSent?: (bytes: number) => void;
  onBytesReceived?: (bytes: number) => void;
}

interface PendingRequest {
  resolve: (body: unknown) => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

/** The peer's handler refused the request or failed; the code is the one that the peer sent. */
export class PeerHandlerError extends RosemaryrudderError {}

export class PeerConnection {
  readonly address: PeerAddress;
  readonly #options: PeerConnectionOptions;
  readonly #pendingRequests = new Map<number, PendingRequest>();
  #socket: Socket | undefined;
  /** Reads the socket. */
  #frames: IncomingFrames | undefined;
  #nextRequestId = 1;
  #lastReceivedAt = 0;
  #lastDisconnectedAt = Number.NEGATIVE_INFINITY;
  #isClosed = false;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
    this.address = options.address;
  }

  /**
   * Sends a one-way message, which is lost if the peer cannot be reached; returns false if it could
   * not even be queued.
   */
  send(type: string, body: unknown): boolean {
    return this.#write({ kind: "send", type, body });
  }

  /**
   * Sends a request and resolves with the body of its reply. Rejects with a PeerHandlerError if the
   * peer's handler fails, and with a PeerUnavailableError if the connection fails or no reply
   * arrives before the deadline.
   */
  request(
    type: string,
    body: unknown,
    deadlineMilliseconds: number,
  ): Promise<unknown> {
    const id = this.#nextRequestId++;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => this.#handleTimeout(id),
        deadlineMilliseconds,
      );
      this.#pendingRequests.set(id, { resolve, reject, timer });
      if (!this.#write({ kind: "request", id, type, body })) {
        this.#takePendingRequest(id)?.reject(
          new PeerUnavailableError("no connection to the peer"),
        );
      }
    });
  }

  /** True while no request waits for a reply, so that closing the connection loses none. */
  get isIdle(): boolean {
    return this.#pendingRequests.size === 0;
  }

  close(): void {
    this.#isClosed = true;
    this.#dropSocket(this.#socket, "closed");
  }

  #write(envelope: Envelope): boolean {
    const socket = this.#ensureSocket();
    if (!socket || socket.writableLength > maximumQueuedBytes) return false;
    const frame = encodeFrame(envelope);
    this.#options.onBytesSent?.(frame.length);
    socket.write(frame);
    return true;
  }

  #ensureSocket(): Socket | undefined {
    if (this.#isClosed) return undefined;
    if (this.#socket) return this.#socket;
    const now = this.#options.clock.monotonicNow();
    if (now - this.#lastDisconnectedAt < reconnectDelayMilliseconds) {
      return undefined;
    }
    const socket = connect({ ...this.address, noDelay: true });
    const frames = this.#createFrames(socket);
    this.#socket = socket;
    this.#frames = frames;
    this.#lastReceivedAt = now;
    const connectTimer = setTimeout(
      () => this.#dropSocket(socket, "connect timeout"),
      connectTimeoutMilliseconds,
    );
    socket.once("connect", () => clearTimeout(connectTimer));
    socket.on("data", (bytes) => {
      this.#lastReceivedAt = this.#options.clock.monotonicNow();
      this.#options.onBytesReceived?.(bytes.length);
      frames.push(bytes);
    });
    socket.on("error", (error) => this.#dropSocket(socket, error.message));
    socket.on("close", () => {
      clearTimeout(connectTimer);
      frames.dispose();
      this.#dropSocket(socket, "closed by the peer");
    });
    const hello = encodeFrame(this.#options.hello);
    this.#options.onBytesSent?.(hello.length);
    socket.write(hello);
    return socket;
  }

  #createFrames(socket: Socket): IncomingFrames {
    const { heldBytes, logger } = this.#options;
    return new IncomingFrames({
      socket,
      heldBytes,
      kind: "peer_reply",
      onValue: (value) => this.#handleEnvelope(envelopeSchema.parse(value)),
      onFailure: (error) => {
        logger.warn("a peer sent a frame that cannot be read", {
          host: this.address.host,
          port: this.address.port,
          reason: String(error),
        });
        this.#dropSocket(socket, "bad frame");
      },
    });
  }

  #handleEnvelope(envelope: Envelope): void {
    if (envelope.kind === "reply") {
      this.#takePendingRequest(envelope.id)?.resolve(envelope.body);
    } else if (envelope.kind === "failure") {
      this.#takePendingRequest(envelope.id)?.reject(
        new PeerHandlerError(envelope.code, envelope.message),
      );
    }
  }

  #handleTimeout(id: number): void {
    this.#takePendingRequest(id)?.reject(
      new PeerUnavailableError("the peer did not reply before the deadline"),
    );
    // The reply may have arrived, but not been read, since the budget had no room for it.
    if (this.#frames?.isWaiting) return;
    const silentMilliseconds = this.#options.clock.monotonicNow() -
      this.#lastReceivedAt;
    if (silentMilliseconds > this.#options.silenceTimeoutMilliseconds) {
      this.#dropSocket(this.#socket, "silent");
    }
  }

  #takePendingRequest(id: number): PendingRequest | undefined {
    const pending = this.#pendingRequests.get(id);
    if (!pending) return undefined;
    this.#pendingRequests.delete(id);
    clearTimeout(pending.timer);
    return pending;
  }

  #dropSocket(socket: Socket | undefined, reason: string): void {
    if (!socket || socket !== this.#socket) return;
    this.#socket = undefined;
    this.#lastDisconnectedAt = this.#options.clock.monotonicNow();
    socket.destroy();
    for (const id of [...this.#pendingRequests.keys()]) {
      this.#takePendingRequest(id)?.reject(
        new PeerUnavailableError(`connection to the peer lost: ${reason}`),
      );
    }
  }
}
