/**
 * Stand-in for a plain service. It answers any method and path, counts executions, and has
 * faults that close the connection before, during or after the execution.
 */

import type { Buffer } from "node:buffer";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { sha256Hex } from "../../common/hashing.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import { logLevelSchema } from "../../common/program.ts";
import {
  type HttpExchange,
  readBody,
  readJson,
  sendJson,
  startHttpService,
} from "../shared/http-service.ts";
import { Journal, type JournalEntry } from "../shared/journal.ts";

export const plainServiceSettingsSchema = z.strictObject({
  name: z.string().default("plain"),
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(7_200),
  delayMilliseconds: z.number().nonnegative().default(5)
    .describe("Duration of the execution of a request"),
  maximumJournalEntries: z.number().int().positive().default(100_000),
  stopLimitMilliseconds: z.number().nonnegative().default(10_000)
    .describe("Time limit for running requests to finish after SIGTERM"),
  logLevel: logLevelSchema.default("info"),
});
export type PlainServiceSettings = z.output<typeof plainServiceSettingsSchema>;

const affectedRequestsSchema = z.union([
  z.number().int().nonnegative(),
  z.boolean().transform((isOn) => isOn ? Number.MAX_SAFE_INTEGER : 0),
]);

/**
 * A change of faults. Each count is the number of subsequent requests that a fault affects;
 * `true` means all of them. There are no defaults, so faults that a change omits stay as set.
 */
export const plainServiceFaultsSchema = z.strictObject({
  /** The connection closes once the request is received; the request is not executed. */
  closeBeforeRequest: affectedRequestsSchema,
  /** The connection closes in the middle of the execution, which completes. */
  closeDuringRequest: affectedRequestsSchema,
  /** The request is executed, then its connection closes without an answer. */
  closeAfterRequest: affectedRequestsSchema,
  /** Delay between the end of the execution and the answer. */
  lateMilliseconds: z.number().nonnegative(),
}).partial();
type PlainServiceFaults = Required<z.output<typeof plainServiceFaultsSchema>>;

export interface RunningPlainService {
  readonly port: number;
  close(): Promise<void>;
}

export async function startPlainService(
  input: z.input<typeof plainServiceSettingsSchema>,
  logger: Logger = silentLogger,
): Promise<RunningPlainService> {
  const settings = plainServiceSettingsSchema.parse(input);
  const service = new PlainService(settings, logger);
  const http = await startHttpService({
    host: settings.host,
    port: settings.port,
    handle: (exchange) => service.handle(exchange),
    closeTimeoutMilliseconds: settings.stopLimitMilliseconds,
  });
  logger.info("listening", { host: settings.host, port: http.port });
  return { port: http.port, close: () => http.close() };
}

class PlainService {
  readonly #settings: PlainServiceSettings;
  readonly #logger: Logger;
  readonly #journal: Journal;
  #executions = 0;
  #running = 0;
  #faults: PlainServiceFaults = {
    closeBeforeRequest: 0,
    closeDuringRequest: 0,
    closeAfterRequest: 0,
    lateMilliseconds: 0,
  };

  constructor(settings: PlainServiceSettings, logger: Logger) {
    this.#settings = settings;
    this.#logger = logger;
    this.#journal = new Journal(settings.maximumJournalEntries);
  }

  async handle(exchange: HttpExchange): Promise<void> {
    const { method, segments, response } = exchange;
    // Only paths of one segment are reserved for control, so a route may use any longer path.
    const controlRoute = segments.length === 1
      ? `${method} /${segments[0]}`
      : "";
    if (controlRoute === "GET /journal") return this.#journal.send(exchange);
    if (controlRoute === "GET /healthz") {
      return sendJson(response, 200, { status: "ok" });
    }
    if (controlRoute === "GET /statistics") {
      const executions = this.#executions;
      return sendJson(response, 200, { executions, running: this.#running });
    }
    if (controlRoute === "PUT /faults") {
      const change = await readJson(exchange.request, plainServiceFaultsSchema);
      this.#faults = { ...this.#faults, ...change };
      this.#logger.info("faults changed", { ...this.#faults });
      return sendJson(response, 200, this.#faults);
    }
    await this.#execute(exchange);
  }

  async #execute(exchange: HttpExchange): Promise<void> {
    const { request, response, method } = exchange;
    const entry = this.#journal.addEntry(request);
    const body = await readWholeBody(request, entry);
    if (this.#consumeFault("closeBeforeRequest")) {
      entry.setOutcome("rejected");
      response.destroy();
      return;
    }
    const closesDuring = this.#consumeFault("closeDuringRequest");
    const closesAfter = this.#consumeFault("closeAfterRequest");
    this.#running += 1;
    const executionMilliseconds = this.#settings.delayMilliseconds;
    if (executionMilliseconds > 0) await delay(executionMilliseconds / 2);
    if (closesDuring) response.destroy();
    if (executionMilliseconds > 0) await delay(executionMilliseconds / 2);
    this.#running -= 1;
    const execution = ++this.#executions;
    if (closesDuring || closesAfter) {
      entry.setOutcome("unanswered");
      response.destroy();
      return;
    }
    if (this.#faults.lateMilliseconds > 0) {
      await delay(this.#faults.lateMilliseconds);
    }
    // A client that disconnects does not undo the execution.
    if (response.destroyed) return entry.setOutcome("unanswered");
    response.on("close", () => {
      entry.setOutcome(response.writableFinished ? "completed" : "unanswered");
    });
    const requestId = request.headers["x-request-id"];
    sendJson(response, 200, {
      service: this.#settings.name,
      method,
      path: request.url,
      bodyDigest: sha256Hex(body),
      execution,
    }, requestId === undefined ? {} : { "x-request-id": String(requestId) });
  }

  #consumeFault(
    name: Exclude<keyof PlainServiceFaults, "lateMilliseconds">,
  ): boolean {
    if (this.#faults[name] === 0) return false;
    this.#faults[name] -= 1;
    return true;
  }
}

async function readWholeBody(
  request: HttpExchange["request"],
  entry: JournalEntry,
): Promise<Buffer> {
  try {
    const body = await readBody(request);
    entry.setBody(body);
    return body;
  } catch (error) {
    entry.setOutcome("cancelled");
    throw error;
  }
}
