/**
 * Selects the usages of limits that a report carries. Counts are cumulative, so that it suffices to
 * report those that have changed; all of them are reported at a longer interval, for peers that
 * missed a report. A large fleet has many workspaces, most of which send nothing within one
 * report interval.
 */

import { fullUsageIntervalMilliseconds } from "../constants.ts";
import type { BucketUsage } from "../limits/shared-bucket.ts";

/** A demand is reported again once it has changed by this share of the reported one. */
const reportedDemandChange = 0.2;
/** Changes of the demand below this many requests per second are not worth a report. */
const minimumDemandChangePerSecond = 0.5;

export class UsageSelection<Usage extends BucketUsage> {
  readonly #keyOf: (usage: Usage) => string;
  readonly #reported = new Map<string, Usage>();
  #lastFullAt = Number.NEGATIVE_INFINITY;

  /** `keyOf` names the limit that a usage is of. */
  constructor(keyOf: (usage: Usage) => string) {
    this.#keyOf = keyOf;
  }

  /** `now` is monotonic milliseconds. */
  select(usages: readonly Usage[], now: number): Usage[] {
    const isFull = now - this.#lastFullAt >= fullUsageIntervalMilliseconds;
    if (isFull) this.#lastFullAt = now;
    return usages.filter((usage) => {
      if (usage.admitted === 0 && usage.demandPerSecond === 0) return false;
      if (!isFull && !this.#hasChanged(usage)) return false;
      this.#reported.set(this.#keyOf(usage), usage);
      return true;
    });
  }

  /** Makes the next selection a full one, for a peer that knows nothing yet. */
  reset(): void {
    this.#lastFullAt = Number.NEGATIVE_INFINITY;
  }

  #hasChanged(usage: Usage): boolean {
    const { admitted, demandPerSecond } = usage;
    const reported = this.#reported.get(this.#keyOf(usage));
    if (!reported || reported.admitted !== admitted) return true;
    const change = Math.abs(demandPerSecond - reported.demandPerSecond);
    return change > Math.max(
      minimumDemandChangePerSecond,
      reported.demandPerSecond * reportedDemandChange,
    );
  }
}
