/** Lists the servers that a request may be sent to, with their known load and failures. */

import type { InstanceId, UpstreamName } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { SendPurpose } from "../fleet/send-rules.ts";
import type { ServerCandidate } from "./choose-server.ts";

export interface CandidateQuery extends SendPurpose {
  readonly service: UpstreamName;
  /** Zone of this instance. */
  readonly zone: string;
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Servers to leave out. */
  readonly excluded?: ReadonlySet<InstanceId> | undefined;
  /** Servers to avoid besides those that failed requests of this instance. */
  readonly avoided?: ReadonlySet<InstanceId> | undefined;
}

export function listCandidates(
  { upstreams, loads, health, sendRules, speeds }: Blackboard,
  query: CandidateQuery,
): ServerCandidate[] {
  const { service, zone, now, excluded, avoided } = query;
  const candidates: ServerCandidate[] = [];
  for (const server of upstreams.readyServers(service)) {
    if (excluded?.has(server.id)) continue;
    const permission = sendRules.check(server, now, query);
    if (permission.kind === "refused") continue;
    const { online, batch } = loads.estimate(server.id, now);
    const isAvoided = health.isAvoided(server.id, now) ||
      avoided?.has(server.id) === true;
    candidates.push({
      id: server.id,
      slots: permission.slots,
      online,
      batch,
      isSameZone: server.zone === zone,
      isAvoided,
      hasCrashed: isAvoided && health.hasCrashed(server.id, now),
      failureShare: health.failureShare(server.id, now),
      sendBudget: permission.sendBudget,
      workTime: speeds.workTime(server.id, now),
      concurrencyLimit: speeds.concurrencyLimit(server.id, server.slots, now),
    });
  }
  return candidates;
}
