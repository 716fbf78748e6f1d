/**
 * One link of the fault proxy: a listener that forwards its connections to one target with a
 * delay. The mode of the link can cut or freeze the connections or drop the target's answers.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { DelayQueue } from "./delay-queue.ts";
import type { LinkChange, LinkMode, LinkSettings } from "./settings.ts";
import {
  listenRetryIntervalMilliseconds,
  targetProbeIntervalMilliseconds,
} from "../constants.ts";

export interface LinkOptions {
  settings: LinkSettings;
  dropTimeoutMilliseconds: number;
}

interface Connection {
  readonly client: Socket;
  /** Undefined until the delay of the TCP handshake has passed. */
  target: Socket | undefined;
  /** Resets the connection; set when the first answer is dropped. */
  dropTimer: ReturnType<typeof setTimeout> | undefined;
}

export class Link {
  readonly #options: LinkOptions;
  readonly #connections = new Set<Connection>();
  readonly #dataQueue = new DelayQueue();
  readonly #handshakeQueue = new DelayQueue();
  #server: Server | undefined;
  #listenPort: number;
  #listenTimer: ReturnType<typeof setTimeout> | undefined;
  #probeTimer: ReturnType<typeof setTimeout> | undefined;
  #mode: LinkMode = "forward";
  #delayMilliseconds: number;
  #isClosed = false;
  /** Bytes received in both directions, including dropped answers. */
  #receivedBytes = 0;

  constructor(options: LinkOptions) {
    this.#options = options;
    this.#delayMilliseconds = options.settings.delayMilliseconds;
    this.#listenPort = options.settings.listenPort;
  }

  get name(): string {
    return this.#options.settings.name;
  }

  describe() {
    const { name, listenHost, targetHost, targetPort } = this.#options.settings;
    return {
      name,
      listenHost,
      listenPort: this.#listenPort,
      targetHost,
      targetPort,
      mode: this.#mode,
      delayMilliseconds: this.#delayMilliseconds,
      connections: this.#connections.size,
      bytes: this.#receivedBytes,
    };
  }

  /** Opens the listener; rejects if the port is in use. */
  async listen(): Promise<void> {
    const server = createServer(
      { allowHalfOpen: true, noDelay: true, pauseOnConnect: true },
      (client) => this.#accept(client),
    );
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      const { listenHost } = this.#options.settings;
      server.listen({ host: listenHost, port: this.#listenPort }, resolve);
    });
    const address = server.address();
    if (typeof address === "object" && address) {
      this.#listenPort = address.port;
    }
    this.#server = server;
  }

  async change({ mode, delayMilliseconds }: LinkChange): Promise<void> {
    this.#delayMilliseconds = delayMilliseconds ?? this.#delayMilliseconds;
    if (mode === undefined || mode === this.#mode) return;
    const previousMode = this.#mode;
    this.#mode = mode;
    if (previousMode === "freeze") this.#unfreeze();
    if (mode === "freeze") this.#freeze();
    if (mode === "cut") {
      this.#stopListening();
      this.#resetConnections();
    }
    if (previousMode === "cut") await this.#listenAgain();
  }

  close(): void {
    this.#isClosed = true;
    this.#stopListening();
    this.#resetConnections();
  }

  #stopListening(): void {
    clearTimeout(this.#listenTimer);
    clearTimeout(this.#probeTimer);
    this.#server?.close();
    this.#server = undefined;
  }

  /** Listens on the same port as before; retries if another process has taken it meanwhile. */
  async #listenAgain(): Promise<void> {
    if (this.#server || this.#isClosed || this.#mode === "cut") return;
    try {
      await this.listen();
      // The mode may have changed while the listener was opening.
      if (this.#isClosed || this.#mode as LinkMode === "cut") {
        this.#stopListening();
      }
    } catch {
      this.#listenTimer = setTimeout(
        () => void this.#listenAgain(),
        listenRetryIntervalMilliseconds,
      );
    }
  }

  #resetConnections(): void {
    this.#dataQueue.clear();
    this.#handshakeQueue.clear();
    for (const connection of [...this.#connections]) this.#reset(connection);
  }

  #reset(connection: Connection): void {
    clearTimeout(connection.dropTimer);
    this.#connections.delete(connection);
    connection.client.resetAndDestroy();
    connection.target?.resetAndDestroy();
  }

  #freeze(): void {
    this.#dataQueue.pause();
    this.#handshakeQueue.pause();
    for (const { client, target } of this.#connections) {
      client.pause();
      target?.pause();
    }
  }

