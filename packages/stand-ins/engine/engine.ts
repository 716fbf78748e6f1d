/** Stand-in for a model engine: its HTTP interface to the scheduler, prefix cache and faults. */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import process from "node:process";
import { z } from "zod";
import { DisposableStore } from "../../common/disposable-store.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import {
  type HttpExchange,
  readBody,
  readJson,
  sendError,
  sendJson,
  startHttpService,
} from "../shared/http-service.ts";
import { Journal, type JournalEntry } from "../shared/journal.ts";
import {
  type Answer,
  type ChatRequest,
  chatRequestSchema,
  createAnswer,
  promptText,
} from "./answer.ts";
import {
  createJsonSender,
  createStreamSender,
  type TruncationMode,
} from "./answer-sender.ts";
import {
  type ExportedState,
  exportedStateSchema,
  ResumableStreams,
} from "./resumable-streams.ts";
import { LoadHistory } from "./load-history.ts";
import { OrderHandler, orderRequestSchema } from "./orders.ts";
import { PrefixCache } from "./prefix-cache.ts";
import { type Generation, Scheduler } from "./scheduler.ts";
import {
  type EngineFaults,
  engineFaultsSchema,
  type EngineSettings,
  engineSettingsSchema,
  noEngineFaults,
} from "./settings.ts";
import { streamExpiryIntervalMilliseconds } from "../constants.ts";

export interface RunningEngine {
  readonly port: number;
  close(): Promise<void>;
}

export async function startEngine(
  input: z.input<typeof engineSettingsSchema>,
  logger: Logger = silentLogger,
): Promise<RunningEngine> {
  const settings = engineSettingsSchema.parse(input);
  const engine = new Engine(settings, logger);
  const http = await startHttpService({
    host: settings.host,
    port: settings.port,
    handle: (exchange) => engine.handle(exchange),
    closeTimeoutMilliseconds: settings.stopLimitMilliseconds,
  });
  logger.info("listening", { host: settings.host, port: http.port });
  return {
    port: http.port,
    close: async () => {
      await http.close();
      await engine.close();
    },
  };
}

interface ChatExecution {
  exchange: HttpExchange;
  entry: JournalEntry;
  state: ExportedState;
  /** Index of the first token to generate. */
  firstToken: number;
  isStreamed: boolean;
}

class Engine {
  readonly #settings: EngineSettings;
  readonly #logger: Logger;
  readonly #scheduler: Scheduler;
  readonly #cache: PrefixCache;
  readonly #loadHistory: LoadHistory;
  readonly #orderHandler: OrderHandler;
  readonly #journal: Journal;
  readonly #resumableStreams: ResumableStreams;
  readonly #disposables = new DisposableStore();
  #faults: EngineFaults = noEngineFaults;
  #lastAnswer: Answer | undefined;
  #completed = 0;

