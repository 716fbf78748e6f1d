/** Metrics of one instance: request latencies, and the counters and gauges of all packages. */

import { Counter, Gauge, Registry } from "prom-client";
import type { WorkspaceId } from "../../common/ids.ts";
import {
  LatencyRecorder,
  type RequestClass,
} from "../../metrics/latency-recorder.ts";

export class ServingMetrics {
  /** Other packages register their counters and gauges here. */
  readonly registry = new Registry();
  readonly #requests = new Counter({
    name: "rosemaryrudder_requests_total",
    help: "Requests of callers by action and status.",
    labelNames: ["action", "status"],
    registers: [this.registry],
  });
  readonly #errors = new Counter({
    name: "rosemaryrudder_errors_total",
    help: "Errors that callers saw, by code.",
    labelNames: ["code"],
    registers: [this.registry],
  });
  readonly #attempts = new Counter({
    name: "rosemaryrudder_upstream_attempts_total",
    help: "Attempts of online requests at upstreams, by outcome.",
    labelNames: ["outcome", "retry"],
    registers: [this.registry],
  });
  readonly #activeRequests = new Gauge({
    name: "rosemaryrudder_active_requests",
    help: "Requests of callers that are being answered.",
    registers: [this.registry],
  });
  readonly #firstToken = new LatencyRecorder(
    "rosemaryrudder_first_token_seconds",
    "Time from the arrival of a request to the first byte of its answer's body.",
  );
  readonly #requestDuration = new LatencyRecorder(
    "rosemaryrudder_request_seconds",
    "Time from the arrival of a request to the end of its answer.",
  );

  recordRequest(action: string, status: number): void {
    this.#requests.inc({ action, status });
  }

  recordError(code: string): void {
    this.#errors.inc({ code });
  }

  recordAttempt(outcome: string, isRetry: boolean): void {
    this.#attempts.inc({ outcome, retry: String(isRetry) });
  }

  setActiveRequests(count: number): void {
    this.#activeRequests.set(count);
  }

  recordFirstToken(
    workspace: WorkspaceId,
    requestClass: RequestClass,
    milliseconds: number,
  ): void {
    this.#firstToken.record(workspace, requestClass, milliseconds);
  }

  recordRequestDuration(
    workspace: WorkspaceId,
    requestClass: RequestClass,
    milliseconds: number,
  ): void {
    this.#requestDuration.record(workspace, requestClass, milliseconds);
  }

  /** All metrics in the Prometheus text format. */
  async render(): Promise<string> {
    return await this.registry.metrics() + this.#firstToken.render() +
      this.#requestDuration.render();
  }
}
