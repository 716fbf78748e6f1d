/**
 * Stand-in for the platform's append-only log. It serves streams of records with offsets over
 * HTTP, limits the append rate, drops records after the retention, and has faults that tests set
 * through `PUT /faults`.
 */

import { Buffer } from "node:buffer";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { DisposableStore } from "../../common/disposable-store.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import { logLevelSchema } from "../../common/program.ts";
import { encodeValue } from "../../protocol/frames.ts";
import {
  type HttpExchange,
  readBody,
  readJson,
  sendBytes,
  sendError,
  sendJson,
  startHttpService,
} from "../shared/http-service.ts";
import { TokenBucket } from "../shared/token-bucket.ts";
import { AppendStatistics } from "./append-statistics.ts";
import { StoredStream } from "./stored-stream.ts";
import {
  maximumPollMilliseconds,
  pruneIntervalMilliseconds,
} from "../constants.ts";

export const logServiceSettingsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(7_000),
  appendsPerSecond: z.number().positive().default(400)
    .describe("Appends above this rate are answered with 429"),
  retentionSeconds: z.number().positive().default(7 * 24 * 3_600)
    .describe("Records older than this are dropped"),
  appendDelayMilliseconds: z.number().nonnegative().default(0),
  readDelayMilliseconds: z.number().nonnegative().default(0),
  maximumRecordBytes: z.number().int().positive().default(1024 * 1024),
  logLevel: logLevelSchema.default("info"),
});
export type LogServiceSettings = z.output<typeof logServiceSettingsSchema>;

/** A change of faults. It has no defaults, so faults that a change omits stay as set. */
export const logFaultsSchema = z.strictObject({
  /** Every append and read answers 503. */
  outage: z.boolean(),
  /** Number of subsequent appends that take effect but whose connection closes unanswered. */
  dropAppendAnswers: z.number().int().nonnegative(),
  /** Additional delay of every append and read. */
  slowMilliseconds: z.number().nonnegative(),
}).partial();
export type LogFaults = Required<z.output<typeof logFaultsSchema>>;

export interface RunningLogService {
  readonly port: number;
  close(): Promise<void>;
}

export async function startLogService(
  input: z.input<typeof logServiceSettingsSchema>,
  logger: Logger = silentLogger,
): Promise<RunningLogService> {
  const settings = logServiceSettingsSchema.parse(input);
  const service = new LogService(settings, logger);
  const http = await startHttpService({
    host: settings.host,
    port: settings.port,
    handle: (exchange) => service.handle(exchange),
  });
  logger.info("listening", { host: settings.host, port: http.port });
  return {
    port: http.port,
    close: async () => {
      await service.close();
      await http.close();
    },
  };
}

