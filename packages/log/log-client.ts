/**
 * HTTP client of the platform's log service. An append whose response is lost may have taken
 * effect, and its error says so; the writer retries it with the same sequence.
 */

import { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import { z } from "zod";
import { LogUnavailableError } from "../common/errors.ts";
import type { Offset, StreamName } from "../common/ids.ts";
import { decodeValue } from "../protocol/frames.ts";
import {
  appendTimeoutMilliseconds,
  longPollMilliseconds,
  maximumReadBytes,
  readTimeoutMarginMilliseconds,
} from "./constants.ts";

export interface StoredRecord {
  readonly offset: Offset;
  /** Wall-clock milliseconds at which the log service accepted the record. */
  readonly time: number;
  readonly data: Uint8Array;
}

export interface LogReadResult {
  /** Offset of the oldest retained record. */
  readonly start: Offset;
  /** Offset that the next record will get. */
  readonly end: Offset;
  readonly records: readonly StoredRecord[];
}

export interface LogReadOptions {
  from: Offset;
  waitMilliseconds?: number;
  maximumBytes?: number;
  signal?: AbortSignal;
}

/** The interface that other packages use; tests replace it with a fake. */
export interface LogClient {
  append(stream: StreamName, data: Uint8Array): Promise<Offset>;
  read(stream: StreamName, options: LogReadOptions): Promise<LogReadResult>;
}

export interface HttpLogClientOptions {
  /** Base address of the log service, such as http://127.0.0.1:7000. */
  baseUrl: string;
  timeoutMilliseconds?: number;
}

const appendResponseSchema = z.object({
  offset: z.number().int().nonnegative(),
});
const readResponseSchema = z.object({
  start: z.number().int(),
  end: z.number().int(),
  records: z.array(
    z.object({
      offset: z.number().int(),
      time: z.number(),
      data: z.instanceof(Uint8Array),
    }),
  ),
});

/** Estimated size of the headers of one request or response. */
const estimatedHeaderBytes = 160;

/** Errors after which no byte of the request can have reached the service. */
const notSentErrorCodes = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
]);

export class HttpLogClient implements LogClient {
  readonly #options: Required<HttpLogClientOptions>;
  readonly #agent: Agent;
  /** Bytes of requests and responses, including an estimate for their headers. */
  bytesSent = 0;
  bytesReceived = 0;

  constructor(options: HttpLogClientOptions) {
    this.#options = {
      timeoutMilliseconds: appendTimeoutMilliseconds,
      ...options,
    };
    this.#agent = new Agent({
      connect: { timeout: this.#options.timeoutMilliseconds },
      connections: 64,
      pipelining: 1,
    });
  }

  async append(stream: StreamName, data: Uint8Array): Promise<Offset> {
    const responseBody = await this.#call(
      `/streams/${encodeURIComponent(stream)}/records`,
      {
        method: "POST",
        body: data,
        timeoutMilliseconds: this.#options.timeoutMilliseconds,
      },
    );
    try {
      return appendResponseSchema.parse(
        JSON.parse(Buffer.from(responseBody).toString("utf8")),
      )
        .offset as Offset;
    } catch (cause) {
      throw new LogUnavailableError(
        "the log service's response to an append is malformed",
        {
          cause,
          mayHaveTakenEffect: true,
        },
      );
    }
  }

  async read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<LogReadResult> {
    const {
      from,
      waitMilliseconds = longPollMilliseconds,
      maximumBytes = maximumReadBytes,
    } = options;
    const query = `from=${from}&wait=${waitMilliseconds}&max=${maximumBytes}`;
    const responseBody = await this.#call(
      `/streams/${encodeURIComponent(stream)}/records?${query}`,
      {
        method: "GET",
        timeoutMilliseconds: waitMilliseconds + readTimeoutMarginMilliseconds,
        signal: options.signal,
      },
    );
    return decodeReadResponse(responseBody);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(path: string, options: CallOptions): Promise<Uint8Array> {
    const timeout = AbortSignal.timeout(options.timeoutMilliseconds);
    const signal = options.signal
      ? AbortSignal.any([timeout, options.signal])
      : timeout;
    let status: number;
    let bytes: Uint8Array;
    try {
      const response = await request(this.#options.baseUrl + path, {
        method: options.method,
        body: options.body ?? null,
        dispatcher: this.#agent,
        signal,
      });
      this.bytesSent += estimatedHeaderBytes + (options.body?.length ?? 0);
      status = response.statusCode;
      bytes = new Uint8Array(await response.body.arrayBuffer());
      this.bytesReceived += estimatedHeaderBytes + bytes.length;
    } catch (cause) {
      const code = (cause as { code?: string }).code ?? "";
      throw new LogUnavailableError(
        `the log service did not respond: ${String(cause)}`,
        {
          cause,
          mayHaveTakenEffect: !notSentErrorCodes.has(code),
        },
      );
    }
    if (status !== 200) {
      throw new LogUnavailableError(
        `the log service responded with status ${status}`,
        { mayHaveTakenEffect: status !== 429 && status !== 503 },
      );
    }
    return bytes;
  }
}

function decodeReadResponse(responseBody: Uint8Array): LogReadResult {
  try {
    return readResponseSchema.parse(
      decodeValue(responseBody),
    ) as unknown as LogReadResult;
  } catch (cause) {
    throw new LogUnavailableError(
      "the log service's response to a read is malformed",
      { cause },
    );
  }
}

interface CallOptions {
  method: "GET" | "POST";
  body?: Uint8Array;
  timeoutMilliseconds: number;
  signal?: AbortSignal | undefined;
}
