/** HTTP server of the caller-facing API: request dispatch, admission, errors and draining. */

import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { H3, type H3Event, type HTTPMethod } from "h3";
import { toNodeHandler } from "h3/node";
import type { BatchService } from "../../batch/batch-service.ts";
import { type Clock, systemClock } from "../../common/clock.ts";
import { CallerError } from "../../common/errors.ts";
import { brandAs, type RequestId } from "../../common/ids.ts";
import { listenOn } from "../../common/listen.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { Limiter } from "../../limits/limiter.ts";
import type { OnlineRouter } from "../../routing/upstream-caller.ts";
import { admit } from "../admission/admission.ts";
import {
  cancelBatchAction,
  createBatchAction,
  getBatchAction,
  listBatchesAction,
} from "../batches/batch-actions.ts";
import { chatAction } from "../chat/chat-action.ts";
import {
  headersTimeoutMilliseconds,
  keepAliveMilliseconds,
  lingerMilliseconds,
  requestTimeoutMilliseconds,
} from "../constants.ts";
import {
  internalError,
  toCallerError,
  toErrorBody,
} from "../errors/error-response.ts";
import {
  createFileAction,
  getFileAction,
  getFileContentAction,
} from "../files/file-actions.ts";
import { defaultRequestLimits, type RequestLimits } from "../limits.ts";
import { ServingMetrics } from "../metrics/serving-metrics.ts";
import { listModelsAction } from "../models/models-action.ts";
import { handlePlainRoute, methodNotAllowed } from "../routes/plain-route.ts";
import type {
  CallerAction,
  CallerServices,
  RequestContext,
} from "./caller-action.ts";
import { Connections } from "./connections.ts";
import { sendError } from "./send-response.ts";

/** All endpoints of the caller-facing API, except the routes to plain services. */
export const callerActions: readonly CallerAction[] = [
  chatAction,
  listModelsAction,
  createFileAction,
  getFileAction,
  getFileContentAction,
  createBatchAction,
  listBatchesAction,
  getBatchAction,
  cancelBatchAction,
];

export interface CallerServerOptions {
  host: string;
  port: number;
  control: ControlView;
  limiter: Limiter;
  router: OnlineRouter;
  batch: BatchService;
  metrics?: ServingMetrics;
  clock?: Clock;
  logger?: Logger;
  /** Overrides individual values of `defaultRequestLimits`. */
  limits?: Partial<RequestLimits>;
  /** Endpoints to serve; `callerActions` by default. */
  actions?: readonly CallerAction[];
}

/** Status in metrics for requests whose caller disconnected before the response began. */
const clientClosedRequestStatus = 499;

type Handler = (context: RequestContext) => Promise<void>;

