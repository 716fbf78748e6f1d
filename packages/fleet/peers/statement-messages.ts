/** How instances tell each other what servers state: limits, the sends to them, leaving, and
 * which servers are cold. */

import * as z from "zod/mini";
import type { InstanceId } from "../../common/ids.ts";
import type { KnownCold } from "../cold/cold-servers.ts";
import type { KnownLimit, ServerUsage } from "../limits/server-limits.ts";
import type { StatementListeners } from "../server-statements.ts";
import type { ServerLifetime } from "../upstreams.ts";

/** Server, start of its lifetime, limit, age in milliseconds, whether it is relayed. */
export type WireLimit = readonly [
  InstanceId,
  number,
  number | null,
  number,
  boolean,
];

/** Server, start of its lifetime, requests sent, demand per second, level of the bucket. */
export type WireServerUsage = readonly [
  InstanceId,
  number,
  number,
  number,
  number,
];

const limitPerSecondSchema = z.number().check(z.nonnegative());

/** A report of an instance of an earlier release has none of these fields. */
export const wireLimitsSchema = z._default(
  z.array(z.tuple([
    z.string(),
    z.number(),
    z.nullable(limitPerSecondSchema),
    z.number().check(z.nonnegative()),
    z.boolean(),
  ])),
  [],
);

export const wireServerUsagesSchema = z._default(
  z.array(
    z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()]),
  ),
  [],
);

/** Server and start of the lifetime in which it leaves. */
export type WireLeaving = readonly [InstanceId, number];

export const wireLeavingSchema = z._default(
  z.array(z.tuple([z.string(), z.number()])),
  [],
);

export function encodeLeaving(
  servers: readonly ServerLifetime[],
): WireLeaving[] {
  return servers.map((
    { id, startedAtMilliseconds },
  ) => [id, startedAtMilliseconds]);
}

function decodeLeaving(
  servers: readonly WireLeaving[],
): ServerLifetime[] {
  return servers.map(([id, startedAtMilliseconds]) => ({
    id,
    startedAtMilliseconds,
  }));
}

/** Server, start of its lifetime, milliseconds left, whether a refused connection suggests it. */
export type WireCold = readonly [InstanceId, number, number, boolean];

export const wireColdSchema = z._default(
  z.array(z.tuple([
    z.string(),
    z.number(),
    z.number().check(z.nonnegative()),
    z.boolean(),
  ])),
  [],
);

export function encodeCold(servers: readonly KnownCold[]): WireCold[] {
  return servers.map((
    { server, serverStartedAt, leftMilliseconds, isPresumed },
  ) => [server, serverStartedAt, leftMilliseconds, isPresumed]);
}

function decodeCold(servers: readonly WireCold[]): KnownCold[] {
  return servers.map((
    [server, serverStartedAt, leftMilliseconds, isPresumed],
  ) => ({ server, serverStartedAt, leftMilliseconds, isPresumed }));
}

export function encodeLimits(limits: readonly KnownLimit[]): WireLimit[] {
  return limits.map((limit) => [
    limit.server,
    limit.serverStartedAt,
    limit.limitPerSecond,
    limit.ageMilliseconds,
    limit.isRelayed,
  ]);
}

function decodeLimits(limits: readonly WireLimit[]): KnownLimit[] {
  return limits.map(
    (
      [server, serverStartedAt, limitPerSecond, ageMilliseconds, isRelayed],
    ) => ({
      server,
      serverStartedAt,
      limitPerSecond,
      ageMilliseconds,
      isRelayed,
    }),
  );
}

export interface WireStatements {
  readonly serverLimits: readonly WireLimit[];
  readonly leavingServers: readonly WireLeaving[];
  /** Not in the replies of coordinators, which choose the servers for their dependents. */
  readonly coldServers?: readonly WireCold[];
}

/** Passes the statements in a message of `sender` to the listeners. */
export function notifyOfStatements(
  statements: WireStatements,
  sender: InstanceId,
  listeners: StatementListeners,
): void {
  const { serverLimits, leavingServers, coldServers = [] } = statements;
  // Most messages hold none of them.
  if (serverLimits.length > 0) {
    listeners.onServerLimits(decodeLimits(serverLimits), sender);
  }
  if (leavingServers.length > 0) {
    listeners.onLeavingServers(decodeLeaving(leavingServers), sender);
  }
  if (coldServers.length > 0) {
    listeners.onColdServers(decodeCold(coldServers), sender);
  }
}

export function encodeServerUsage(usage: ServerUsage): WireServerUsage {
  return [
    usage.server,
    usage.serverStartedAt,
    usage.admitted,
    roundToHundredths(usage.demandPerSecond),
    roundToHundredths(usage.level),
  ];
}

export function decodeServerUsage(
  [server, serverStartedAt, admitted, demandPerSecond, level]: WireServerUsage,
): ServerUsage {
  return { server, serverStartedAt, admitted, demandPerSecond, level };
}

/** Keeps reports short. */
export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
