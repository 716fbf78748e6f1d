/**
 * The part of the configuration document that the serving path needs, as plain data, and an index
 * that looks up routes by host and workspaces by key. An index is built once for each version
 * and never modified.
 */

import type { RouteId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { ColdPolicy } from "./cold/cold-rate.ts";
import { commonRegionsOf } from "./regions.ts";

/** What may be done with a request of the route after a failed attempt. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming" | "batch";

export interface RouteTarget {
  readonly service: UpstreamName;
  /** Share of the route's requests, relative to the other targets. */
  readonly weight: number;
}

export interface RouteRule {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  readonly timeoutMilliseconds: number;
  readonly latencyObjectiveMilliseconds: number;
  /** Longest pause between two events of a stream that still meets the objective. */
  readonly pauseObjectiveMilliseconds: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Maximum number of servers on which one request may run. */
  readonly maximumAttempts: number;
  /** For batch routes: time from acceptance until all results are due. */
  readonly dueMilliseconds: number;
  /** For batch routes: time from acceptance until an item may be given up. */
  readonly retentionMilliseconds: number;
  /**
   * For batch routes: largest number of tokens of a workspace's accepted items that may wait for
   * their results at the same time; 0 for no limit.
   */
  readonly maximumWaitingTokens: number;
  /** Regions in which requests of the route may be handled; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

export interface ServiceRule {
  readonly name: UpstreamName;
  readonly maximumConnections: number;
  /** Requests that one server runs at the same time. */
  readonly slots: number;
  /** Undefined if servers of the service are never cold. */
  readonly cold?: ColdPolicy | undefined;
}

export interface WorkspaceRule {
  readonly id: WorkspaceId;
  readonly keys: readonly string[];
  /** Overrides the priority of the route, if given. */
  readonly priority: number | undefined;
  /** Requests per second across the whole fleet; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Capacity of the token bucket, in requests. */
  readonly burst: number;
  /** Regions in which requests of the workspace may be handled; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Limits on the size of a caller's request and on how long it may take. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: readonly ServiceRule[];
  /** Undefined if the document defines no workspaces; then no key is required. */
  readonly workspaces: readonly WorkspaceRule[] | undefined;
  readonly limits: CallerLimits;
}

export class ConfigurationIndex {
  readonly configuration: FleetConfiguration;
  /** See `commonRegionsOf`; undefined means that there is nothing to check anywhere. */
  readonly commonRegions: readonly string[] | undefined;
  readonly #routes = new Map<RouteId, RouteRule>();
  readonly #routesByHost = new Map<string, RouteRule[]>();
  readonly #workspacesByKey = new Map<string, WorkspaceRule>();
  readonly #workspaces = new Map<WorkspaceId, WorkspaceRule>();
  readonly #services = new Map<UpstreamName, ServiceRule>();

  constructor(configuration: FleetConfiguration) {
    this.configuration = configuration;
    this.commonRegions = commonRegionsOf(configuration);
    for (const route of configuration.routes) {
      if (!this.#routes.has(route.id)) this.#routes.set(route.id, route);
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((left, right) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    for (const workspace of configuration.workspaces ?? []) {
      this.#workspaces.set(workspace.id, workspace);
      for (const key of workspace.keys) {
        this.#workspacesByKey.set(key, workspace);
      }
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  route(id: RouteId | undefined): RouteRule | undefined {
    return id === undefined ? undefined : this.#routes.get(id);
  }

  /** The host's route with the longest path prefix that matches. */
  findRoute(host: string, path: string): RouteRule | undefined {
    return this.#routesByHost.get(host)
      ?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** The host's batch route with the longest path prefix. */
  findBatchRoute(host: string): RouteRule | undefined {
    return this.#routesByHost.get(host)
      ?.find((route) => route.kind === "batch");
  }

  service(name: UpstreamName): ServiceRule | undefined {
    return this.#services.get(name);
  }

  workspace(id: WorkspaceId | undefined): WorkspaceRule | undefined {
    return id === undefined ? undefined : this.#workspaces.get(id);
  }

  workspaceOfKey(key: string): WorkspaceRule | undefined {
    return this.#workspacesByKey.get(key);
  }

  /** Whether routes that are not public require a key. */
  get requiresApiKey(): boolean {
    return this.configuration.workspaces !== undefined;
  }
}
