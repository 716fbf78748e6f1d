/**
 * The network between instances: a listener for frames from peers and one outgoing connection to
 * each peer that is used. Handlers are registered by message type. The network only transports
 * messages; decisions are taken from the records of the log.
 */

import type { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { type Clock, systemClock } from "../common/clock.ts";
import { PeerUnavailableError, RosemaryrudderError } from "../common/errors.ts";
import type { Incarnation, InstanceId } from "../common/ids.ts";
import { listenOn } from "../common/listen.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import { HeldBytes } from "../overload/held-bytes.ts";
import { unknownMachineLimits } from "../overload/resource-limits.ts";
import {
  type ConnectionTimings,
  deriveConnectionTimings,
} from "../transport/connection-timings.ts";
import { maximumQueuedBytes, protocolVersion } from "./constants.ts";
import { type Envelope, envelopeSchema } from "./envelope.ts";
import { encodeFrame, FrameError } from "./frames.ts";
import { IncomingFrames } from "./incoming-frames.ts";
import { type PeerAddress, PeerConnection } from "./peer-connection.ts";
import type { PeerMessage } from "./peer-message.ts";

export interface PeerSender {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
}

export type PeerHandler<Request, Reply> = (
  body: Request,
  sender: PeerSender,
) => Reply | Promise<Reply>;

/** The interface that other packages use; tests replace it with a fake. */
export interface PeerNetwork {
  send<Request, Reply>(
    instance: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
  ): void;
  request<Request, Reply>(
    instance: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
    options: { deadlineMilliseconds: number },
  ): Promise<Reply>;
  handle<Request, Reply>(
    message: PeerMessage<Request, Reply>,
    handler: PeerHandler<Request, Reply>,
  ): void;
}

export interface TcpPeerNetworkOptions {
  instance: InstanceId;
  incarnation: Incarnation;
  host?: string;
  port?: number;
  /** Maps an advertised address to the one to dial, such as that of a fault proxy. */
  dialAddress?: (address: PeerAddress) => PeerAddress;
  timings?: ConnectionTimings;
  clock?: Clock;
  logger?: Logger;
  /** Budget of the process, in which large frames are reserved. */
  heldBytes?: HeldBytes;
  maximumConnections?: number;
}

interface RegisteredHandler {
  message: PeerMessage<unknown, unknown>;
  handler: PeerHandler<unknown, unknown>;
}

export class TcpPeerNetwork implements PeerNetwork {
  readonly #options: Required<TcpPeerNetworkOptions>;
  readonly #handlers = new Map<string, RegisteredHandler>();
  readonly #connections = new Map<InstanceId, PeerConnection>();
  readonly #addresses = new Map<InstanceId, PeerAddress>();
  readonly #incomingSockets = new Set<Socket>();
  #incarnation: Incarnation;
  #server: Server | undefined;
  bytesSent = 0;
  bytesReceived = 0;

  constructor(options: TcpPeerNetworkOptions) {
    this.#options = {
      host: "127.0.0.1",
      port: 0,
      dialAddress: (address) => address,
      timings: deriveConnectionTimings(),
      clock: systemClock,
      logger: silentLogger,
      heldBytes: new HeldBytes({ limitBytes: unknownMachineLimits.heldBytes }),
      maximumConnections: unknownMachineLimits.peerConnections,
      ...options,
    };
    this.#incarnation = options.incarnation;
  }

  /** Starts the listener and returns its port. */
  listen(): Promise<number> {
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = this.#options.maximumConnections;
    this.#server = server;
    return listenOn(server, this.#options);
  }

  /** Sets the incarnation after a rejoin. New connections announce it; the old ones are closed. */
  setIncarnation(incarnation: Incarnation): void {
    this.#incarnation = incarnation;
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  /** Replaces the known peers and closes connections to peers that have left or moved. */
  setPeers(peers: ReadonlyMap<InstanceId, PeerAddress>): void {
    for (const [instance, connection] of this.#connections) {
      const address = peers.get(instance);
      const dialedAddress = address && this.#options.dialAddress(address);
      const isSameAddress = dialedAddress?.host === connection.address.host &&
        dialedAddress.port === connection.address.port;
      if (isSameAddress) continue;
      connection.close();
      this.#connections.delete(instance);
    }
    this.#addresses.clear();
    for (const [instance, address] of peers) {
      this.#addresses.set(instance, address);
    }
  }

  /** Closes the connection to a peer; the next message opens a new one. */
  reconnect(instance: InstanceId): void {
    this.#connections.get(instance)?.close();
    this.#connections.delete(instance);
  }

  /** Replaces the connections on which no reply is awaited, since they may have gone silent. */
  renewIdleConnections(): void {
    for (const [instance, connection] of this.#connections) {
      if (connection.isIdle) this.reconnect(instance);
    }
  }

  send<Request, Reply>(
    instance: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
  ): void {
    this.#connectionTo(instance)?.send(message.type, body);
  }

  async request<Request, Reply>(
    instance: InstanceId,
    message: PeerMessage<Request, Reply>,
    body: Request,
    { deadlineMilliseconds }: { deadlineMilliseconds: number },
  ): Promise<Reply> {
    if (instance === this.#options.instance) {
      return await this.#callLocally(message, body);
    }
    const connection = this.#connectionTo(instance);
    if (!connection) {
      throw new PeerUnavailableError(`no address is known for ${instance}`);
    }
    return message.parseReply(
      await connection.request(message.type, body, deadlineMilliseconds),
    );
  }

  handle<Request, Reply>(
    message: PeerMessage<Request, Reply>,
    handler: PeerHandler<Request, Reply>,
  ): void {
    this.#handlers.set(
      message.type,
      { message, handler } as unknown as RegisteredHandler,
    );
  }

  async close(): Promise<void> {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
    for (const socket of this.#incomingSockets) socket.destroy();
    const server = this.#server;
    if (server) {
      await new Promise<void>((resolve) => server.close(() => resolve()));
    }
  }

  async #callLocally<Request, Reply>(
    message: PeerMessage<Request, Reply>,
    body: Request,
  ): Promise<Reply> {
    const registered = this.#handlers.get(message.type);
    if (!registered) {
      throw new PeerUnavailableError(`no handler for ${message.type}`);
    }
    const sender = {
      instance: this.#options.instance,
      incarnation: this.#incarnation,
    };
    return await registered.handler(body, sender) as Reply;
  }

  #connectionTo(instance: InstanceId): PeerConnection | undefined {
    const existing = this.#connections.get(instance);
    if (existing) return existing;
    const address = this.#addresses.get(instance);
    if (!address) return undefined;
    const connection = new PeerConnection({
      address: this.#options.dialAddress(address),
      hello: {
        kind: "hello",
        protocol: protocolVersion,
        instance: this.#options.instance,
        incarnation: this.#incarnation,
      },
      silenceTimeoutMilliseconds:
        this.#options.timings.checkIntervalMilliseconds,
      clock: this.#options.clock,
      logger: this.#options.logger,
      heldBytes: this.#options.heldBytes,
      onBytesSent: (bytes) => this.bytesSent += bytes,
      onBytesReceived: (bytes) => this.bytesReceived += bytes,
    });
    this.#connections.set(instance, connection);
    return connection;
  }

  #accept(socket: Socket): void {
    this.#incomingSockets.add(socket);
    socket.setNoDelay(true);
    let sender: PeerSender | undefined;
    const handleEnvelope = (envelope: Envelope) => {
      if (envelope.kind === "hello") {
        sender = {
          instance: envelope.instance as InstanceId,
          incarnation: envelope.incarnation as Incarnation,
        };
      } else if (
        sender && (envelope.kind === "send" || envelope.kind === "request")
      ) {
        void this.#dispatch(socket, envelope, sender);
      }
    };
    const frames = new IncomingFrames({
      socket,
      heldBytes: this.#options.heldBytes,
      kind: "peer_frame",
      onValue: (value) => handleEnvelope(envelopeSchema.parse(value)),
      onFailure: (error) =>
        this.#options.logger.warn("a peer sent a frame that cannot be read", {
          peer: sender?.instance ?? "unknown",
          reason: String(error),
        }),
    });
    socket.on("data", (bytes) => {
      this.bytesReceived += bytes.length;
      frames.push(bytes);
    });
    socket.on("close", () => frames.dispose());
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#incomingSockets.delete(socket));
  }

  async #dispatch(
    socket: Socket,
    envelope: Extract<Envelope, { kind: "send" | "request" }>,
    sender: PeerSender,
  ): Promise<void> {
    const result = await this.#runHandler(envelope, sender);
    if (envelope.kind !== "request" || socket.destroyed) return;
    const frame = this.#encodeReply(envelope.id, result);
    if (socket.writableLength > maximumQueuedBytes) {
      socket.destroy();
      return;
    }
    this.bytesSent += frame.length;
    socket.write(frame);
  }

  /** A reply that no frame can hold becomes a failure, so that the peer need not wait. */
  #encodeReply(id: number, result: object): Buffer {
    try {
      return encodeFrame({ ...result, id });
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      const { code, message } = error;
      this.#options.logger.warn("a reply to a peer cannot be sent", {
        reason: message,
      });
      return encodeFrame({ kind: "failure", id, code, message });
    }
  }

  async #runHandler(
    envelope: { type: string; body?: unknown },
    sender: PeerSender,
  ) {
    try {
      const registered = this.#handlers.get(envelope.type);
      if (!registered) {
        throw new RosemaryrudderError(
          "unknown_message",
          `no handler for ${envelope.type}`,
        );
      }
      const request = registered.message.parseRequest(envelope.body);
      const body = await registered.handler(request, sender);
      return { kind: "reply" as const, body: body ?? null };
    } catch (error) {
      const code = error instanceof RosemaryrudderError
        ? error.code
        : "handler_failed";
      const message = error instanceof Error ? error.message : String(error);
      if (!(error instanceof RosemaryrudderError)) {
        this.#options.logger.warn("a peer message could not be handled", {
          type: envelope.type,
          peer: sender.instance,
          reason: message,
        });
      }
      return { kind: "failure" as const, code, message };
    }
  }
}
