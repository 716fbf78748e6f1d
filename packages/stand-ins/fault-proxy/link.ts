/**
 * One link of the fault proxy: a listener whose connections are forwarded to one target with a
 * delay, or cut, frozen or robbed of their answers.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { DelayQueue } from "./delay-queue.ts";
import type { LinkChange, LinkMode, LinkSettings } from "./settings.ts";
import {
  listenRetryMilliseconds,
  targetProbeMilliseconds,
} from "../constants.ts";

export interface LinkOptions {
  settings: LinkSettings;
  dropTimeoutMilliseconds: number;
}

interface Connection {
  readonly caller: Socket;
  /** Undefined until the handshake's delay has passed. */
  target: Socket | undefined;
  /** Set once an answer has been dropped. */
  dropTimer: ReturnType<typeof setTimeout> | undefined;
}

export class Link {
  readonly #options: LinkOptions;
  readonly #connections = new Set<Connection>();
  readonly #data = new DelayQueue();
  readonly #handshakes = new DelayQueue();
  #server: Server | undefined;
  #listenPort: number;
  #listenTimer: ReturnType<typeof setTimeout> | undefined;
  #probeTimer: ReturnType<typeof setTimeout> | undefined;
  #mode: LinkMode = "forward";
  #delayMilliseconds: number;
  #isClosed = false;
  #bytes = 0;

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
      bytes: this.#bytes,
    };
  }

  /** Opens the listener; rejects if the port is in use. */
  async listen(): Promise<void> {
    const server = createServer(
      { allowHalfOpen: true, noDelay: true, pauseOnConnect: true },
      (caller) => this.#accept(caller),
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
    const before = this.#mode;
    this.#mode = mode;
    if (before === "freeze") this.#thaw();
    if (mode === "freeze") this.#freeze();
    if (mode === "cut") {
      this.#stopListening();
      this.#destroyConnections();
    }
    if (before === "cut") await this.#listenAgain();
  }

  close(): void {
    this.#isClosed = true;
    this.#stopListening();
    this.#destroyConnections();
  }

  #stopListening(): void {
    clearTimeout(this.#listenTimer);
    clearTimeout(this.#probeTimer);
    this.#server?.close();
    this.#server = undefined;
  }

  /** Listens on the same port as before; waits if something else has taken it meanwhile. */
  async #listenAgain(): Promise<void> {
    if (this.#server || this.#isClosed || this.#mode === "cut") return;
    try {
      await this.listen();
      // The mode may have changed while the listener opened.
      if (this.#isClosed || this.#mode as LinkMode === "cut") {
        this.#stopListening();
      }
    } catch {
      this.#listenTimer = setTimeout(
        () => void this.#listenAgain(),
        listenRetryMilliseconds,
      );
    }
  }

  #destroyConnections(): void {
    this.#data.clear();
    this.#handshakes.clear();
    for (const connection of [...this.#connections]) this.#destroy(connection);
  }

  #destroy(connection: Connection): void {
    clearTimeout(connection.dropTimer);
    this.#connections.delete(connection);
    connection.caller.resetAndDestroy();
    connection.target?.resetAndDestroy();
  }

  #freeze(): void {
    this.#data.hold();
    this.#handshakes.hold();
    for (const { caller, target } of this.#connections) {
      caller.pause();
      target?.pause();
    }
  }

  #thaw(): void {
    this.#data.release();
    this.#handshakes.release();
    for (const { caller, target } of this.#connections) {
      if (target) caller.resume();
      target?.resume();
    }
  }

  #accept(caller: Socket): void {
    const connection: Connection = {
      caller,
      target: undefined,
      dropTimer: undefined,
    };
    this.#connections.add(connection);
    caller.on("error", () => this.#destroy(connection));
    // A TCP handshake takes one round trip before the caller's first byte leaves.
    this.#handshakes.add(
      2 * this.#delayMilliseconds,
      () => this.#dial(connection),
    );
  }

  #dial(connection: Connection): void {
    if (!this.#connections.has(connection)) return;
    const { targetHost: host, targetPort: port } = this.#options.settings;
    const { caller } = connection;
    const target = connect({ host, port, allowHalfOpen: true, noDelay: true });
    connection.target = target;
    target.on("error", (error) => {
      if ("syscall" in error && error.syscall === "connect") {
        this.#refuseUntilTargetListens();
      }
      this.#destroy(connection);
    });
    this.#pipe(connection, caller, target, false);
    this.#pipe(connection, target, caller, true);
    if (this.#mode === "freeze") target.pause();
    else caller.resume();
  }

  #pipe(
    connection: Connection,
    source: Socket,
    sink: Socket,
    isAnswer: boolean,
  ): void {
    source.on("data", (bytes: Uint8Array) => {
      this.#bytes += bytes.length;
      if (isAnswer && this.#mode === "drop_answers") {
        return this.#dropAnswer(connection);
      }
      this.#data.add(this.#delayMilliseconds, () => {
        if (sink.destroyed) return;
        if (!sink.write(bytes)) source.pause();
      });
    });
    sink.on("drain", () => {
      if (this.#mode !== "freeze") source.resume();
    });
    source.on("end", () => {
      this.#data.add(this.#delayMilliseconds, () => sink.end());
    });
    source.on("close", () => {
      this.#data.add(this.#delayMilliseconds, () => {
        if (!sink.destroyed) sink.destroySoon();
        if (sink.destroyed) this.#forget(connection);
      });
    });
  }

  #forget(connection: Connection): void {
    clearTimeout(connection.dropTimer);
    this.#connections.delete(connection);
  }

  #dropAnswer(connection: Connection): void {
    connection.dropTimer ??= setTimeout(
      () => this.#destroy(connection),
      this.#options.dropTimeoutMilliseconds,
    );
  }

  /**
   * Callers must see "connection refused" while the target does not listen, because that proves
   * to them that nothing ran. So the listener closes until a probe reaches the target.
   */
  #refuseUntilTargetListens(): void {
    if (!this.#server) return;
    this.#stopListening();
    this.#probeTimer = setTimeout(
      () => this.#probe(),
      targetProbeMilliseconds,
    );
  }

  #probe(): void {
    if (this.#isClosed || this.#mode === "cut") return;
    const { targetHost: host, targetPort: port } = this.#options.settings;
    const socket = connect({ host, port });
    socket.on("connect", () => {
      socket.destroy();
      void this.#listenAgain();
    });
    socket.on("error", () => {
      this.#probeTimer = setTimeout(
        () => this.#probe(),
        targetProbeMilliseconds,
      );
    });
  }
}
