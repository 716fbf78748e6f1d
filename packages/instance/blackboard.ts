/**
 * The blackboard of one instance: the state that its controllers share. It is plain data, which
 * the instance and its controllers read and write.
 */

import type { Incarnation, InstanceId, ZoneId } from "../common/ids.ts";

export type InstancePhase =
  | "starting"
  | "serving"
  | "draining"
  | "stopped";

export interface Blackboard {
  readonly instance: InstanceId;
  /** Availability zone in which the instance runs. */
  readonly zone: ZoneId;
  /** Replaced when the instance joins again. */
  incarnation: Incarnation;
  phase: InstancePhase;
  /** Port for frames from peers; 0 until the listener is open. */
  peerPort: number;
  /** Port for callers; 0 until the listener is open. */
  callerPort: number;
  /** Port of the operator server; the configured one until the listener is open. */
  metricsPort: number;
  /** Processor time that the process has used, in seconds, sampled for the metrics. */
  processorSeconds: number;
  /** Resident memory of the process. */
  residentBytes: number;
  /** Bytes sent to other instances, not only for control messages. */
  controlBytesSent: number;
  /** Bytes received from other instances, not only in control messages. */
  controlBytesReceived: number;
  /** Bytes sent to the log service. */
  logBytesSent: number;
  /** Bytes received from the log service. */
  logBytesReceived: number;
}

export interface BlackboardOptions {
  instance: InstanceId;
  zone: ZoneId;
  incarnation: Incarnation;
}

export function createBlackboard(options: BlackboardOptions): Blackboard {
  return {
    ...options,
    phase: "starting",
    peerPort: 0,
    callerPort: 0,
    metricsPort: 0,
    processorSeconds: 0,
    residentBytes: 0,
    controlBytesSent: 0,
    controlBytesReceived: 0,
    logBytesSent: 0,
    logBytesReceived: 0,
  };
}
