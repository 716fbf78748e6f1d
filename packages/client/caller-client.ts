/**
 * HTTP client of the caller-facing API, for the demo, the integration tests and the measurements.
 * It relies only on what `docs/design.md` says about that API.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createParser } from "eventsource-parser";
import { Agent, type Dispatcher, FormData, request } from "undici";
import { type Clock, systemClock } from "../common/clock.ts";
import { RosemaryrudderError } from "../common/errors.ts";

export interface CallerClientOptions {
  /** Base URL of one instance. */
  baseUrl: string;
  key?: string;
  dispatcher?: Dispatcher;
  clock?: Clock;
}

export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly code: string;
    readonly not_run: boolean | "unknown";
    readonly param?: string | null;
    readonly line?: number | null;
  };
}

export interface JsonResponse<Body> {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Body;
}

/** Content and timing of one streamed chat completion. */
export interface ChatStreamResult {
  readonly status: number;
  readonly text: string;
  /** Whether the stream ended with `[DONE]` and without an error. */
  readonly isComplete: boolean;
  /** Time from sending the request to the first token; NaN if none arrived. */
  readonly firstTokenMilliseconds: number;
  /** Time from sending the request to the end of the stream; NaN if the connection failed. */
  readonly totalMilliseconds: number;
  readonly error: ErrorBody["error"] | undefined;
}

export interface BatchBody {
  readonly id: string;
  readonly status: string;
  readonly output_file_id: string | null;
  readonly error_file_id: string | null;
  readonly request_counts: {
    readonly total: number;
    readonly completed: number;
    readonly failed: number;
  };
}

/** A batch did not reach a requested status before the timeout. */
export class BatchWaitError extends RosemaryrudderError {
  constructor(message: string) {
    super("batch_wait", message);
  }
}

/** Creates a connection pool that many clients share. Each stream occupies one connection. */
export function createClientDispatcher({ connections = 512 } = {}): Agent {
  return new Agent({
    connections,
    pipelining: 1,
    headersTimeout: 60_000,
    bodyTimeout: 60_000,
  });
}

export class CallerClient {
  readonly #baseUrl: string;
  readonly #headers: Record<string, string>;
  readonly #dispatcher: Dispatcher | undefined;
  readonly #clock: Clock;

  constructor(
    { baseUrl, key, dispatcher, clock = systemClock }: CallerClientOptions,
  ) {
    this.#baseUrl = baseUrl;
    this.#headers = key === undefined ? {} : { authorization: `Bearer ${key}` };
    this.#dispatcher = dispatcher;
    this.#clock = clock;
  }

