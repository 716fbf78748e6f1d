/** Collects what a dependent reports to its coordinator. */

import type { Clock } from "../common/clock.ts";
import type { DependentState } from "../coordination/coordinator-client.ts";
import type { RemotePlacer } from "../coordination/remote-placer.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { Documents } from "../fleet/documents.ts";
import {
  encodeCold,
  encodeLeaving,
  encodeLimits,
} from "../fleet/peers/statement-messages.ts";
import { encodeSpeeds } from "../fleet/speed/speed-messages.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";

export interface DependentStateOptions {
  readonly blackboard: Blackboard;
  readonly documents: Documents;
  readonly quarantine: () => Pick<Quarantine, "takeBegins">;
  readonly placer: () => Pick<RemotePlacer, "takeUnsent">;
  readonly isStoreFailing: () => boolean;
  readonly clock: Clock;
}

/** Returns a function that collects what has come up since its last call. */
export function createDependentState(
  { blackboard, documents, quarantine, placer, isStoreFailing, clock }:
    DependentStateOptions,
): () => DependentState {
  const { loads, health, serverLimits, upstreams } = blackboard;
  const { coldServers, speeds } = blackboard;
  let collectedAt = Number.NEGATIVE_INFINITY;
  return () => {
    const now = clock.monotonicNow();
    const limits = serverLimits.heardSince(collectedAt, now);
    const refused = coldServers.refusedSince(collectedAt, now);
    collectedAt = now;
    return {
      begun: quarantine().takeBegins(),
      loads: loads.ownLoads().map(({ server, online }) =>
        [server, online] as const
      ),
      failures: health.takeFailureCounts().map(({ server, count }) =>
        [server, count] as const
      ),
      serverLimits: encodeLimits(limits),
      leavingServers: encodeLeaving(upstreams.leavingServers()),
      coldServers: encodeCold(refused),
      speeds: encodeSpeeds(speeds.takeAllObservations(now)),
      unsent: placer().takeUnsent(),
      configurationPosition: documents.position("configuration"),
      serversPosition: documents.position("servers"),
      isStoreFailing: isStoreFailing(),
    };
  };
}
