/** Forwards requests below a route's path prefix to a plain service. */

import { CallerError } from "../../common/errors.ts";
import type { Route } from "../../control/document.ts";
import { selectRequestHeaders } from "../../routing/forwarded-headers.ts";
import {
  findRoute,
  hasDotSegments,
  isRouteAllowed,
  upstreamPathOf,
} from "../../routing/routes.ts";
import {
  type Admission,
  admit,
  findCallerKey,
  notFreshError,
} from "../admission/admission.ts";
import { assertKeyAbsent } from "../admission/key-leak-check.ts";
import { readBody } from "../bodies/read-body.ts";
import type { RequestContext } from "../server/caller-action.ts";
import { sendUpstreamResponse } from "../server/send-response.ts";

/** Node handles CONNECT itself; TRACE would echo the caller's headers. */
const refusedMethods = new Set(["CONNECT", "TRACE"]);

export async function handlePlainRoute(context: RequestContext): Promise<void> {
  const { request, path, query, services, requestId, signal } = context;
  const { control, router, limits, metrics, clock } = services;
  const route = findRoute(control.state.configuration.routes, path);
  if (!route) throw unknownRoute();
  const method = request.method ?? "GET";
  if (refusedMethods.has(method)) throw methodNotAllowed();
  if (hasDotSegments(path)) {
    throw new CallerError({
      status: 400,
      code: "invalid_path",
      message: "the path must not contain '.' or '..' segments",
    });
  }
  const admission = route.openToAll ? undefined : admitToRoute(context, route);
  if (!control.isFresh()) throw notFreshError();
  const callerKey = findCallerKey(request);
  assertKeyAbsent(path + query, callerKey);
  const body = await readBody(request, limits.routeBodyBytes);
  assertKeyAbsent(body, callerKey);
  await admission?.takeRateToken();
  const upstreamResponse = await router.route({
    route,
    method,
    path: upstreamPathOf(route, path) + query,
    headers: selectRequestHeaders(request.headers, callerKey),
    body: body.length > 0 ? body : undefined,
    requestId,
    signal,
    checkBeforeAttempt: () => checkRouteAccess(context, route, admission),
  });
  await sendUpstreamResponse(context, upstreamResponse);
  if (
    admission && upstreamResponse.status < 400 && context.response.writableEnded
  ) {
    metrics.recordRequestDuration(
      admission.workspace,
      "online",
      clock.monotonicNow() - context.startedAt,
    );
  }
}

function admitToRoute(context: RequestContext, route: Route): Admission {
  const admission = admit(context.request, context.services);
  if (isRouteAllowed(route, admission.workspace)) return admission;
  throw new CallerError({
    status: 403,
    code: "route_not_allowed",
    message: "the workspace may not use the route",
    type: "permission_error",
  });
}

/**
 * Repeats the checks of freshness, key and route right before an attempt, and throws a CallerError
 * if one fails. The route may have been removed since the request arrived, or closed to the
 * workspace.
 */
function checkRouteAccess(
  context: RequestContext,
  route: Route,
  admission: Admission | undefined,
): void {
  const { control } = context.services;
  if (!control.isFresh()) throw notFreshError();
  admission?.check();
  const current = findRoute(control.state.configuration.routes, context.path);
  if (
    current?.id !== route.id || !isRouteAllowed(current, admission?.workspace)
  ) {
    throw unknownRoute();
  }
}

export function unknownRoute(): CallerError {
  return new CallerError({
    status: 404,
    code: "unknown_route",
    message: "no route matches the path",
  });
}

export function methodNotAllowed(): CallerError {
  return new CallerError({
    status: 405,
    code: "method_not_allowed",
    message: "the path does not support this method",
  });
}
