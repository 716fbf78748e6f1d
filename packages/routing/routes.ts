/** Plain-service routes: which route a path belongs to and what its upstream gets. */

import type { WorkspaceId } from "../common/ids.ts";
import type { Route } from "../control/document.ts";

/** The route of a path without query. The list has the longest prefix first. */
export function findRoute(
  routes: readonly Route[],
  path: string,
): Route | undefined {
  return routes.find((route) =>
    path === route.pathPrefix || path.startsWith(route.pathPrefix + "/")
  );
}

/** Path at the upstream for a path at the instance. */
export function upstreamPathOf(route: Route, path: string): string {
  if (!route.stripPrefix) return path;
  return path.slice(route.pathPrefix.length) || "/";
}

export function isRouteAllowed(
  route: Route,
  workspace: WorkspaceId | undefined,
): boolean {
  if (route.openToAll) return true;
  if (workspace === undefined) return false;
  return route.workspaces === undefined || route.workspaces.includes(workspace);
}

/**
 * Whether a path could leave its prefix once a service resolves it. Encoded dots and slashes
 * count, because services decode before they resolve.
 */
export function hasDotSegments(path: string): boolean {
  return path.split(/\/|%2f|\\|%5c/i).some((segment) => {
    const decoded = segment.replace(/%2e/gi, ".");
    return decoded === "." || decoded === "..";
  });
}
