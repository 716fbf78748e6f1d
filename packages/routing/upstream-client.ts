/**
 * HTTP client for single attempts at upstreams. The verdict of a failed attempt follows from its
 * progress: before the request is written to a connection it has not run, afterwards it may have
 * run, and once a response has begun it ran. Timeouts use Node.js timers, because the timers of
 * undici have a resolution of one second.
 */

import { Agent, Client, type Dispatcher } from "undici";
import { type DialMap, mapAddress } from "../common/dial-map.ts";
import { UpstreamError } from "../common/errors.ts";
import type { UpstreamName } from "../common/ids.ts";
import type { Upstream } from "../control/document.ts";
import {
  connectTimeoutMilliseconds,
  firstByteTimeoutMilliseconds,
  idleTimeoutMilliseconds,
  keepAliveMilliseconds,
} from "./constants.ts";
import { UpstreamAttempt } from "./upstream-attempt.ts";
import type {
  UpstreamCaller,
  UpstreamRequest,
  UpstreamResponse,
} from "./upstream-caller.ts";

export interface UpstreamTimeouts {
  /** Until the request is written to an established connection. */
  connectMilliseconds: number;
  /** From then until the response begins. */
  firstByteMilliseconds: number;
  /** Without a byte of a response that has begun. */
  idleMilliseconds: number;
}

export interface UpstreamClientOptions {
  /** Finds an upstream in the configuration that is in force. */
  findUpstream: (name: UpstreamName) => Upstream | undefined;
  timeouts?: Partial<UpstreamTimeouts> | undefined;
  /** Replaces addresses of upstreams when connecting. */
  dialMap?: DialMap;
}

export const defaultUpstreamTimeouts: UpstreamTimeouts = {
  connectMilliseconds: connectTimeoutMilliseconds,
  firstByteMilliseconds: firstByteTimeoutMilliseconds,
  idleMilliseconds: idleTimeoutMilliseconds,
};

export class UpstreamClient implements UpstreamCaller {
  readonly #findUpstream: UpstreamClientOptions["findUpstream"];
  readonly #timeouts: UpstreamTimeouts;
  readonly #dialMap: DialMap;
  readonly #agent: Agent;
  /** Clients of calls that may not be repeated, each with a connection of its own. */
  readonly #singleUseClients = new Set<Client>();

  constructor(options: UpstreamClientOptions) {
    this.#findUpstream = options.findUpstream;
    this.#timeouts = { ...defaultUpstreamTimeouts, ...options.timeouts };
    this.#dialMap = options.dialMap ?? {};
    this.#agent = new Agent({
      ...this.#connectionOptions(),
      keepAliveTimeout: keepAliveMilliseconds,
      keepAliveMaxTimeout: keepAliveMilliseconds,
      pipelining: 1,
    });
  }

  call(request: UpstreamRequest): Promise<UpstreamResponse> {
    const upstream = this.#findUpstream(request.upstream);
    if (!upstream) {
      return Promise.reject(
        new UpstreamError(
          "upstream_unknown",
          `upstream ${request.upstream} is not configured`,
          { verdict: "not_run" },
        ),
      );
    }
    const origin = `http://${mapAddress(this.#dialMap, upstream.address)}`;
    if (request.isRepeatable) {
      return new UpstreamAttempt({
        request,
        upstream,
        origin,
        dispatcher: this.#agent,
        timeouts: this.#timeouts,
      }).start();
    }
    const client = new Client(origin, {
      ...this.#connectionOptions(),
      pipelining: 0,
    });
    this.#singleUseClients.add(client);
    return new UpstreamAttempt({
      request,
      upstream,
      origin,
      dispatcher: client as Dispatcher,
      timeouts: this.#timeouts,
      onFinished: () => {
        this.#singleUseClients.delete(client);
        void client.destroy();
      },
    }).start();
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await Promise.all([
      this.#agent.destroy(),
      ...[...this.#singleUseClients].map((client) => client.destroy()),
    ]);
  }

  #connectionOptions() {
    return {
      // The connect timer of the attempt fires first; this one only releases the socket.
      connect: { timeout: this.#timeouts.connectMilliseconds * 2 },
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}