  constructor(settings: EngineSettings, logger: Logger) {
    this.#settings = settings;
    this.#logger = logger;
    this.#loadHistory = new LoadHistory(settings.loadLagMilliseconds);
    this.#orderHandler = new OrderHandler(settings);
    this.#journal = new Journal(settings.maximumJournalEntries);
    this.#resumableStreams = new ResumableStreams(
      settings.resumeWindowMilliseconds,
    );
    this.#cache = new PrefixCache({
      maximumBlocks: settings.cacheBlocks,
      blockCharacters: settings.cacheBlockCharacters,
      eventLagMilliseconds: settings.cacheEventLagMilliseconds,
      eventLossShare: settings.cacheEventLossShare,
    });
    this.#scheduler = new Scheduler({
      concurrency: settings.concurrency,
      stepMilliseconds: (running) =>
        settings.tokenMilliseconds * this.#faults.slowFactor *
        (1 + settings.tokenGrowthPerRunningRequest * (running - 1)),
      onChange: () => this.#loadHistory.record(this.#currentLoad()),
    });
    this.#disposables.add(() => this.#scheduler.stop());
    this.#disposables.addInterval(
      () => this.#resumableStreams.dropExpired(),
      streamExpiryIntervalMilliseconds,
    );
  }

  close(): Promise<void> {
    return this.#disposables.dispose();
  }

  async handle(exchange: HttpExchange): Promise<void> {
    const { method, segments, response, query } = exchange;
    const route = `${method} /${segments[0]}`;
    switch (route) {
      case "POST /v1":
        return await this.#handlePost(exchange);
      case "GET /v1":
        return this.#listModels(exchange);
      case "GET /kv":
      case "PUT /kv":
        return await this.#transferState(exchange);
      case "POST /orders":
        return await this.#handleOrder(exchange);
      case "GET /orders":
        return sendJson(response, 200, { orders: this.#orderHandler.accepted });
      case "GET /load":
        return sendJson(response, 200, this.#loadHistory.report());
      case "GET /cache-events":
        return sendJson(response, 200, {
          events: this.#cache.eventsAfter(Number(query.get("after") ?? 0) || 0),
        });
      case "GET /journal":
        return this.#journal.send(exchange);
      case "GET /statistics":
        return sendJson(response, 200, this.#statistics());
      case "PUT /faults": {
        const change = await readJson(exchange.request, engineFaultsSchema);
        this.#faults = { ...this.#faults, ...change };
        this.#logger.info("faults changed", { ...this.#faults });
        return sendJson(response, 200, this.#faults);
      }
      case "GET /healthz":
        return sendJson(response, 200, { status: "ok" });
      default:
        return sendError(response, 404, "no such resource");
    }
  }

  #currentLoad() {
    return {
      running: this.#scheduler.running,
      waiting: this.#scheduler.waiting,
    };
  }

  #statistics() {
    return {
      ...this.#currentLoad(),
      peakRunning: this.#scheduler.peakRunning,
      completed: this.#completed,
      tokens: this.#scheduler.tokensGenerated,
      busySlotMilliseconds: this.#scheduler.busySlotMilliseconds,
      concurrency: this.#settings.concurrency,
      cacheBlocks: this.#cache.size,
    };
  }

  #listModels({ response }: HttpExchange): void {
    const data = [...this.#orderHandler.models].map((id) => ({
      id,
      object: "model",
      owned_by: this.#settings.name,
    }));
    sendJson(response, 200, { object: "list", data });
  }

  async #handlePost(exchange: HttpExchange): Promise<void> {
    const { segments, request, response } = exchange;
    const entry = this.#journal.addEntry(request);
    const requestId = String(request.headers["x-request-id"] ?? randomUUID());
    response.setHeader("x-request-id", requestId);
    let body: Buffer;
    try {
      body = await readBody(request);
    } catch (error) {
      entry.setOutcome("cancelled");
      throw error;
    }
    entry.setBody(body);
    const [, resource, second, third] = segments;
    if (resource === "chat" && second === "completions") {
      return this.#handleChat(exchange, entry, requestId, body);
    }
    if (resource === "streams" && second && third === "resume") {
      return this.#handleResume(exchange, entry, second, body);
    }
    entry.setOutcome("rejected");
    sendError(response, 404, "no such resource");
  }

  #handleChat(
    exchange: HttpExchange,
    entry: JournalEntry,
    requestId: string,
    body: Buffer,
  ): void {
    const text = body.toString("utf8");
    const { crashOnMarker } = this.#faults;
    if (crashOnMarker !== "" && text.includes(crashOnMarker)) {
      this.#logger.error("exiting because a request contains the crash marker");
      process.exit(70);
    }
    const reject = (
      status: number,
      message: string,
      headers: Record<string, string> = {},
    ) => {
      entry.setOutcome("rejected");
      sendError(exchange.response, status, message, headers);
    };
    if (text.includes(this.#settings.impossibleMarker)) {
      entry.setOutcome("failed");
      return sendError(
        exchange.response,
        400,
        "this request can never be completed",
      );
    }
    const parsed = parseJson(chatRequestSchema, text);
    if (!parsed.success) return reject(400, parsed.reason);
    if (!this.#orderHandler.models.has(parsed.data.model)) {
      return reject(404, `the model ${parsed.data.model} is not loaded`);
    }
    const isFull = this.#settings.rejectWhenFull && this.#scheduler.isFull &&
      this.#scheduler.waiting >= this.#settings.queueLimit;
    if (isFull) {
      return reject(503, "the queue is full", { "x-not-admitted": "true" });
    }
    this.#execute({
      exchange,
      entry,
      state: { requestId, request: parsed.data, produced: 0 },
      firstToken: 0,
      isStreamed: parsed.data.stream === true,
    });
  }

  #handleResume(
    exchange: HttpExchange,
    entry: JournalEntry,
    requestId: string,
    body: Buffer,
  ): void {
    const state = this.#resumableStreams.get(requestId);
    const parsed = parseJson(resumeSchema, body.toString("utf8"));
    const from = parsed.success ? parsed.data.from : 0;
    if (!parsed.success || !state || from > state.produced) {
      entry.setOutcome("rejected");
      return sendError(
        exchange.response,
        parsed.success ? 404 : 400,
        parsed.success
          ? "the stream is unknown or has not generated so many tokens"
          : parsed.reason,
      );
    }
    this.#execute({
      exchange,
      entry,
      state: { ...state, produced: from },
      firstToken: from,
      isStreamed: true,
    });
  }

  #execute({ exchange, entry, state, firstToken, isStreamed }: ChatExecution) {
    const { response } = exchange;
    if (response.destroyed) return entry.setOutcome("cancelled");
    const { request } = state;
    const answer = this.#chooseAnswer(state);
    const sender = (isStreamed ? createStreamSender : createJsonSender)({
      response,
      answer,
      firstToken,
      includesUsage: request.stream_options?.include_usage === true,
      lateMilliseconds: this.#faults.lateMilliseconds,
      truncation: this.#consumeTruncation(),
      onTruncated: () => entry.setOutcome("truncated"),
    });
    const generation: Generation = {
      tokenCount: Math.max(1, answer.tokens.length - firstToken),
      beginPrefill: () =>
        this.#prefill(request, firstToken > 0) *
        this.#faults.slowFactor,
      onToken: (index) => {
        state.produced = firstToken + index + 1;
        sender.token(firstToken + index);
      },
      onEnd: () => {
        this.#completed += 1;
        this.#lastAnswer = answer;
        sender.end();
      },
    };
    this.#resumableStreams.save(state);
    response.on("close", () => {
      this.#scheduler.cancel(generation);
      this.#resumableStreams.startExpiry(state);
      entry.setOutcome(response.writableFinished ? "completed" : "cancelled");
    });
    this.#scheduler.submit(generation);
  }

  /**
   * Adds the prompt to the prefix cache and returns the milliseconds until the first token. The
   * cached prefix takes no time, and neither does a resumed stream, apart from the minimum.
   */
  #prefill(request: ChatRequest, isResumed: boolean): number {
    const settings = this.#settings;
    const prompt = promptText(request);
    const keys = this.#cache.blockKeys(prompt);
    const cached = this.#cache.useCachedPrefix(keys);
    this.#cache.store(keys);
    if (isResumed) return settings.minimumPrefillMilliseconds;
    return Math.max(
      settings.minimumPrefillMilliseconds,
      (prompt.length - cached) / 1_000 *
        settings.prefillMillisecondsPerThousandCharacters,
    );
  }

  /** Creates the answer, or returns the last completed one if the fault swaps answers. */
  #chooseAnswer({ requestId, request }: ExportedState): Answer {
    const own = createAnswer(requestId, request, this.#settings);
    if (this.#faults.swapAnswers === 0) return own;
    if (!this.#lastAnswer || this.#lastAnswer.requestId === requestId) {
      return own;
    }
    this.#faults = {
      ...this.#faults,
      swapAnswers: this.#faults.swapAnswers - 1,
    };
    return this.#lastAnswer;
  }

  /** Returns the truncation of the next answer, and decrements the count of its fault. */
  #consumeTruncation(): TruncationMode {
    const { truncateAnswers, endWithoutDone } = this.#faults;
    if (truncateAnswers > 0) {
      this.#faults = { ...this.#faults, truncateAnswers: truncateAnswers - 1 };
      return "truncate";
    }
    if (endWithoutDone > 0) {
      this.#faults = { ...this.#faults, endWithoutDone: endWithoutDone - 1 };
      return "end_without_done";
    }
    return "none";
  }

  /** Exports (GET) or imports (PUT) the state of a stream. */
  async #transferState(exchange: HttpExchange): Promise<void> {
    const { method, segments, request, response } = exchange;
    const requestId = segments[1] ?? "";
    const entry = this.#journal.addEntry(request);
    if (method === "GET") {
      const state = this.#resumableStreams.get(requestId);
      entry.setOutcome(state ? "completed" : "rejected");
      if (!state) return sendError(response, 404, "no such request");
      return sendJson(response, 200, state);
    }
    const state = await readJson(request, exportedStateSchema);
    entry.setOutcome("completed");
    this.#cache.store(this.#cache.blockKeys(promptText(state.request)));
    this.#resumableStreams.save(state);
    this.#resumableStreams.startExpiry(state);
    sendJson(response, 200, { requestId });
  }

  async #handleOrder({ request, response }: HttpExchange): Promise<void> {
    const entry = this.#journal.addEntry(request);
    const order = await readJson(request, orderRequestSchema);
    entry.setBody(Buffer.from(JSON.stringify(order)));
    const { status, body } = await this.#orderHandler.execute(order);
    entry.setOutcome(status === 200 ? "completed" : "rejected");
    sendJson(response, status, body);
  }
}

const resumeSchema = z.strictObject({ from: z.number().int().nonnegative() });

function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
):
  | { success: true; data: z.output<Schema> }
  | { success: false; reason: string } {
  try {
    const result = schema.safeParse(JSON.parse(text));
    if (result.success) return { success: true, data: result.data };
    return { success: false, reason: z.prettifyError(result.error) };
  } catch {
    return { success: false, reason: "the body is not JSON" };
  }
}
