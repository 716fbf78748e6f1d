/**
 * The answer to one caller. An answer that was begun and cannot be finished is broken off by
 * closing its connection, so that it never looks complete.
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/** An answer of the system itself. */
export interface ErrorAnswer {
  readonly status: number;
  /** Stable code for programs, such as `no_capacity`. */
  readonly code: string;
  readonly message: string;
  readonly retryAfterMilliseconds?: number;
}

export interface CallerResponseOptions {
  readonly response: ServerResponse;
  /** The instance is leaving: the connection is closed after this answer. */
  readonly shouldClose: () => boolean;
}

export class CallerResponse {
  readonly #response: ServerResponse;
  readonly #shouldClose: () => boolean;

  constructor({ response, shouldClose }: CallerResponseOptions) {
    this.#response = response;
    this.#shouldClose = shouldClose;
  }

  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get isOver(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /** Calls the listener if the caller leaves before the answer is finished. */
  onDisconnect(listener: () => void): void {
    this.#response.once("close", () => {
      if (!this.#response.writableFinished) listener();
    });
  }

  begin(status: number, headers: readonly string[]): void {
    this.#addConnectionHeader();
    this.#response.writeHead(status, this.#withSetHeaders(headers));
  }

  /** Returns false if the caller reads too slowly; `onDrain` says when it caught up. */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  onDrain(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  end(): void {
    this.#response.end();
  }

  sendBytes(status: number, contentType: string, bytes: Buffer): void {
    if (this.isOver) return;
    this.#addConnectionHeader();
    this.#response.writeHead(status, {
      "content-type": contentType,
      "content-length": bytes.length,
    });
    this.#response.end(bytes);
  }

  sendJson(status: number, value: unknown): void {
    const bytes = Buffer.from(JSON.stringify(value));
    this.sendBytes(status, "application/json", bytes);
  }

  /** Sends an answer of the system, or breaks off an answer that was begun. */
  fail(answer: ErrorAnswer): void {
    if (this.isOver) return;
    if (this.hasBegun) return this.abort();
    if (answer.retryAfterMilliseconds !== undefined) {
      const seconds = answer.retryAfterMilliseconds / 1_000;
      this.#response.setHeader("retry-after", seconds.toFixed(2));
    }
    this.sendJson(answer.status, {
      error: { code: answer.code, message: answer.message },
    });
  }

  abort(): void {
    this.#response.destroy();
  }

  #addConnectionHeader(): void {
    if (this.#shouldClose()) this.#response.setHeader("connection", "close");
  }

  // Headers set before are ignored when an array is given, so all of them go into the array.
  #withSetHeaders(headers: readonly string[]): string[] {
    const setHeaders = Object.entries(this.#response.getHeaders())
      .flatMap(([name, value]) => [name, String(value)]);
    return [...headers, ...setHeaders];
  }
}
