/** Registers the gauges that report the state of an entry instance. */

import process from "node:process";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CoordinatorService } from "../coordination/coordinator-service.ts";
import type { PeerReports } from "../fleet/peers/peer-reports.ts";
import type { CallerListener } from "../gateway/caller-listener.ts";
import type { BatchWork } from "./batch-work.ts";
import type { EntryMetrics, GaugeDefinition } from "./entry-metrics.ts";

export interface GaugeSources {
  readonly blackboard: Blackboard;
  /** Undefined while this instance is no coordinator. */
  readonly batch: () => BatchWork | undefined;
  readonly coordinator: CoordinatorService;
  readonly listener: CallerListener;
  readonly reports: PeerReports;
}

export function addInstanceGauges(
  metrics: EntryMetrics,
  { blackboard, batch, coordinator, listener, reports }: GaugeSources,
): void {
  const gauges: GaugeDefinition[] = [
    {
      name: "rosemaryrudder_ready",
      help: "1 if the instance takes new connections.",
      read: () => blackboard.isReady ? 1 : 0,
    },
    {
      name: "rosemaryrudder_configuration_version",
      help: "Version of the configuration in force; -1 for none.",
      read: () => blackboard.configuration?.version ?? -1,
    },
    {
      name: "rosemaryrudder_known_servers",
      help: "Servers in the list.",
      read: () => blackboard.upstreams.size,
    },
    {
      name: "rosemaryrudder_active_requests",
      help: "Requests of callers that are being answered.",
      read: () => listener.activeRequests,
    },
    {
      name: "rosemaryrudder_running_items",
      help: "Batch items that run at servers.",
      read: () => batch()?.runningItems ?? 0,
    },
    {
      name: "rosemaryrudder_waiting_items",
      help: "Batch items that wait for a server.",
      read: () => batch()?.report().waitingItems ?? 0,
    },
    {
      name: "rosemaryrudder_owned_partitions",
      help: "Partitions of the job stream that this instance owns.",
      read: () => batch()?.report().ownedPartitions.length ?? 0,
    },
    {
      name: "rosemaryrudder_coordinator",
      help: "1 if this instance is a coordinator.",
      read: () => batch() ? 1 : 0,
    },
    {
      name: "rosemaryrudder_dependents",
      help: "Instances that this coordinator decides for.",
      read: () => coordinator.dependents,
    },
    {
      name: "rosemaryrudder_members_heard",
      help: "Coordinators heard from recently, including this instance.",
      read: () => reports.view().heard,
    },
    {
      name: "rosemaryrudder_resident_memory_bytes",
      help: "Resident memory of the process.",
      read: () => process.memoryUsage.rss(),
    },
  ];
  for (const gauge of gauges) metrics.addGauge(gauge);
}
