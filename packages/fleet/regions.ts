/**
 * The regions in which a request may be handled. A route and a workspace may each name some; the
 * region of a zone is given by the settings. A zone without a region is in none of them.
 */

import type { RouteId, WorkspaceId } from "../common/ids.ts";
import type {
  ConfigurationIndex,
  FleetConfiguration,
  RouteRule,
  WorkspaceRule,
} from "./configuration.ts";

export type RegionByZone = ReadonlyMap<string, string>;

/** Undefined if the request may be handled anywhere; empty if it may be handled nowhere. */
export function allowedRegionsOf(
  route: Pick<RouteRule, "allowedRegions"> | undefined,
  workspace: Pick<WorkspaceRule, "allowedRegions"> | undefined,
): readonly string[] | undefined {
  return intersectRegions(route?.allowedRegions, workspace?.allowedRegions);
}

/** The regions that both allow, in the order of the first; undefined allows all. */
export function intersectRegions(
  left: readonly string[] | undefined,
  right: readonly string[] | undefined,
): readonly string[] | undefined {
  if (!left || !right) return left ?? right;
  return left.filter((region) => right.includes(region));
}

/** The regions that all routes and workspaces allow; undefined if none of them names any. */
export function commonRegionsOf(
  { routes, workspaces = [] }: Pick<
    FleetConfiguration,
    "routes" | "workspaces"
  >,
): readonly string[] | undefined {
  let common: readonly string[] | undefined;
  for (const { allowedRegions } of [...routes, ...workspaces]) {
    common = intersectRegions(common, allowedRegions);
  }
  return common;
}

export function isAllowedZone(
  zone: string,
  allowedRegions: readonly string[] | undefined,
  regionByZone: RegionByZone,
): boolean {
  if (!allowedRegions) return true;
  const region = regionByZone.get(zone);
  return region !== undefined && allowedRegions.includes(region);
}

/** Whether a member of the fleet may receive bodies of requests of a route and workspace. */
export function isAllowedInstance(
  member: { readonly zone: string } | undefined,
  routeId: RouteId | undefined,
  workspace: WorkspaceId | undefined,
  { configuration, regionByZone }: {
    readonly configuration: ConfigurationIndex | undefined;
    readonly regionByZone: RegionByZone;
  },
): boolean {
  const allowedRegions = allowedRegionsOf(
    configuration?.route(routeId),
    configuration?.workspace(workspace),
  );
  return isAllowedMember(member, allowedRegions, regionByZone);
}

/** As `isAllowedZone`; an instance that is no member is in no region. */
export function isAllowedMember(
  member: { readonly zone: string } | undefined,
  allowedRegions: readonly string[] | undefined,
  regionByZone: RegionByZone,
): boolean {
  return !allowedRegions ||
    (member !== undefined &&
      isAllowedZone(member.zone, allowedRegions, regionByZone));
}