  #unfreeze(): void {
    this.#dataQueue.resume();
    this.#handshakeQueue.resume();
    for (const { client, target } of this.#connections) {
      if (target) client.resume();
      target?.resume();
    }
  }

  #accept(client: Socket): void {
    const connection: Connection = {
      client,
      target: undefined,
      dropTimer: undefined,
    };
    this.#connections.add(connection);
    client.on("error", () => this.#reset(connection));
    // A TCP handshake takes one round trip before the client can send its first byte.
    this.#handshakeQueue.add(
      2 * this.#delayMilliseconds,
      () => this.#connectTarget(connection),
    );
  }

  #connectTarget(connection: Connection): void {
    if (!this.#connections.has(connection)) return;
    const { targetHost: host, targetPort: port } = this.#options.settings;
    const { client } = connection;
    const target = connect({ host, port, allowHalfOpen: true, noDelay: true });
    connection.target = target;
    target.on("error", (error) => {
      if ("syscall" in error && error.syscall === "connect") {
        this.#refuseUntilTargetListens();
      }
      this.#reset(connection);
    });
    this.#pipe(connection, client, target, false);
    this.#pipe(connection, target, client, true);
    if (this.#mode === "freeze") target.pause();
    else client.resume();
  }

  #pipe(
    connection: Connection,
    source: Socket,
    destination: Socket,
    isAnswer: boolean,
  ): void {
    source.on("data", (bytes: Uint8Array) => {
      this.#receivedBytes += bytes.length;
      if (isAnswer && this.#mode === "drop_answers") {
        return this.#dropAnswer(connection);
      }
      this.#dataQueue.add(this.#delayMilliseconds, () => {
        if (destination.destroyed) return;
        if (!destination.write(bytes)) source.pause();
      });
    });
    destination.on("drain", () => {
      if (this.#mode !== "freeze") source.resume();
    });
    source.on("end", () => {
      this.#dataQueue.add(this.#delayMilliseconds, () => destination.end());
    });
    source.on("close", () => {
      this.#dataQueue.add(this.#delayMilliseconds, () => {
        if (!destination.destroyed) destination.destroySoon();
        if (destination.destroyed) this.#removeConnection(connection);
      });
    });
  }

  #removeConnection(connection: Connection): void {
    clearTimeout(connection.dropTimer);
    this.#connections.delete(connection);
  }

  #dropAnswer(connection: Connection): void {
    connection.dropTimer ??= setTimeout(
      () => this.#reset(connection),
      this.#options.dropTimeoutMilliseconds,
    );
  }

  /**
   * Closes the listener until a probe reaches the target. While the target does not listen, a
   * client must see "connection refused", because this proves that its request has not run.
   */
  #refuseUntilTargetListens(): void {
    if (!this.#server) return;
    this.#stopListening();
    this.#probeTimer = setTimeout(
      () => this.#probeTarget(),
      targetProbeIntervalMilliseconds,
    );
  }

  #probeTarget(): void {
    if (this.#isClosed || this.#mode === "cut") return;
    const { targetHost: host, targetPort: port } = this.#options.settings;
    const socket = connect({ host, port });
    socket.on("connect", () => {
      socket.destroy();
      void this.#listenAgain();
    });
    socket.on("error", () => {
      this.#probeTimer = setTimeout(
        () => this.#probeTarget(),
        targetProbeIntervalMilliseconds,
      );
    });
  }
}
