/** Matching of paths to the routes of plain services, and path rewriting for their upstreams. */

import type { WorkspaceId } from "../common/ids.ts";
import type { Route } from "../control/document.ts";

/** Finds the route of a path without query. `routes` must be sorted by longest prefix first. */
export function findRoute(
  routes: readonly Route[],
  path: string,
): Route | undefined {
  return routes.find((route) =>
    path === route.pathPrefix || path.startsWith(route.pathPrefix + "/")
  );
}

/** Returns the path to request at the upstream for a path requested at the instance. */
export function upstreamPathOf(route: Route, path: string): string {
  if (!route.stripPrefix) return path;
  return path.slice(route.pathPrefix.length) || "/";
}

/** Whether the workspace may use the route; it is undefined for requests without a key. */
export function isRouteAllowed(
  route: Route,
  workspace: WorkspaceId | undefined,
): boolean {
  if (route.openToAll) return true;
  if (workspace === undefined) return false;
  return route.workspaces === undefined || route.workspaces.includes(workspace);
}

/**
 * Whether a path has dot-segments ("." or ".."), with which it could leave the prefix of its
 * route when the service resolves it. Percent-encoded dots and slashes count as well, because
 * services decode a path before they resolve it.
 */
export function hasDotSegments(path: string): boolean {
  return path.split(/\/|%2f|\\|%5c/i).some((segment) => {
    const decoded = segment.replace(/%2e/gi, ".");
    return decoded === "." || decoded === "..";
  });
}
