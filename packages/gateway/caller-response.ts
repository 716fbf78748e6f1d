/**
 * The response to one caller. If an answer has begun and cannot be completed, its connection is
 * closed, so that the caller never takes it for complete.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { smallHoldingBytes } from "../overload/constants.ts";
import type { Holding } from "../overload/held-bytes.ts";
import { lingerBytes, lingerMilliseconds } from "./constants.ts";
import { encodeErrorBody, type ErrorAnswer } from "./error-answer.ts";
import { overloadedError } from "./request-errors.ts";

export interface CallerResponseOptions {
  readonly response: ServerResponse;
  readonly message: IncomingMessage;
  /** Opens a holding for bytes that the caller does not read. */
  readonly openHolding: () => Holding;
  /** True during graceful shutdown: the connection is closed after this answer. */
  readonly shouldClose: () => boolean;
}

export class CallerResponse {
  readonly #options: CallerResponseOptions;
  readonly #response: ServerResponse;
  #holding: Holding | undefined;
  /** The answer is complete, and the connection closes once the caller has had time to read it. */
  #isClosing = false;

  constructor(options: CallerResponseOptions) {
    this.#options = options;
    this.#response = options.response;
  }

  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get isOver(): boolean {
    return this.#isClosing || this.#response.writableEnded ||
      this.#response.destroyed;
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
    const isDrained = this.#response.write(bytes);
    if (!isDrained) this.#holdUnread();
    return isDrained;
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
    // Only answers to reads are large, so that nothing was done.
    if (bytes.length > smallHoldingBytes && !this.#tryHold(bytes.length)) {
      return this.failAndClose(overloadedError);
    }
    this.#addConnectionHeader();
    this.#writeWholeHead(status, contentType, bytes, retryAfterMilliseconds);
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

  /**
   * Sends the error although the request has not been read to its end, and closes the connection.
   * What still arrives is dropped for a while: closing at once could reset the connection before
   * the caller has read the answer.
   */
  failAndClose(answer: ErrorAnswer): void {
    if (this.isOver) return;
    if (this.hasBegun) return this.abort();
    const { message } = this.#options;
    const bytes = encodeErrorBody(answer);
    this.#isClosing = true;
    this.#response.setHeader("connection", "close");
    this.#writeWholeHead(
      answer.status,
      "application/json",
      bytes,
      answer.retryAfterMilliseconds,
    );
    this.#response.write(bytes);
    const end = () => {
      clearTimeout(timer);
      this.#response.end();
    };
    const timer = setTimeout(end, lingerMilliseconds);
    let droppedBytes = 0;
    message.on("data", (chunk: Buffer) => {
      droppedBytes += chunk.length;
      if (droppedBytes > lingerBytes) end();
    });
    message.once("close", end);
    if (message.complete) end();
  }

  abort(): void {
    this.#response.destroy();
  }

  #tryHold(bytes: number): boolean {
    this.#holding ??= this.#openHolding();
    return this.#holding.tryGrow(bytes);
  }

  /** Holds what waits in the send buffer; under pressure a caller that reads nothing is cut off. */
  #holdUnread(): void {
    this.#holding ??= this.#openHolding();
    const holding = this.#holding;
    const unreadBytes = this.#response.writableLength;
    holding.resize(unreadBytes);
    this.#response.once("drain", () => {
      holding.recordProgress(unreadBytes);
      holding.resize(0);
    });
  }

  #openHolding(): Holding {
    const holding = this.#options.openHolding();
    holding.track({
      evict: () => this.abort(),
      idleMilliseconds: Number.POSITIVE_INFINITY,
    });
    this.#response.once("close", () => holding.dispose());
    return holding;
  }

  #writeWholeHead(
    status: number,
    contentType: string,
    bytes: Buffer,
    retryAfterMilliseconds: number | undefined,
  ): void {
    if (retryAfterMilliseconds !== undefined) {
      const seconds = retryAfterMilliseconds / 1_000;
      this.#response.setHeader("retry-after", seconds.toFixed(2));
    }
    this.#response.writeHead(status, {
      "content-type": contentType,
      "content-length": bytes.length,
    });
  }

  #addConnectionHeader(): void {
    if (this.#options.shouldClose()) {
      this.#response.setHeader("connection", "close");
    }
  }

  // `writeHead` ignores headers that were set before when it is given an array, so they are added.
  #withSetHeaders(headers: readonly string[]): string[] {
    const setHeaders = Object.entries(this.#response.getHeaders())
      .flatMap(([name, value]) => [name, String(value)]);
    return [...headers, ...setHeaders];
  }
}