  /** Sends a request and parses the JSON response. A string is sent as the body without change. */
  async json<Body = ErrorBody>(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
    { headers = {}, signal }: {
      headers?: Record<string, string>;
      signal?: AbortSignal;
    } = {},
  ): Promise<JsonResponse<Body>> {
    const response = await this.#request(method, path, {
      body: body === undefined
        ? null
        : typeof body === "string"
        ? body
        : JSON.stringify(body),
      headers: { "content-type": "application/json", ...headers },
      signal,
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      headers: response.headers,
      body: (text === "" ? undefined : JSON.parse(text)) as Body,
    };
  }

  /** Streams one chat completion and measures the time to its first token. */
  async chatStream(
    body: Record<string, unknown>,
    { signal }: { signal?: AbortSignal } = {},
  ): Promise<ChatStreamResult> {
    const startedAt = this.#clock.monotonicNow();
    const response = await this.#request("POST", "/v1/chat/completions", {
      body: JSON.stringify({ ...body, stream: true }),
      headers: { "content-type": "application/json" },
      signal,
    });
    if (response.statusCode !== 200) {
      const errorBody = await response.body.json() as ErrorBody;
      return this.#createStreamResult(startedAt, {
        status: response.statusCode,
        error: errorBody.error,
      });
    }
    const collector = new StreamCollector(this.#clock);
    try {
      for await (const chunk of response.body) collector.push(chunk);
    } catch (error) {
      return this.#createStreamResult(startedAt, {
        status: 200,
        ...collector.result(startedAt),
        error: collector.error ??
          {
            message: String(error),
            code: "connection_lost",
            not_run: "unknown",
          },
      });
    }
    return this.#createStreamResult(startedAt, {
      status: 200,
      ...collector.result(startedAt),
    });
  }

  async uploadFile(content: string | Uint8Array, filename = "batch.jsonl") {
    const form = new FormData();
    form.append("purpose", "batch");
    form.append("file", new Blob([content as BlobPart]), filename);
    const response = await this.#request("POST", "/v1/files", { body: form });
    return {
      status: response.statusCode,
      body: await response.body.json() as { id: string } & Partial<ErrorBody>,
    };
  }

  createBatch(
    inputFile: string,
    {
      idempotencyKey,
      completionWindow = "24h",
      endpoint = "/v1/chat/completions",
    }: {
      idempotencyKey?: string;
      completionWindow?: string;
      endpoint?: string;
    } = {},
  ): Promise<JsonResponse<BatchBody & Partial<ErrorBody>>> {
    return this.json(
      "POST",
      "/v1/batches",
      {
        input_file_id: inputFile,
        endpoint,
        completion_window: completionWindow,
      },
      {
        headers: idempotencyKey === undefined
          ? {}
          : { "idempotency-key": idempotencyKey },
      },
    );
  }

  async getBatch(id: string): Promise<JsonResponse<BatchBody>> {
    return await this.json<BatchBody>("GET", `/v1/batches/${id}`);
  }

  /**
   * Polls until the batch has one of the statuses in `states`. Errors while polling are retried.
   * Throws a BatchWaitError after the timeout.
   */
  async waitForBatch(
    id: string,
    {
      states = ["completed", "cancelled", "failed"],
      timeoutMilliseconds = 60_000,
    } = {},
  ): Promise<BatchBody> {
    const deadline = this.#clock.monotonicNow() + timeoutMilliseconds;
    let lastFailure = "no response";
    while (this.#clock.monotonicNow() < deadline) {
      try {
        const { status, body } = await this.getBatch(id);
        if (status === 200 && states.includes(body.status)) return body;
        lastFailure = JSON.stringify(body);
      } catch (error) {
        lastFailure = String(error);
      }
      await sleep(100);
    }
    throw new BatchWaitError(`batch ${id} did not end in time: ${lastFailure}`);
  }

  /** Downloads a JSONL file and parses its lines. */
  async readFileLines<Line = Record<string, unknown>>(
    id: string,
  ): Promise<Line[]> {
    const response = await this.#request("GET", `/v1/files/${id}/content`, {});
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new RosemaryrudderError(
        "file_unreadable",
        `status ${response.statusCode}: ${text}`,
      );
    }
    return text.split("\n").filter((line) => line !== "").map((line) =>
      JSON.parse(line) as Line
    );
  }

  #request(
    method: Dispatcher.HttpMethod,
    path: string,
    { body = null, headers = {}, signal }: {
      body?: string | FormData | null;
      headers?: Record<string, string>;
      signal?: AbortSignal | undefined;
    },
  ): Promise<Dispatcher.ResponseData> {
    return request(this.#baseUrl + path, {
      method,
      body,
      headers: { ...this.#headers, ...headers },
      signal: signal ?? null,
      ...(this.#dispatcher ? { dispatcher: this.#dispatcher } : {}),
    });
  }

  #createStreamResult(
    startedAt: number,
    fields: Partial<ChatStreamResult> & { status: number },
  ): ChatStreamResult {
    return {
      text: "",
      isComplete: false,
      firstTokenMilliseconds: Number.NaN,
      error: undefined,
      totalMilliseconds: this.#clock.monotonicNow() - startedAt,
      ...fields,
    };
  }
}

interface ChatChunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
  readonly error?: ErrorBody["error"];
}

/** Collects the events of one streamed chat completion. */
class StreamCollector {
  readonly #clock: Clock;
  readonly #parser = createParser({
    onEvent: (event) => this.#handleData(event.data),
  });
  readonly #decoder = new TextDecoder();
  #text = "";
  #firstTokenAt: number | undefined;
  #isComplete = false;
  error: ErrorBody["error"] | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  push(chunk: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
  }

  result(startedAt: number) {
    return {
      text: this.#text,
      isComplete: this.#isComplete && this.error === undefined,
      firstTokenMilliseconds: (this.#firstTokenAt ?? Number.NaN) - startedAt,
      error: this.error,
    };
  }

  #handleData(data: string): void {
    if (data === "[DONE]") {
      this.#isComplete = true;
      return;
    }
    const chunk = JSON.parse(data) as ChatChunk;
    if (chunk.error) this.error = chunk.error;
    const content = chunk.choices?.[0]?.delta?.content ?? "";
    if (content === "") return;
    this.#firstTokenAt ??= this.#clock.monotonicNow();
    this.#text += content;
  }
}
