/**
 * A small HTTP server for the stand-ins. They use node:http directly because their faults act
 * on connections: they destroy sockets, truncate answers and detect that a client disconnects.
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { z } from "zod";
import { idleCloseIntervalMilliseconds } from "../constants.ts";

/** One request and its response. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  /** Path without the query, split at slashes and decoded. */
  readonly segments: readonly string[];
  readonly query: URLSearchParams;
}

export type HttpHandler = (exchange: HttpExchange) => void | Promise<void>;

export interface HttpService {
  readonly port: number;
  /** Stops listening and waits for running requests, at most for the close timeout. */
  close(): Promise<void>;
}

export interface HttpServiceOptions {
  host: string;
  port: number;
  handle: HttpHandler;
  /** Time after which a stopping service closes the connections that are still open. */
  closeTimeoutMilliseconds?: number;
}

export async function startHttpService(
  { host, port, handle, closeTimeoutMilliseconds = 2_000 }: HttpServiceOptions,
): Promise<HttpService> {
  const server = createServer({ noDelay: true }, (request, response) => {
    response.on("error", () => response.destroy());
    const url = new URL(request.url ?? "/", "http://localhost");
    const exchange: HttpExchange = {
      request,
      response,
      method: request.method ?? "GET",
      segments: url.pathname.split("/").slice(1).map(decodeSegment),
      query: url.searchParams,
    };
    Promise.resolve().then(() => handle(exchange)).catch((error) => {
      if (response.headersSent || response.destroyed) response.destroy();
      else sendError(response, statusOf(error), String(error));
    });
  });
  server.keepAliveTimeout = 60_000;
  server.requestTimeout = 0;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: 1_024 }, resolve);
  });
  const address = server.address();
  return {
    port: typeof address === "object" && address ? address.port : port,
    close: () =>
      new Promise((resolve) => {
        const timer = setTimeout(
          () => server.closeAllConnections(),
          closeTimeoutMilliseconds,
        );
        // A connection becomes idle only when its last request finishes, so idle connections
        // are closed repeatedly until none is left.
        const idleTimer = setInterval(
          () => server.closeIdleConnections(),
          idleCloseIntervalMilliseconds,
        );
        server.close(() => {
          clearTimeout(timer);
          clearInterval(idleTimer);
          resolve();
        });
      }),
  };
}

/** An invalid request; its status and message are sent to the client. */
export class BadRequestError extends Error {
  readonly status: number;

  constructor(message: string, status = 400) {
    super(message);
    this.status = status;
  }
}

function statusOf(error: unknown): number {
  return error instanceof BadRequestError ? error.status : 500;
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}

/** Reads the whole body; rejects if the client disconnects or the body exceeds the limit. */
export async function readBody(
  request: IncomingMessage,
  maximumBytes = 64 * 1024 * 1024,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maximumBytes) {
      throw new BadRequestError(`the body exceeds ${maximumBytes} bytes`, 413);
    }
    chunks.push(chunk as Buffer);
  }
  return chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
}

/** Reads a JSON body; rejects with a BadRequestError if the schema does not accept it. */
export async function readJson<Schema extends z.ZodType>(
  request: IncomingMessage,
  schema: Schema,
): Promise<z.output<Schema>> {
  const body = await readBody(request);
  try {
    return schema.parse(JSON.parse(body.toString("utf8")));
  } catch (error) {
    throw new BadRequestError(`the body is invalid: ${String(error)}`);
  }
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  sendBytes(
    response,
    status,
    "application/json",
    Buffer.from(JSON.stringify(value)),
    headers,
  );
}

export function sendBytes(
  response: ServerResponse,
  status: number,
  type: string,
  bytes: Uint8Array,
  headers: Record<string, string> = {},
): void {
  if (response.destroyed) return;
  response.writeHead(status, {
    "content-type": type,
    "content-length": bytes.length,
    ...headers,
  });
  response.end(bytes);
}

export function sendError(
  response: ServerResponse,
  status: number,
  message: string,
  headers: Record<string, string> = {},
): void {
  sendJson(response, status, { error: { message } }, headers);
}
