/** HTTP server for operators: health, readiness, metrics and status of one instance. */

import { createServer, type Server } from "node:http";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { listenOn } from "../../common/listen.ts";
import { type Logger, silentLogger } from "../../common/logging.ts";
import type { ServingMetrics } from "../metrics/serving-metrics.ts";

export interface Readiness {
  readonly isReady: boolean;
  /** Why the instance is not ready. */
  readonly reason?: string | undefined;
}

export interface OperatorServerOptions {
  host: string;
  port: number;
  metrics: ServingMetrics;
  readiness: () => Readiness;
  /** Body of the response to `GET /status`. */
  status: () => unknown;
  logger?: Logger;
}

export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#server = createServer(toNodeHandler(this.#createApp()));
  }

  /** Resolves with the port that the server listens on. */
  listen(): Promise<number> {
    return listenOn(this.#server, this.#options);
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
  }

  #createApp(): H3 {
    const { metrics, readiness, status, logger = silentLogger } = this.#options;
    return new H3({
      silent: true,
      onError: (error) => {
        if (!error.unhandled) return;
        logger.error("operator request failed", { reason: String(error) });
      },
    })
      .get("/healthz", () => ({ status: "ok" }))
      .get("/readyz", (event) => {
        const { isReady, reason } = readiness();
        event.res.status = isReady ? 200 : 503;
        return isReady ? { status: "ready" } : { status: "not_ready", reason };
      })
      .get("/metrics", async (event) => {
        event.res.headers.set(
          "content-type",
          "text/plain; version=0.0.4; charset=utf-8",
        );
        return await metrics.render();
      })
      .get("/status", () => status());
  }
}
