/** Creates the answers to `GET /status` and `GET /readyz` from the state of the instance. */

import type { Readiness } from "../http/operators/operator-server.ts";
import type { Blackboard } from "./blackboard.ts";
import type { InstanceServices } from "./services.ts";

export function describeStatus(
  blackboard: Blackboard,
  { control, batch }: InstanceServices,
) {
  const { state } = control;
  return {
    instance: blackboard.instance,
    incarnation: blackboard.incarnation,
    zone: blackboard.zone,
    phase: blackboard.phase,
    isFresh: control.isFresh(),
    appliedOffset: state.appliedOffset,
    sections: Object.fromEntries(state.configuration.sectionVersions),
    members: [...state.members.values()].map(({ instance, zone, state }) => ({
      instance,
      zone,
      state,
    })),
    control: control.statistics,
    batch: batch.statistics,
    usage: {
      processorSeconds: blackboard.processorSeconds,
      residentBytes: blackboard.residentBytes,
      controlBytesSent: blackboard.controlBytesSent,
      controlBytesReceived: blackboard.controlBytesReceived,
      logBytesSent: blackboard.logBytesSent,
      logBytesReceived: blackboard.logBytesReceived,
    },
  };
}

export function describeReadiness(
  blackboard: Blackboard,
  services: InstanceServices,
): Readiness {
  if (blackboard.phase !== "serving") {
    return { isReady: false, reason: `the instance is ${blackboard.phase}` };
  }
  if (!services.control.isFresh()) {
    return {
      isReady: false,
      reason:
        "the instance has received nothing recent from the log or its peers",
    };
  }
  return { isReady: true };
}
