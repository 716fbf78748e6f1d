/**
 * The blackboard of one instance: the facts that several controllers share. Controllers read
 * and write it; it has no behaviour of its own.
 */

import type { Incarnation, InstanceId, ZoneId } from "../common/ids.ts";

export type InstancePhase =
  | "starting"
  | "serving"
  | "draining"
  | "stopped";

export interface Blackboard {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  incarnation: Incarnation;
  phase: InstancePhase;
  /** Address for frames from peers, known once the listener is open. */
  peerPort: number;
  callerPort: number;
  metricsPort: number;
  /** Seconds of processor time that the process has used, sampled for the metrics. */
  processorSeconds: number;
  residentBytes: number;
  controlBytesSent: number;
  controlBytesReceived: number;
  logBytesSent: number;
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
