/** Counters, gauges and latency summaries of an entry instance, in the Prometheus text format. */

// Only the modules in use are imported: the default metrics of prom-client start their own threads.
import CounterClass from "prom-client/lib/counter.js";
import GaugeClass from "prom-client/lib/gauge.js";
import RegistryClass from "prom-client/lib/registry.js";
import type { GatewayMetrics } from "../gateway/gateway-metrics.ts";
import type { OnlineOutcome } from "../gateway/online-services.ts";
import type { ReceivedRequest } from "../gateway/caller-request.ts";
import type { EvictionReason, HoldingKind } from "../overload/held-bytes.ts";
import type { OverloadMetrics } from "../overload/overload-control.ts";
import { LatencyRecorder } from "../metrics/latency-recorder.ts";

/** A gauge whose value is read whenever the metrics are rendered. */
export interface GaugeDefinition {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** A gauge with one value for each of some servers; `read` bounds their number. */
export interface ServerGaugeDefinition {
  readonly name: string;
  readonly help: string;
  readonly read: () => readonly (readonly [server: string, value: number])[];
}

export class EntryMetrics implements GatewayMetrics, OverloadMetrics {
  readonly #registry = new RegistryClass();
  readonly #requests = this.#createCounter(
    "rosemaryrudder_requests_total",
    "Online requests by route kind and outcome.",
    ["kind", "outcome"],
  );
  readonly #refusals = this.#createCounter(
    "rosemaryrudder_refusals_total",
    "Requests that were refused before they were sent, by reason.",
    ["code"],
  );
  readonly #heldSends = this.#createCounter(
    "rosemaryrudder_held_sends_total",
    "Online requests that servers at their stated limits made wait, or that were refused.",
    ["outcome"],
  );
  readonly #storeCalls = this.#createCounter(
    "rosemaryrudder_store_calls_total",
    "Calls to the store by kind and outcome.",
    ["call", "outcome"],
  );
  readonly #itemRuns = this.#createCounter(
    "rosemaryrudder_item_runs_total",
    "Runs of batch items by outcome.",
    ["outcome"],
  );
  readonly #removals = this.#createCounter(
    "rosemaryrudder_removed_records_total",
    "Records that this instance has removed from the store, by family.",
    ["family"],
  );
  readonly #serverCrashes = this.#createCounter(
    "rosemaryrudder_server_crashes_total",
    "Crashes of servers that this instance has noticed.",
    [],
  );
  readonly #serverSlowdowns = this.#createCounter(
    "rosemaryrudder_server_slowdowns_total",
    "Times that a server became notably slower than usual, by duration.",
    ["duration"],
  );
  readonly #malformedStatements = this.#createCounter(
    "rosemaryrudder_malformed_statements_total",
    "Headers with which servers state load, limit or leaving and that cannot be decoded.",
    [],
  );
  readonly #malformedEntries = this.#createCounter(
    "rosemaryrudder_malformed_server_entries_total",
    "Entries of servers in the list that cannot be decoded and are skipped.",
    [],
  );
  readonly #serverConnections = this.#createCounter(
    "rosemaryrudder_server_connections_total",
    "Connections opened to servers.",
    [],
  );
  readonly #evictions = this.#createCounter(
    "rosemaryrudder_evictions_total",
    "Bodies and answers that were given up, for lack of room or of progress.",
    ["kind", "reason"],
  );
  readonly #closedConnections = this.#createCounter(
    "rosemaryrudder_caller_connections_closed_total",
    "Connections of callers that were evicted or refused at the limit.",
    ["kind"],
  );
  readonly #connectionRenewals = this.#createCounter(
    "rosemaryrudder_connection_renewals_total",
    "Replacements of connections that no longer answered, by kind of the other end.",
    ["target"],
  );
  readonly #firstBytesLatency = new LatencyRecorder(
    "rosemaryrudder_first_bytes_seconds",
    "Time from the arrival of a request to the first bytes of its answer.",
  );
  readonly #requestLatency = new LatencyRecorder(
    "rosemaryrudder_request_seconds",
    "Time from the arrival of a request to the end of its answer.",
  );
  readonly #storeCallLatency = new LatencyRecorder(
    "rosemaryrudder_store_call_seconds",
    "Duration of calls to the store, including the wait of long polls.",
  );

  addGauge({ name, help, read }: GaugeDefinition): void {
    new GaugeClass({
      name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  addServerGauge({ name, help, read }: ServerGaugeDefinition): void {
    new GaugeClass({
      name,
      help,
      labelNames: ["server"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [server, value] of read()) this.set({ server }, value);
      },
    });
  }

  countRefusal(code: string): void {
    this.#refusals.inc({ code });
  }

  countHeldSend(outcome: "waited" | "refused"): void {
    this.#heldSends.inc({ outcome });
  }

  countStoreCall(call: string, outcome: string, milliseconds: number): void {
    this.#storeCalls.inc({ call, outcome });
    // The label `workspace` of this summary holds the kind of call; its class is always `batch`.
    this.#storeCallLatency.record(call, "batch", milliseconds);
  }

  countItemRun(outcome: string): void {
    this.#itemRuns.inc({ outcome });
  }

  countRemovals(family: string, count: number): void {
    this.#removals.inc({ family }, count);
  }

  countServerCrash(): void {
    this.#serverCrashes.inc();
  }

  countServerSlowdown(duration: "brief" | "lasting"): void {
    this.#serverSlowdowns.inc({ duration });
  }

  countMalformedStatement(): void {
    this.#malformedStatements.inc();
  }

  countMalformedEntry(): void {
    this.#malformedEntries.inc();
  }

  countConnection(): void {
    this.#serverConnections.inc();
  }

  countEviction(kind: HoldingKind, reason: EvictionReason): void {
    this.#evictions.inc({ kind, reason });
  }

  countClosedConnection(kind: "evicted" | "refused"): void {
    this.#closedConnections.inc({ kind });
  }

  countConnectionRenewal(target: "store" | "server"): void {
    this.#connectionRenewals.inc({ target });
  }

  recordFirstBytes(received: ReceivedRequest, workspace: string, now: number) {
    this.#firstBytesLatency.record(
      workspace,
      "online",
      now - received.receivedAt,
    );
  }

  recordOutcome(outcome: OnlineOutcome, now: number): void {
    const { received, route, workspace } = outcome;
    this.#requests.inc({ kind: route.kind, outcome: outcome.outcome });
    if (outcome.outcome !== "served") return;
    this.#requestLatency.record(workspace, "online", now - received.receivedAt);
  }

  async render(): Promise<string> {
    return await this.#registry.metrics() + "\n" +
      this.#firstBytesLatency.render() +
      this.#requestLatency.render() + this.#storeCallLatency.render();
  }

  #createCounter(name: string, help: string, labelNames: string[]) {
    return new CounterClass({
      name,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }
}
