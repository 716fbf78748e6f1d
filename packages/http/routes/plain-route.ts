/** Passes requests below a route's prefix on to a plain service. */

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
import { assertNoKey } from "../admission/key-search.ts";
import { readBody } from "../bodies/read-body.ts";
import type { RequestContext } from "../server/caller-action.ts";
import { sendAnswer } from "../server/send-answer.ts";

/** Node answers CONNECT itself; TRACE would send the caller's headers back. */
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
      message: "the path must not have '.' or '..' segments",
    });
  }
  const admission = route.openToAll ? undefined : admitToRoute(context, route);
  if (!control.isFresh()) throw notFreshError();
  const callerKey = findCallerKey(request);
  assertNoKey(path + query, callerKey);
  const body = await readBody(request, limits.routeBodyBytes);
  assertNoKey(body, callerKey);
  await admission?.take();
  const answer = await router.route({
    route,
    method,
    path: upstreamPathOf(route, path) + query,
    headers: selectRequestHeaders(request.headers, callerKey),
    body: body.length > 0 ? body : undefined,
    requestId,
    signal,
    checkBeforeAttempt: () => checkRoute(context, route, admission),
  });
  await sendAnswer(context, answer);
  if (admission && answer.status < 400 && context.response.writableEnded) {
    metrics.recordTotal(
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

/** The route may have been removed or closed since the request arrived. */
function checkRoute(
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
    message: "no route for this path",
  });
}

export function methodNotAllowed(): CallerError {
  return new CallerError({
    status: 405,
    code: "method_not_allowed",
    message: "the path does not take this method",
  });
}
