/** Has one batch run at a server stopped, preferably one of this instance, else of a peer. */

import type { InstanceId } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { LoadTable } from "../fleet/load-table.ts";
import { displaceMessage } from "../fleet/peers/report.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import type { BatchWork } from "./batch-work.ts";
import { displaceTimeoutMilliseconds } from "./constants.ts";

export interface DisplacementContext {
  readonly batch: BatchWork | undefined;
  readonly loads: LoadTable;
  readonly network: PeerNetwork;
  readonly logger: Logger;
}

export async function displaceBatch(
  server: InstanceId,
  { batch, loads, network, logger }: DisplacementContext,
): Promise<void> {
  if (batch?.displace(server)) return;
  for (const peer of loads.peersWithBatchRuns(server)) {
    try {
      const reply = await network.request(peer, displaceMessage, { server }, {
        deadlineMilliseconds: displaceTimeoutMilliseconds,
      });
      if (reply.isDisplaced) return;
    } catch (error) {
      logger.warn("a peer did not respond to a displacement request", {
        peer,
        server,
        reason: String(error),
      });
    }
  }
}
