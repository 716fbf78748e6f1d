/**
 * The response to one caller. If an answer has begun and cannot be completed, its connection is
 * closed, so that the caller never takes it for complete.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  uncountedAnswerBytes,
  waitingRequestBytes,
} from "../overload/constants.ts";
import type { ConnectionAnswers } from "./connection-answers.ts";
import { lingerBytes, lingerMilliseconds } from "./constants.ts";
import { encodeErrorBody, type ErrorAnswer } from "./error-answer.ts";
import { overloadedError } from "./request-errors.ts";

export interface CallerResponseOptions {
  readonly response: ServerResponse;
  readonly message: IncomingMessage;
  /** Where bytes that the caller does not read are held. */
  readonly connectionAnswers: () => ConnectionAnswers;
  /** True during graceful shutdown: the connection is closed after this answer. */
  readonly shouldClose: () => boolean;
}

export class CallerResponse {
  readonly #options: CallerResponseOptions;
  readonly #response: ServerResponse;
  /** Bytes of this answer that are held. */
  #heldBytes = 0;
  #connectionAnswers: ConnectionAnswers | undefined;
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
    if (this.#isWaiting) this.#holdUnread();
  }

  /**
   * Reserves room for an answer before it is encoded. Without room the caller gets an error, and
   * its connection is closed; returns false then.
   */
  tryReserve(bytes: number): boolean {
    return bytes <= uncountedAnswerBytes || this.#tryHold(bytes);
  }

  /** Reserves room for the request itself, in the same way, if it waits for an earlier answer. */
  tryWait(): boolean {
    return !this.#isWaiting || this.#tryHold(waitingRequestBytes);
  }

  #tryHold(bytes: number): boolean {
    const missingBytes = bytes - this.#heldBytes;
    if (missingBytes <= 0) return true;
    if (this.#openAnswers().tryHold(missingBytes)) {
      this.#heldBytes += missingBytes;
      return true;
    }
    this.failAndClose(overloadedError);
    return false;
  }

  sendBytes(
    status: number,
    contentType: string,
    bytes: Buffer,
    { retryAfterMilliseconds }: { retryAfterMilliseconds?: number } = {},
  ): void {
    if (this.isOver) return;
    // Only answers to reads are so large that they are refused, so that nothing was done.
    if (!this.tryReserve(bytes.length)) return;
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
    this.#openAnswers().isClosing = true;
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
    const { socket, chunkedEncoding } = this.#response;
    // Of an answer without chunks, as to HTTP/1.0, an orderly end of the connection is the end.
    if (this.hasBegun && !chunkedEncoding) socket?.resetAndDestroy();
    this.#response.destroy();
  }

  /** An earlier answer on the connection is not complete. */
  get #isWaiting(): boolean {
    return this.#response.socket === null;
  }

  #hold(bytes: number): void {
    this.#openAnswers().hold(bytes);
    this.#heldBytes += bytes;
  }

  /** Holds what waits in the send buffer; under pressure a caller that reads nothing is cut off. */
  #holdUnread(): void {
    const bytes = this.#response.writableLength - this.#heldBytes;
    if (bytes > 0) this.#hold(bytes);
    this.#response.once("drain", () => this.#release());
  }

  #openAnswers(): ConnectionAnswers {
    if (!this.#connectionAnswers) {
      this.#connectionAnswers = this.#options.connectionAnswers();
      this.#response.once("close", () => this.#release());
    }
    return this.#connectionAnswers;
  }

  #release(): void {
    this.#connectionAnswers?.release(this.#heldBytes);
    this.#heldBytes = 0;
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
