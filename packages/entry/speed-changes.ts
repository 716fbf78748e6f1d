/** Counts and logs notable changes of the learned speed of servers. */

import type { Logger } from "../common/logging.ts";
import type { SpeedChange } from "../fleet/speed/server-speeds.ts";
import type { EntryMetrics } from "./entry-metrics.ts";

/**
 * Brief changes are logged for debugging only: in a fleet whose servers share machines there are
 * several each second.
 */
export function reportSpeedChange(
  { server, workTime, isSlow, isLasting }: SpeedChange,
  { metrics, logger }: {
    readonly metrics: Pick<EntryMetrics, "countServerSlowdown">;
    readonly logger: Logger;
  },
): void {
  if (isSlow) metrics.countServerSlowdown(isLasting ? "lasting" : "brief");
  const context = { server, workTime: Math.round(workTime * 100) / 100 };
  const message = isSlow
    ? "a server works slower than usual"
    : "a server works at the usual speed again";
  if (isLasting) logger.info(message, { ...context, isLasting });
  else logger.debug(message, context);
}
