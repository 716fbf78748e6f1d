/**
 * The response to one caller. If an answer has begun and cannot be completed, its connection is
 * closed, so that the caller never takes it for complete.
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";

/** An error that the system itself answers, rather than a server. */
export interface ErrorAnswer {
  readonly status: number;
  /** Stable code that programs can match, such as `no_capacity`. */
  readonly code: string;
  readonly message: string;
  readonly retryAfterMilliseconds?: number;
}

export function encodeErrorBody({ code, message }: ErrorAnswer): Buffer {
  return Buffer.from(JSON.stringify({ error: { code, message } }));
}

export interface CallerResponseOptions {
  readonly response: ServerResponse;
  /** True during graceful shutdown: the connection is closed after this answer. */
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

  /** Calls the listener if the caller disconnects before the answer is complete. */
  onDisconnect(listener: () => void): void {
    this.#response.once("close", () => {
      if (!this.#response.writableFinished) listener();
    });
  }

  begin(status: number, headers: readonly string[]): void {
    this.#addConnectionHeader();
    this.#response.writeHead(status, this.#withSetHeaders(headers));
  }

  /**
   * Returns false if the send buffer is full since the caller reads too slowly; `onDrain` reports
   * when it has caught up.
   */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  onDrain(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  end(): void {
    this.#response.end();
  }

  sendBytes(
    status: number,
    contentType: string,
    bytes: Buffer,
    { retryAfterMilliseconds }: { retryAfterMilliseconds?: number } = {},
  ): void {
    if (this.isOver) return;
    this.#addConnectionHeader();
    if (retryAfterMilliseconds !== undefined) {
      const seconds = retryAfterMilliseconds / 1_000;
      this.#response.setHeader("retry-after", seconds.toFixed(2));
    }
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

  /** Sends the error, or closes the connection if an answer has already begun. */
  fail(answer: ErrorAnswer): void {
    if (this.isOver) return;
    if (this.hasBegun) return this.abort();
    this.sendBytes(
      answer.status,
      "application/json",
      encodeErrorBody(answer),
      answer,
    );
  }

  abort(): void {
    this.#response.destroy();
  }

  #addConnectionHeader(): void {
    if (this.#shouldClose()) this.#response.setHeader("connection", "close");
  }

  // `writeHead` ignores headers that were set before when it is given an array, so they are added.
  #withSetHeaders(headers: readonly string[]): string[] {
    const setHeaders = Object.entries(this.#response.getHeaders())
      .flatMap(([name, value]) => [name, String(value)]);
    return [...headers, ...setHeaders];
  }
}
