/** Registers the gauges that report the state of an entry instance. */

import process from "node:process";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { CallerListener } from "../gateway/caller-listener.ts";
import type { OverloadControl } from "../overload/overload-control.ts";
import type { Coordination } from "./coordination.ts";
import type { EntryMetrics, GaugeDefinition } from "./entry-metrics.ts";

export interface GaugeSources {
  readonly blackboard: Blackboard;
  readonly coordination: Coordination;
  readonly listener: CallerListener;
  readonly overload: OverloadControl;
}

export function addInstanceGauges(
  metrics: EntryMetrics,
  { blackboard, coordination, listener, overload }: GaugeSources,
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
      name: "rosemaryrudder_server_limits",
      help: "Servers that state how many requests per second they take.",
      read: () => blackboard.serverLimits.inForce,
    },
    {
      name: "rosemaryrudder_leaving_servers",
      help:
        "Servers in the list that have stated in an answer that they leave.",
      read: () => blackboard.upstreams.leavingServers().length,
    },
    {
      name: "rosemaryrudder_active_requests",
      help: "Requests of callers that are being answered.",
      read: () => listener.activeRequests,
    },
    {
      name: "rosemaryrudder_running_items",
      help: "Batch items that run at servers.",
      read: () => coordination.batch?.runningItems ?? 0,
    },
    {
      name: "rosemaryrudder_waiting_items",
      help: "Batch items that wait for a server.",
      read: () => coordination.batch?.report().waitingItems ?? 0,
    },
    {
      name: "rosemaryrudder_owned_partitions",
      help: "Partitions of the job stream that this instance owns.",
      read: () => coordination.batch?.report().ownedPartitions.length ?? 0,
    },
    {
      name: "rosemaryrudder_quarantined_parts",
      help: "Prompt parts whose requests are rejected, since servers crash.",
      read: () => coordination.crashControl.quarantine.verdicts.length,
    },
    {
      name: "rosemaryrudder_coordinator",
      help: "1 if this instance is a coordinator.",
      read: () => coordination.isCoordinator ? 1 : 0,
    },
    {
      name: "rosemaryrudder_dependents",
      help: "Instances that this coordinator decides for.",
      read: () => coordination.dependents,
    },
    {
      name: "rosemaryrudder_members_heard",
      help: "Coordinators heard from recently, including this instance.",
      read: () => coordination.view().heard,
    },
    {
      name: "rosemaryrudder_held_bytes",
      help: "Bytes that are held for callers, servers and peers.",
      read: () => overload.heldBytes.state.heldBytes,
    },
    {
      name: "rosemaryrudder_held_bytes_limit",
      help: "Budget of held bytes.",
      read: () => overload.heldBytes.state.limitBytes,
    },
    {
      name: "rosemaryrudder_waiting_bodies",
      help: "Bodies that are not read since the budget is exhausted.",
      read: () => overload.heldBytes.state.waitingHoldings,
    },
    {
      name: "rosemaryrudder_memory_tight",
      help: "1 if the resident memory is close to that of the machine.",
      read: () => overload.memory.isTight ? 1 : 0,
    },
    {
      name: "rosemaryrudder_forced_collections",
      help: "Garbage collections that high resident memory has caused.",
      read: () => overload.memory.collections,
    },
    {
      name: "rosemaryrudder_caller_connections",
      help: "Open connections of callers.",
      read: () => overload.connections.openConnections,
    },
    {
      name: "rosemaryrudder_resident_memory_bytes",
      help: "Resident memory of the process.",
      read: () => process.memoryUsage.rss(),
    },
  ];
  for (const gauge of gauges) metrics.addGauge(gauge);
}
