/** Stops the runs of items at servers of evacuated zones; they go on elsewhere from their last event. */

import type { Logger } from "../common/logging.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { ItemWork } from "./work-table.ts";

export function cancelEvacuatedRuns(
  running: readonly ItemWork[],
  { blackboard, now, logger }: {
    readonly blackboard: Blackboard;
    /** Monotonic milliseconds. */
    readonly now: number;
    readonly logger: Logger;
  },
): void {
  const { upstreams, sendRules } = blackboard;
  for (const work of running) {
    const server = work.run && upstreams.get(work.run.server);
    if (!server || sendRules.standingRefusal(server) !== "evacuated") continue;
    logger.info("a run of an item is stopped, since its zone is evacuated", {
      job: work.job,
      item: work.itemId,
      server: server.id,
      zone: server.zone,
    });
    work.retryAt = now;
    work.run!.cancel();
  }
}
