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
import type { Socket } from "node:net";
import { listenOn } from "../common/listen.ts";
import type { Logger } from "../common/logging.ts";
import type { ClientId } from "../common/ids.ts";
import type { CallerLimits } from "../fleet/configuration.ts";
import { addressOf } from "../overload/connection-limit.ts";
import { defaultIdleTimeoutMilliseconds } from "../overload/constants.ts";
import type { Holding } from "../overload/held-bytes.ts";
import type { OverloadControl } from "../overload/overload-control.ts";
import { CallerBody } from "./caller-body.ts";
import { CallerResponse } from "./caller-response.ts";
import { ConnectionAnswers } from "./connection-answers.ts";
import type { ErrorAnswer } from "./error-answer.ts";

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
  readonly overload: OverloadControl;
  /** The client by its key; undefined if it has none that is known. */
  readonly findClient: (message: IncomingMessage) => ClientId | undefined;
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
  /** Of connections whose caller has not read an answer at once. */
  readonly #connectionAnswers = new Map<Socket, ConnectionAnswers>();

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
    // A body may take any time as long as it makes progress; see `CallerBody`.
    this.#server.requestTimeout = 0;
    const { connections } = options.overload;
    this.#server.on("connection", (socket) => connections.add(socket));
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
    const { isLeaving, limits: currentLimits, overload, logger } =
      this.#options;
    const { socket } = message;
    if (this.#connectionAnswers.get(socket)?.isClosing) return;
    const response = new CallerResponse({
      response: nodeResponse,
      message,
      shouldClose: isLeaving,
      connectionAnswers: () => this.#connectionAnswersOf(message),
    });
    if (nodeResponse.socket === null) {
      this.#connectionAnswersOf(message).addWaiting(nodeResponse);
    }
    const limits = currentLimits();
    this.#active.add(response);
    overload.connections.markActive(socket);
    nodeResponse.once("close", () => {
      this.#active.delete(response);
      overload.connections.markIdle(socket);
    });
    message.on("error", (error) => {
      logger.debug("a caller aborted its request", { reason: error.message });
    });
    if (!response.tryWait()) return;
    if (limits && headerBytes(message) > limits.maximumHeaderBytes) {
      return response.failAndClose({
        status: 431,
        code: "headers_too_large",
        message: `headers exceed ${limits.maximumHeaderBytes} bytes`,
      });
    }
    if (hasBody(message)) {
      return this.#receiveBody(message, nodeResponse, response);
    }
    message.on("end", () => this.#handle(message, noBytes, response));
    message.resume();
  }

  #receiveBody(
    message: IncomingMessage,
    nodeResponse: ServerResponse,
    response: CallerResponse,
  ): void {
    const { overload } = this.#options;
    const limits = this.#options.limits();
    const body = new CallerBody({
      message,
      openHolding: () => this.#openHolding("request_body", message),
      blocks: overload.blocks,
      maximumBytes: limits?.maximumBodyBytes ?? defaultMaximumBodyBytes,
      idleMilliseconds: limits?.idleTimeoutMilliseconds ??
        defaultIdleTimeoutMilliseconds,
      onReceived: (bytes) => overload.memory.recordReceived(bytes),
      onComplete: (bytes) => this.#handle(message, bytes, response),
      onFailure: (answer) => response.failAndClose(answer),
    });
    nodeResponse.once("close", () => body.dispose());
    body.start();
  }

  #handle(message: IncomingMessage, body: Buffer, response: CallerResponse) {
    this.#options.handle(message, body, response, performance.now());
  }

  #connectionAnswersOf(message: IncomingMessage): ConnectionAnswers {
    const { socket } = message;
    let answers = this.#connectionAnswers.get(socket);
    if (!answers) {
      answers = new ConnectionAnswers({
        socket,
        openHolding: () => this.#openHolding("response", message),
        recordHeld: (bytes) =>
          this.#options.overload.memory.recordReceived(bytes),
        onClose: () => this.#connectionAnswers.delete(socket),
      });
      if (!socket.destroyed) this.#connectionAnswers.set(socket, answers);
    }
    return answers;
  }

  #openHolding(
    kind: "request_body" | "response",
    message: IncomingMessage,
  ): Holding {
    const { overload, findClient } = this.#options;
    const client = findClient(message) ?? addressOf(message.socket);
    return overload.heldBytes.open({ kind, client });
  }
}

const noBytes = Buffer.alloc(0);

function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers["content-length"];
  return headers["transfer-encoding"] !== undefined ||
    (length !== undefined && Number(length) > 0);
}

function headerBytes(message: IncomingMessage): number {
  let bytes = 0;
  for (const text of message.rawHeaders) bytes += text.length + 2;
  return bytes;
}
