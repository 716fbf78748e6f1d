/**
 * Naive router, a baseline for measurements: makes one attempt at the next upstream in round-robin
 * order, regardless of load, prompt prefixes or health.
 */

import type { UpstreamName } from "../../common/ids.ts";
import { noUpstreamError } from "../../routing/online-router.ts";
import type {
  OnlineChatRequest,
  OnlineRouter,
  OnlineRouteRequest,
  UpstreamCaller,
  UpstreamResponse,
} from "../../routing/upstream-caller.ts";
import type { UpstreamLookup } from "../../routing/upstream-directory.ts";

export interface NaiveRouterOptions {
  caller: UpstreamCaller;
  upstreams: UpstreamLookup;
}

export class NaiveRouter implements OnlineRouter {
  readonly #options: NaiveRouterOptions;
  #nextIndex = 0;

  constructor(options: NaiveRouterOptions) {
    this.#options = options;
  }

  chat(request: OnlineChatRequest): Promise<UpstreamResponse> {
    const { caller, upstreams } = this.#options;
    const engines = upstreams.enginesOf(request.model);
    request.checkBeforeAttempt();
    return caller.call({
      upstream: this.#next(engines.map(({ name }) => name)),
      method: "POST",
      path: "/v1/chat/completions",
      headers: { "content-type": "application/json" },
      body: request.body,
      requestId: request.requestId,
      isRepeatable: true,
      signal: request.signal,
    });
  }

  route(request: OnlineRouteRequest): Promise<UpstreamResponse> {
    const { route, method, path, headers, body, requestId, signal } = request;
    request.checkBeforeAttempt();
    return this.#options.caller.call({
      upstream: this.#next(route.upstreams),
      method,
      path,
      headers,
      body,
      requestId,
      isRepeatable: route.repeatable,
      signal,
    });
  }

  #next(names: readonly UpstreamName[]): UpstreamName {
    const name = names[this.#nextIndex++ % Math.max(1, names.length)];
    if (name !== undefined) return name;
    throw noUpstreamError();
  }
}
