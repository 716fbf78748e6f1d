/**
 * The regions in which the bodies of a job may be handled. The bodies of a job are read and cached
 * together, so that a job is handled only where all of its items may be.
 */

import type { Blackboard } from "../fleet/blackboard.ts";
import type { ConfigurationIndex } from "../fleet/configuration.ts";
import {
  allowedRegionsOf,
  intersectRegions,
  isAllowedZone,
} from "../fleet/regions.ts";
import { findItemRoute } from "./item-route.ts";
import type { JobItem, JobRecord } from "./records.ts";

/** What the regions of a job depend on, besides the configuration. */
export type RegionalJob = Pick<JobRecord, "host" | "route" | "workspace"> & {
  readonly items: readonly Pick<JobItem, "path">[];
};

export interface JobRegionsOptions {
  readonly blackboard: Pick<Blackboard, "configuration" | "regionByZone">;
  /** The zone of this instance. */
  readonly zone: string;
  /** Zones in which there is a coordinator that is not silent. */
  readonly liveZones: () => readonly string[];
}

interface FoundRegions {
  readonly configuration: ConfigurationIndex;
  readonly regions: readonly string[] | undefined;
}

export class JobRegions {
  readonly #options: JobRegionsOptions;
  /** A job may have thousands of items, whose routes are looked up once per configuration. */
  readonly #found = new WeakMap<RegionalJob, FoundRegions>();

  constructor(options: JobRegionsOptions) {
    this.#options = options;
  }

  /** Undefined if the job may be handled anywhere; empty if it may be handled nowhere. */
  allowedFor(job: RegionalJob): readonly string[] | undefined {
    const { configuration } = this.#options.blackboard;
    if (!configuration?.commonRegions) return undefined;
    const known = this.#found.get(job);
    if (known?.configuration === configuration) return known.regions;
    const regions = findRegions(job, configuration);
    this.#found.set(job, { configuration, regions });
    return regions;
  }

  /** Whether an instance in the zone, or else this one, may read and send bodies of the job. */
  mayHandle(job: RegionalJob, zone = this.#options.zone): boolean {
    const { blackboard } = this.#options;
    return isAllowedZone(zone, this.allowedFor(job), blackboard.regionByZone);
  }

  /**
   * The region whose owners run the job; undefined if the owner of its partition in the whole fleet
   * decides on it, which runs it only if it may.
   */
  runningRegion(job: RegionalJob): string | undefined {
    const allowedRegions = this.allowedFor(job);
    return allowedRegions && this.firstLive(allowedRegions);
  }

  /** The first region in which a coordinator is alive, so that the owners agree on one. */
  firstLive(regions: readonly string[]): string | undefined {
    const { blackboard, liveZones } = this.#options;
    const live = new Set(
      liveZones().map((zone) => blackboard.regionByZone.get(zone)),
    );
    return regions.find((region) => live.has(region));
  }
}

function findRegions(
  job: RegionalJob,
  configuration: ConfigurationIndex,
): readonly string[] | undefined {
  let regions = allowedRegionsOf(
    configuration.route(job.route),
    configuration.workspace(job.workspace),
  );
  for (const item of job.items) {
    const found = findItemRoute(configuration, job, item);
    if (found.kind !== "route") continue;
    regions = intersectRegions(regions, found.route.allowedRegions);
  }
  return regions;
}
