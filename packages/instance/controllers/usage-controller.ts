/**
 * Samples the resource use of the process once a second, for the metrics and the status of the
 * instance.
 */

import process from "node:process";
import { Gauge } from "prom-client";
import type { Blackboard } from "../blackboard.ts";
import type { Controller } from "../controller.ts";

const sampleMilliseconds = 1_000;

type UsageField =
  | "processorSeconds"
  | "residentBytes"
  | "controlBytesSent"
  | "controlBytesReceived"
  | "logBytesSent"
  | "logBytesReceived";

const gauges: readonly { field: UsageField; name: string; help: string }[] = [
  {
    field: "processorSeconds",
    name: "rosemaryrudder_processor_seconds",
    help: "Processor time that the process has used.",
  },
  {
    field: "residentBytes",
    name: "rosemaryrudder_resident_bytes",
    help: "Memory of the process.",
  },
  {
    field: "controlBytesSent",
    name: "rosemaryrudder_peer_bytes_sent",
    help: "Bytes sent to other instances.",
  },
  {
    field: "controlBytesReceived",
    name: "rosemaryrudder_peer_bytes_received",
    help: "Bytes received from other instances.",
  },
  {
    field: "logBytesSent",
    name: "rosemaryrudder_log_bytes_sent",
    help: "Bytes sent to the log service.",
  },
  {
    field: "logBytesReceived",
    name: "rosemaryrudder_log_bytes_received",
    help: "Bytes received from the log service.",
  },
];

export const usageController: Controller = {
  name: "usage",
  start({ blackboard, services, store }) {
    const sample = () => {
      const { user, system } = process.cpuUsage();
      blackboard.processorSeconds = (user + system) / 1_000_000;
      blackboard.residentBytes = process.memoryUsage.rss();
      blackboard.controlBytesSent = services.network.bytesSent;
      blackboard.controlBytesReceived = services.network.bytesReceived;
      blackboard.logBytesSent = services.logClient.bytesSent;
      blackboard.logBytesReceived = services.logClient.bytesReceived;
    };
    for (const { field, name, help } of gauges) {
      services.metrics.registry.registerMetric(
        createGauge(blackboard, field, name, help),
      );
    }
    sample();
    store.addInterval(sample, sampleMilliseconds);
  },
};

function createGauge(
  blackboard: Blackboard,
  field: UsageField,
  name: string,
  help: string,
): Gauge {
  return new Gauge({
    name,
    help,
    registers: [],
    collect() {
      this.set(blackboard[field]);
    },
  });
}
