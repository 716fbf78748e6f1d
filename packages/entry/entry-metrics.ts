/** Counters, gauges and latency histograms of an entry instance, as text for scraping. */

// Only the parts in use are loaded; the library's default metrics start threads of their own.
import CounterClass from "prom-client/lib/counter.js";
import GaugeClass from "prom-client/lib/gauge.js";
import RegistryClass from "prom-client/lib/registry.js";
import type { GatewayMetrics } from "../gateway/gateway-metrics.ts";
import type { OnlineOutcome } from "../gateway/online-services.ts";
import type { ReceivedRequest } from "../gateway/caller-request.ts";
import { LatencyRecorder } from "../metrics/latency-recorder.ts";

/** Values that are read when the metrics are asked for. */
export interface GaugeReading {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

export class EntryMetrics implements GatewayMetrics {
  readonly #registry = new RegistryClass();
  readonly #outcomes = this.#counter(
    "rosemaryrudder_requests_total",
    "Online requests by route kind and outcome.",
    ["kind", "outcome"],
  );
  readonly #refusals = this.#counter(
    "rosemaryrudder_refusals_total",
    "Requests that were refused before they were sent, by reason.",
    ["code"],
  );
  readonly #storeCalls = this.#counter(
    "rosemaryrudder_store_calls_total",
    "Calls of the store by kind and outcome.",
    ["call", "outcome"],
  );
  readonly #items = this.#counter(
    "rosemaryrudder_item_runs_total",
    "Runs of batch items by outcome.",
    ["outcome"],
  );
  readonly #connections = this.#counter(
    "rosemaryrudder_server_connections_total",
    "Connections opened to servers.",
    [],
  );
  readonly #firstBytes = new LatencyRecorder(
    "rosemaryrudder_first_bytes_seconds",
    "Time from the arrival of a request to the first bytes of its answer.",
  );
  readonly #total = new LatencyRecorder(
    "rosemaryrudder_request_seconds",
    "Time from the arrival of a request to the end of its answer.",
  );
  readonly #storeLatency = new LatencyRecorder(
    "rosemaryrudder_store_call_seconds",
    "Duration of the calls of the store, long polls with their wait.",
  );

  addGauge({ name, help, read }: GaugeReading): void {
    new GaugeClass({
      name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  countRefusal(code: string): void {
    this.#refusals.inc({ code });
  }

  countStoreCall(call: string, outcome: string, milliseconds: number): void {
    this.#storeCalls.inc({ call, outcome });
    this.#storeLatency.record(call, "batch", milliseconds);
  }

  countItemRun(outcome: string): void {
    this.#items.inc({ outcome });
  }

  countConnection(): void {
    this.#connections.inc();
  }

  noteFirstBytes(received: ReceivedRequest, workspace: string, now: number) {
    this.#firstBytes.record(workspace, "online", now - received.receivedAt);
  }

  noteOutcome(outcome: OnlineOutcome, now: number): void {
    const { received, route, workspace } = outcome;
    this.#outcomes.inc({ kind: route.kind, outcome: outcome.outcome });
    if (outcome.outcome !== "served") return;
    this.#total.record(workspace, "online", now - received.receivedAt);
  }

  async render(): Promise<string> {
    return await this.#registry.metrics() + "\n" + this.#firstBytes.render() +
      this.#total.render() + this.#storeLatency.render();
  }

  #counter(name: string, help: string, labelNames: string[]) {
    return new CounterClass({
      name,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }
}
