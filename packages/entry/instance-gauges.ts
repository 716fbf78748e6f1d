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
  const deviations = () =>
    blackboard.speeds.deviations(maximumServerValues, performance.now());
  metrics.addServerGauge({
    name: "rosemaryrudder_server_work_time",
    help:
      "Expected work time as a multiple of the usual one, of the servers that differ most.",
    read: () => deviations().map(({ server, workTime }) => [server, workTime]),
  });
  metrics.addServerGauge({
    name: "rosemaryrudder_server_concurrency_limit",
    help: "Requests that a server handles well at once, where below its slots.",
    read: () =>
      deviations().filter((each) => each.concurrencyLimit < each.slots)
        .map(({ server, concurrencyLimit }) => [server, concurrencyLimit]),
  });
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
      name: "rosemaryrudder_cold_servers",
      help: "Servers that count as cold, so that they get few requests.",
      read: () => blackboard.coldServers.count(performance.now()),
    },
    {
      name: "rosemaryrudder_evacuated_zones",
      help: "Zones that operators have evacuated.",
      read: () => blackboard.evacuatedZones.all().length,
    },
    {
      name: "rosemaryrudder_evacuated_since_seconds",
      help:
        "When the instance learnt of the oldest evacuation in force, in Unix time; 0 for none.",
      read: () => evacuatedSince(blackboard),
    },
    {
      name: "rosemaryrudder_evacuated_zone_requests",
      help: "Requests and batch runs of the instance in evacuated zones.",
      read: () => requestsInEvacuatedZones(blackboard),
    },
    {
      name: "rosemaryrudder_deviating_servers",
      help: "Servers that work slower or faster than usual at present.",
      read: () => deviations().length,
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
      name: "rosemaryrudder_stored_bytes",
      help: "Estimated volume of the whole store; 0 at a dependent.",
      read: () => coordination.batch?.storedVolume.bytes ?? 0,
    },
    {
      name: "rosemaryrudder_stored_keys",
      help: "Records of jobs and bodies that the store holds.",
      read: () => coordination.batch?.storedVolume.liveKeys ?? 0,
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
      name: "rosemaryrudder_held_bytes_kept",
      help: "Held bytes that are not refused, such as results of jobs.",
      read: () => overload.heldBytes.state.keptBytes,
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

function evacuatedSince({ evacuatedZones }: Blackboard): number {
  const times = evacuatedZones.all().map(({ since }) => since);
  return times.length === 0 ? 0 : Math.min(...times) / millisecondsPerSecond;
}

function requestsInEvacuatedZones(
  { evacuatedZones, loads, upstreams }: Blackboard,
): number {
  let requests = 0;
  for (const { server, online, batch } of loads.ownLoads()) {
    const zone = upstreams.get(server)?.zone;
    if (zone && evacuatedZones.has(zone)) requests += online + batch;
  }
  return requests;
}

const millisecondsPerSecond = 1_000;

/** Bound of the values of one gauge that has a value for each server. */
const maximumServerValues = 64;
