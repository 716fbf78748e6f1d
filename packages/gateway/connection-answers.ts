/**
 * The answers on one connection that its caller has not read. A caller may send many requests at
 * once, so that all answers but the first wait for their turn. They share one holding of the budget:
 * a caller that reads nothing loses its connection, and with it all of them.
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Holding } from "../overload/held-bytes.ts";

export interface ConnectionAnswersOptions {
  readonly socket: Socket;
  readonly openHolding: () => Holding;
  /** Called with the size of what is held, which becomes garbage once it is read. */
  readonly recordHeld: (bytes: number) => void;
  /** Called when the connection is closed. */
  readonly onClose: () => void;
}

export class ConnectionAnswers {
  readonly #options: ConnectionAnswersOptions;
  /** Responses that wait for the end of an earlier one. */
  readonly #waiting = new Set<ServerResponse>();
  #holding: Holding | undefined;
  /** An answer closes the connection, so that later requests on it are not handled. */
  isClosing = false;

  constructor(options: ConnectionAnswersOptions) {
    this.#options = options;
    options.socket.once("close", () => this.#close());
  }

  /**
   * Adds a response that waits for its turn. Node.js does not tell such a response that the
   * connection is closed, so that whatever belongs to its request would never be released.
   */
  addWaiting(response: ServerResponse): void {
    this.#waiting.add(response);
    response.once("close", () => this.#waiting.delete(response));
  }

  /** Holds further bytes; returns false if the budget has no room for them. */
  tryHold(bytes: number): boolean {
    const holding = this.#openHolding();
    if (holding.tryGrow(bytes)) {
      this.#options.recordHeld(bytes);
      return true;
    }
    this.release(0);
    return false;
  }

  /** Holds further bytes that have to be kept in any case. */
  hold(bytes: number): void {
    this.#openHolding().grow(bytes);
    this.#options.recordHeld(bytes);
  }

  /** Releases bytes that the caller has read. */
  release(bytes: number): void {
    const holding = this.#holding;
    if (!holding) return;
    holding.resize(holding.bytes - bytes);
    holding.recordProgress(bytes);
    if (holding.bytes > 0) return;
    holding.dispose();
    this.#holding = undefined;
  }

  #openHolding(): Holding {
    if (this.#holding) return this.#holding;
    const { socket, openHolding } = this.#options;
    const holding = this.#holding = openHolding();
    holding.track({
      evict: () => socket.destroy(),
      idleMilliseconds: Number.POSITIVE_INFINITY,
    });
    if (socket.destroyed) holding.dispose();
    return holding;
  }

  #close(): void {
    for (const response of [...this.#waiting]) {
      if (response.socket) continue;
      response.destroy();
      response.emit("close");
    }
    this.#holding?.dispose();
    this.#options.onClose();
  }
}
