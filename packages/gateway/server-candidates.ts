/** Lists the servers that a request could be sent to, with their known load and failures. */

import type { InstanceId, UpstreamName } from "../common/ids.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { ServerCandidate } from "./choose-server.ts";

export interface CandidateQuery {
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
  { upstreams, loads, health, serverLimits, speeds }: Blackboard,
  { service, zone, now, excluded, avoided }: CandidateQuery,
): ServerCandidate[] {
  const candidates: ServerCandidate[] = [];
  for (const server of upstreams.readyServers(service)) {
    if (excluded?.has(server.id)) continue;
    const { online, batch } = loads.estimate(server.id, now);
    candidates.push({
      id: server.id,
      slots: server.slots,
      online,
      batch,
      isSameZone: server.zone === zone,
      isAvoided: health.isAvoided(server.id, now) ||
        avoided?.has(server.id) === true,
      failureShare: health.failureShare(server.id, now),
      sendBudget: serverLimits.budgetOf(server, now),
      workTime: speeds.workTime(server.id, now),
      concurrencyLimit: speeds.concurrencyLimit(server.id, server.slots, now),
    });
  }
  return candidates;
}