class LogService {
  readonly #settings: LogServiceSettings;
  readonly #logger: Logger;
  readonly #streams = new Map<string, StoredStream>();
  readonly #appendBucket: TokenBucket;
  readonly #statistics = new AppendStatistics();
  readonly #disposables = new DisposableStore();
  #isClosing = false;
  /** Number of appends and reads refused because of an outage. */
  #refusedCalls = 0;
  #faults: LogFaults = {
    outage: false,
    dropAppendAnswers: 0,
    slowMilliseconds: 0,
  };

  constructor(settings: LogServiceSettings, logger: Logger) {
    this.#settings = settings;
    this.#logger = logger;
    this.#appendBucket = new TokenBucket(settings.appendsPerSecond);
    this.#disposables.addInterval(
      () => this.#prune(),
      pruneIntervalMilliseconds,
    );
  }

  async close(): Promise<void> {
    this.#isClosing = true;
    for (const stream of this.#streams.values()) stream.wakeReaders();
    await this.#disposables.dispose();
  }

  async handle(exchange: HttpExchange): Promise<void> {
    const { method, segments, response } = exchange;
    const [root, name, resource] = segments;
    if (root === "streams" && name && resource === "records") {
      if (method === "POST") return await this.#append(name, exchange);
      if (method === "GET") return await this.#read(name, exchange);
    }
    if (root === "healthz") return sendJson(response, 200, { status: "ok" });
    if (root === "faults" && method === "PUT") {
      return await this.#setFaults(exchange);
    }
    if (root === "faults" && method === "GET") {
      return sendJson(response, 200, this.#faults);
    }
    if (root === "statistics" && method === "GET") {
      return sendJson(response, 200, this.#describeStatistics());
    }
    sendError(response, 404, "no such resource");
  }

  async #setFaults({ request, response }: HttpExchange): Promise<void> {
    const change = await readJson(request, logFaultsSchema);
    this.#faults = { ...this.#faults, ...change };
    this.#logger.info("faults changed", { ...this.#faults });
    if (this.#faults.outage) {
      for (const stream of this.#streams.values()) stream.wakeReaders();
    }
    sendJson(response, 200, this.#faults);
  }

  async #append(name: string, exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const data = await readBody(request, this.#settings.maximumRecordBytes);
    if (this.#faults.outage) return this.#refuse(exchange);
    if (!this.#appendBucket.tryTake()) {
      this.#statistics.recordRejected();
      return sendError(response, 429, "the append rate is exceeded", {
        "retry-after": "1",
      });
    }
    // Half of the delay follows the append, so that an append whose client times out during
    // this half has taken effect.
    const halfDelayMilliseconds =
      (this.#settings.appendDelayMilliseconds + this.#faults.slowMilliseconds) /
      2;
    if (halfDelayMilliseconds > 0) await delay(halfDelayMilliseconds);
    const now = Date.now();
    const offset = this.#stream(name).append(copyBytes(data), now);
    this.#statistics.recordAppend(data.length, now);
    if (this.#faults.dropAppendAnswers > 0) {
      this.#faults.dropAppendAnswers -= 1;
      request.socket.destroy();
      return;
    }
    if (halfDelayMilliseconds > 0) await delay(halfDelayMilliseconds);
    sendJson(response, 200, { offset });
  }

  async #read(name: string, exchange: HttpExchange): Promise<void> {
    const { query, response } = exchange;
    const from = parseNonNegativeNumber(query.get("from"), 0);
    const maximumBytes = parseNonNegativeNumber(query.get("max"), 512 * 1024);
    const pollMilliseconds = Math.min(
      parseNonNegativeNumber(query.get("wait"), 0),
      maximumPollMilliseconds,
    );
    if (this.#faults.outage) return this.#refuse(exchange);
    const delayMilliseconds = this.#settings.readDelayMilliseconds +
      this.#faults.slowMilliseconds;
    if (delayMilliseconds > 0) await delay(delayMilliseconds);
    const stream = this.#stream(name);
    if (from >= stream.end && pollMilliseconds > 0 && !this.#isClosing) {
      const disconnection = new AbortController();
      response.on("close", () => disconnection.abort());
      await stream.waitForAppend(pollMilliseconds, disconnection.signal);
    }
    if (this.#faults.outage) return this.#refuse(exchange);
    const slice = stream.read(from, maximumBytes);
    sendBytes(response, 200, "application/cbor", encodeValue(slice));
  }

  #refuse({ response }: HttpExchange): void {
    this.#refusedCalls += 1;
    sendError(response, 503, "the log is unavailable", { "retry-after": "1" });
  }

  #stream(name: string): StoredStream {
    let stream = this.#streams.get(name);
    if (!stream) {
      stream = new StoredStream();
      this.#streams.set(name, stream);
    }
    return stream;
  }

  #prune(): void {
    const cutoff = Date.now() - this.#settings.retentionSeconds * 1_000;
    for (const stream of this.#streams.values()) stream.dropOlderThan(cutoff);
  }

  #describeStatistics() {
    this.#prune();
    const streams = [...this.#streams].map(([name, stream]) => [name, {
      start: stream.start,
      end: stream.end,
      records: stream.count,
      bytes: stream.bytes,
    }]);
    return {
      ...this.#statistics.describe(Date.now()),
      refusedCalls: this.#refusedCalls,
      streams: Object.fromEntries(streams),
    };
  }
}

/** Copies data into its own buffer, because a received chunk may keep a larger buffer alive. */
function copyBytes(data: Uint8Array): Uint8Array {
  const copy = Buffer.allocUnsafeSlow(data.length);
  copy.set(data);
  return copy;
}

function parseNonNegativeNumber(text: string | null, fallback: number): number {
  const value = text === null ? Number.NaN : Number(text);
  return Number.isFinite(value) && value >= 0 ? value : fallback;
}
