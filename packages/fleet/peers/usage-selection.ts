/**
 * Selects the usages of limits that a report carries. Counts are cumulative, so that it suffices to
 * report those that have changed; all of them are reported at a longer interval, for peers that
 * missed a report. A large fleet has many workspaces, most of which send nothing within one
 * report interval.
 */

import type { WorkspaceId } from "../../common/ids.ts";
import { fullUsageIntervalMilliseconds } from "../constants.ts";
import type { WorkspaceUsage } from "../limits/fleet-limits.ts";

/** A demand is reported again once it has changed by this share of the reported one. */
const reportedDemandChange = 0.2;
/** Changes of the demand below this many requests per second are not worth a report. */
const minimumDemandChangePerSecond = 0.5;

export class UsageSelection {
  readonly #reported = new Map<WorkspaceId, WorkspaceUsage>();
  #lastFullAt = Number.NEGATIVE_INFINITY;

  /** `now` is monotonic milliseconds. */
  select(usages: readonly WorkspaceUsage[], now: number): WorkspaceUsage[] {
    const isFull = now - this.#lastFullAt >= fullUsageIntervalMilliseconds;
    if (isFull) this.#lastFullAt = now;
    return usages.filter((usage) => {
      if (usage.admitted === 0 && usage.demandPerSecond === 0) return false;
      if (!isFull && !this.#hasChanged(usage)) return false;
      this.#reported.set(usage.workspace, usage);
      return true;
    });
  }

  /** Makes the next selection a full one, for a peer that knows nothing yet. */
  reset(): void {
    this.#lastFullAt = Number.NEGATIVE_INFINITY;
  }

  #hasChanged({ workspace, admitted, demandPerSecond }: WorkspaceUsage) {
    const reported = this.#reported.get(workspace);
    if (!reported || reported.admitted !== admitted) return true;
    const change = Math.abs(demandPerSecond - reported.demandPerSecond);
    return change > Math.max(
      minimumDemandChangePerSecond,
      reported.demandPerSecond * reportedDemandChange,
    );
  }
}
