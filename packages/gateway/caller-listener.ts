/**
 * The HTTP listener for callers. It reads each request with its body, within the limits of the
 * configuration document, and passes it to a handler. During graceful shutdown each answer closes
 * its connection.
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listenOn } from "../common/listen.ts";
import type { Logger } from "../common/logging.ts";
import type { CallerLimits } from "../fleet/configuration.ts";
import { CallerResponse, type ErrorAnswer } from "./caller-response.ts";

/** `receivedAt` is in monotonic milliseconds, taken once the body is complete. */
export type RequestHandler = (
  message: IncomingMessage,
  body: Buffer,
  response: CallerResponse,
  receivedAt: number,
) => void;

export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Undefined until a configuration is known. */
  readonly limits: () => CallerLimits | undefined;
  /** True during graceful shutdown. */
  readonly isLeaving: () => boolean;
  readonly handle: RequestHandler;
  readonly logger: Logger;
}

/** Limit of the HTTP parser for headers; the document's smaller limit is checked after parsing. */
const maximumParsedHeaderBytes = 64 * 1024;
/** Limit until a configuration is known. */
const defaultMaximumBodyBytes = 4 * 1024 * 1024;

export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  /** Responses in progress, which are not finished. */
  readonly #active = new Set<CallerResponse>();

  constructor(options: CallerListenerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: maximumParsedHeaderBytes,
        noDelay: true,
        keepAlive: true,
      },
      (message, response) => this.#receive(message, response),
    );
    this.#server.requestTimeout = 0;
    this.applyLimits();
  }

  /** Requests in progress, whose answers are not finished. */
  get activeRequests(): number {
    return this.#active.size;
  }

  async listen(): Promise<number> {
    const { host, port } = this.#options;
    return await listenOn(this.#server, { host, port });
  }

  /** Applies the time limits of the configuration to the HTTP server. */
  applyLimits(): void {
    const limits = this.#options.limits();
    if (!limits) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
  }

  /** Closes the listening socket and idle connections; requests in progress continue. */
  stopAccepting(): void {
    this.#server.close();
  }

  /** Answers all requests in progress with the error, or breaks off what has begun. */
  failActive(answer: ErrorAnswer): void {
    for (const response of [...this.#active]) response.fail(answer);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(message: IncomingMessage, nodeResponse: ServerResponse): void {
    const response = new CallerResponse({
      response: nodeResponse,
      shouldClose: this.#options.isLeaving,
    });
    const limits = this.#options.limits();
    const maximumBodyBytes = limits?.maximumBodyBytes ??
      defaultMaximumBodyBytes;
    this.#active.add(response);
    nodeResponse.once("close", () => this.#active.delete(response));
    if (limits && headerBytes(message) > limits.maximumHeaderBytes) {
      message.resume();
      return response.fail({
        status: 431,
        code: "headers_too_large",
        message: `headers exceed ${limits.maximumHeaderBytes} bytes`,
      });
    }
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maximumBodyBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      response.fail({
        status: 413,
        code: "body_too_large",
        message: `the body exceeds ${maximumBodyBytes} bytes`,
      });
    });
    message.on("end", () => {
      if (size > maximumBodyBytes) return;
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      this.#options.handle(message, body, response, performance.now());
    });
    message.on("error", (error) => {
      this.#options.logger.debug("a caller aborted its request", {
        reason: error.message,
      });
    });
  }
}

function headerBytes(message: IncomingMessage): number {
  let bytes = 0;
  for (const text of message.rawHeaders) bytes += text.length + 2;
  return bytes;
}