export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #services: CallerServices;
  readonly #server: Server;
  readonly #connections: Connections;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#services = {
      control: options.control,
      limiter: options.limiter,
      router: options.router,
      batch: options.batch,
      metrics: options.metrics ?? new ServingMetrics(),
      clock: options.clock ?? systemClock,
      logger: options.logger ?? silentLogger,
      limits: { ...defaultRequestLimits, ...options.limits },
    };
    this.#server = createServer(
      {
        keepAliveTimeout: keepAliveMilliseconds,
        headersTimeout: headersTimeoutMilliseconds,
        requestTimeout: requestTimeoutMilliseconds,
        // The host is not used, and Node's own response to a missing host header has no body.
        requireHostHeader: false,
      },
      toNodeHandler(this.#createApp()),
    );
    this.#connections = new Connections(this.#server, this.#services.clock);
    this.#server.on("clientError", handleClientError);
  }

  /** False once the graceful shutdown has started. */
  get isAccepting(): boolean {
    return !this.#connections.isDraining;
  }

  /** Requests whose response has not ended yet. */
  get activeRequests(): number {
    return this.#connections.activeRequests;
  }

  /** Resolves with the port that the server listens on. */
  listen(): Promise<number> {
    return listenOn(this.#server, this.#options);
  }

  /**
   * Starts the graceful shutdown. From now on responses close their connections; the listener
   * closes after the delay, which gives the load balancer time to notice the shutdown.
   */
  async stopAccepting(
    options: { delayMilliseconds?: number } = {},
  ): Promise<void> {
    this.#connections.startDraining();
    const delay = options.delayMilliseconds ?? 0;
    if (delay > 0) await new Promise((resolve) => setTimeout(resolve, delay));
    // http.Server.close would also close connections that have only just become idle.
    NetServer.prototype.close.call(this.#server);
    this.#connections.closeIdle();
  }

  /** Resolves when no request is running and no connection is open. */
  whenIdle(): Promise<void> {
    return this.#connections.whenIdle();
  }

  /** Closes the listener and all connections at once. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      if (!this.#server.listening) resolve();
      this.#server.close(() => resolve());
    });
    this.#connections.destroyAll();
    await closed;
  }

  #createApp(): H3 {
    const app = new H3({
      silent: true,
      allowMalformedURL: true,
      onError: (error) => this.#createRoutingErrorResponse(error),
    });
    const actions = this.#options.actions ?? callerActions;
    for (const action of actions) {
      app.on(
        action.method as HTTPMethod,
        action.path,
        this.#createHandler(
          action.name,
          (context) => runAction(action, context),
        ),
      );
    }
    for (const path of new Set(actions.map((action) => action.path))) {
      const methods = actions.filter((action) => action.path === path)
        .map((action) => action.method);
      app.all(
        path,
        this.#createHandler("other", (context) => {
          context.response.setHeader("allow", methods.join(", "));
          return Promise.reject(methodNotAllowed());
        }),
      );
    }
    app.all("/**", this.#createHandler("route", handlePlainRoute));
    return app;
  }

  /** Creates the response to an error of h3's own routing, which precedes the handlers. */
  #createRoutingErrorResponse(cause: unknown): Response {
    this.#services.logger.warn("request could not be routed", {
      reason: String(cause),
    });
    const error = new CallerError({
      status: 400,
      code: "invalid_path",
      message: "the path cannot be decoded",
    });
    return Response.json(toErrorBody(error), { status: error.status });
  }

  #createHandler(name: string, handle: Handler) {
    return (event: H3Event): Promise<never> => {
      const node = event.runtime?.node;
      if (!node?.res) throw new TypeError("the server needs Node's responses");
      void this.#serve(name, handle, {
        request: node.req as IncomingMessage,
        response: node.res as ServerResponse,
        parameters: event.context.params ?? {},
      });
      // The promise never resolves, because the action writes the response itself. If control
      // returned to h3, it would end the response a second time, for which Node creates an error
      // with a stack trace; that takes 60 us per request.
      return new Promise(() => {});
    };
  }

  async #serve(
    name: string,
    handle: Handler,
    { request, response, parameters }: {
      request: IncomingMessage;
      response: ServerResponse;
      parameters: Record<string, string>;
    },
  ): Promise<void> {
    const { metrics, clock, logger } = this.#services;
    this.#connections.track(request, response);
    if (this.#connections.isDraining) response.shouldKeepAlive = false;
    const abortController = new AbortController();
    response.once("close", () => {
      metrics.recordRequest(
        name,
        response.headersSent ? response.statusCode : clientClosedRequestStatus,
      );
      metrics.setActiveRequests(this.#connections.activeRequests);
      if (!response.writableFinished) abortController.abort();
    });
    response.on("error", (error) => {
      logger.debug("response could not be written", { reason: String(error) });
    });
    metrics.setActiveRequests(this.#connections.activeRequests);
    const requestId = brandAs<RequestId>(randomUUID());
    response.setHeader("x-request-id", requestId);
    const [path = "/", query] = splitUrl(request.url ?? "/");
    const context: RequestContext = {
      request,
      response,
      path,
      query: query ?? "",
      parameters,
      requestId,
      startedAt: clock.monotonicNow(),
      signal: abortController.signal,
      services: this.#services,
    };
    try {
      await handle(context);
    } catch (error) {
      this.#sendErrorResponse(context, error);
    }
  }

  #sendErrorResponse(context: RequestContext, error: unknown): void {
    const { response, request, requestId, services } = context;
    const knownError = toCallerError(error);
    if (!knownError) {
      services.logger.error("request failed unexpectedly", {
        requestId,
        reason: error instanceof Error
          ? (error.stack ?? error.message)
          : String(error),
      });
    }
    const callerError = knownError ?? internalError(error);
    services.metrics.recordError(callerError.code);
    if (response.destroyed || context.signal.aborted) return;
    if (response.headersSent) {
      response.destroy();
      return;
    }
    if (!request.complete) discardRemainingBody(request, response);
    sendError(context, callerError);
  }
}

async function runAction(
  action: CallerAction,
  context: RequestContext,
): Promise<void> {
  const admission = admit(context.request, context.services);
  if (action.takesRateToken === "first") {
    await admission.takeRateToken();
    admission.check();
  }
  await action.handle({ ...context, admission });
}

/** Splits a request target into its path and its query with the question mark, if any. */
function splitUrl(url: string): [string, string?] {
  // The request target may be an absolute URL, of which only path and query are used.
  const target = url.startsWith("/")
    ? url
    : url.replace(/^[a-z]+:\/\/[^/?#]*/i, "");
  const queryStart = target.indexOf("?");
  if (queryStart === -1) return [target || "/"];
  return [target.slice(0, queryStart) || "/", target.slice(queryStart)];
}

/**
 * Reads and discards the rest of the request body for a limited time. Closing the connection at
 * once could destroy the response before the caller has received it.
 */
function discardRemainingBody(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.shouldKeepAlive = false;
  request.resume();
  const timer = setTimeout(() => request.destroy(), lingerMilliseconds);
  request.once("close", () => clearTimeout(timer));
}

/** Sends an error response to a request that Node's HTTP parser rejected or timed out. */
function handleClientError(
  error: Error & { code?: string },
  socket: Socket,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const isTimeout = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
  const isOverflow = error.code === "HPE_HEADER_OVERFLOW";
  const status = isTimeout
    ? "408 Request Timeout"
    : isOverflow
    ? "431 Request Header Fields Too Large"
    : "400 Bad Request";
  const callerError = new CallerError({
    status: 400,
    code: isTimeout
      ? "request_timeout"
      : isOverflow
      ? "headers_too_large"
      : "invalid_http",
    message: "the request is not valid HTTP or did not arrive in time",
  });
  const body = JSON.stringify(toErrorBody(callerError));
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
  );
}
