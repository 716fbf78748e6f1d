/**
 * Decides by which route an item of an accepted job runs. The configuration may have changed since
 * the job was accepted.
 */

import type { ConfigurationIndex, RouteRule } from "../fleet/configuration.ts";
import { allowedRegionsOf } from "../fleet/regions.ts";
import type { SendPurpose } from "../fleet/send-rules.ts";
import type { JobItem, JobRecord } from "./records.ts";
import type { ItemWork } from "./work-table.ts";

export type ItemRoute =
  | { readonly kind: "route"; readonly route: RouteRule }
  /** The job's route is in force, but no route matches the path of the item. */
  | { readonly kind: "no_match" }
  /** The job's route is not in force, and no other batch route takes the item. */
  | { readonly kind: "removed" };

export function findItemRoute(
  configuration: ConfigurationIndex,
  job: Pick<JobRecord, "host" | "route">,
  { path }: Pick<JobItem, "path">,
): ItemRoute {
  const route = configuration.findRoute(job.host, path);
  if (route?.kind === "batch") return { kind: "route", route };
  const isJobRouteInForce = configuration.configuration.routes.some((known) =>
    known.id === job.route && known.kind === "batch" && known.host === job.host
  );
  // An item must not fall to an online route because its batch route was removed.
  if (!isJobRouteInForce) return { kind: "removed" };
  return route ? { kind: "route", route } : { kind: "no_match" };
}

/**
 * True once the configuration has been read up to its end after the removal was noticed. An older
 * configuration may lack the route because the job was accepted by a newer one.
 */
export function isRemovalCertain(
  work: Pick<ItemWork, "routeMissingSince">,
  found: ItemRoute,
  { now, readAt }: {
    /** Monotonic milliseconds. */
    readonly now: number;
    /** When the last read that reached the end of the configuration's stream was sent. */
    readonly readAt: number;
  },
): boolean {
  if (found.kind === "removed") work.routeMissingSince ??= now;
  else work.routeMissingSince = undefined;
  return work.routeMissingSince !== undefined &&
    readAt > work.routeMissingSince;
}

/** What the permission to send an item of the job by the route depends on. */
export function itemPurpose(
  configuration: ConfigurationIndex,
  { workspace }: Pick<JobRecord, "workspace">,
  route: RouteRule,
): SendPurpose {
  const rule = configuration.workspace(workspace);
  return { isBatch: true, allowedRegions: allowedRegionsOf(route, rule) };
}
