/**
 * Chooses the server for an online request from the known load and failures of the candidates.
 * The functions here keep no state.
 */

import type { InstanceId } from "../common/ids.ts";
import type { SendBudget } from "../fleet/limits/server-limits.ts";
import {
  displaceableSlotShare,
  freeCapacityExponent,
  freeCapacityExponentOfUnequalServers,
  healthWeightExponent,
  maximumFailureShareOfSubstitute,
  otherZoneWeight,
  queueExponent,
  slotBeyondLimitShare,
  workTimeExponent,
} from "./constants.ts";

export interface ServerCandidate {
  readonly id: InstanceId;
  /** Requests that the server runs at the same time. */
  readonly slots: number;
  /** Online requests in flight at the server, from all instances of the fleet. */
  readonly online: number;
  /** Batch runs in flight at the server, from all instances of the fleet. */
  readonly batch: number;
  readonly isSameZone: boolean;
  /** The server failed recently; it is used only if no other candidate takes the request. */
  readonly isAvoided: boolean;
  /** The server has crashed and may be down; false if not given. */
  readonly hasCrashed?: boolean;
  /** Share of the server's recent requests that failed, from 0 to 1. */
  readonly failureShare: number;
  /** What is left of the limit that the server states; undefined if it states none. */
  readonly sendBudget?: SendBudget | undefined;
  /** Expected time of work at the server as a multiple of the usual one; 1 if not given. */
  readonly workTime?: number;
  /** Requests that the server handles well at the same time; all slots if not given. */
  readonly concurrencyLimit?: number;
}

/**
 * `none`: there is no candidate. `full`: the expected wait is too long at every candidate; the
 * shortest one is given. `at_limits`: so it is at every candidate to which a request may be sent by
 * the limit that it states; the other one to which a request may be sent first is given.
 */
export type ServerChoice =
  | {
    readonly kind: "none";
    /** Time after which a server may take a request; undefined if that is unknown. */
    readonly waitMilliseconds?: number | undefined;
  }
  | {
    readonly kind: "send";
    readonly server: ServerCandidate;
    /** A batch run at the server has to be displaced. */
    readonly displacesBatch: boolean;
    /** The request may crash the server; others with the same suspected parts wait for it. */
    readonly isTrial?: boolean;
  }
  | { readonly kind: "full"; readonly expectedWaitMilliseconds: number }
  | {
    readonly kind: "at_limits";
    readonly server: InstanceId;
    readonly budget: SendBudget;
  };

export type NoServer = Partial<Extract<ServerChoice, { kind: "none" }>>;

export type SendChoice = Extract<ServerChoice, { kind: "send" }>;

export interface ChoiceOptions {
  /** Average time for which a request occupies a slot. */
  readonly durationMilliseconds: number;
  /** Longest expected wait at a server for which the request is still sent. */
  readonly acceptableWaitMilliseconds: number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
}

/**
 * Chooses among the servers that are not avoided. A request that none of them takes is sent to an
 * avoided one in preference to refusing it.
 */
export function chooseServer(
  candidates: readonly ServerCandidate[],
  options: ChoiceOptions,
): ServerChoice {
  const trusted = trustedCandidates(candidates);
  const choice = chooseAmong(trusted, options);
  if (choice.kind === "send" || trusted.length === candidates.length) {
    return choice;
  }
  const substitute = chooseAmong(substitutes(candidates), options);
  return substitute.kind === "send" ? substitute : choice;
}

function chooseAmong(
  servers: readonly ServerCandidate[],
  options: ChoiceOptions,
): ServerChoice {
  if (servers.length === 0) return { kind: "none" };
  const pool = servers.filter(maySend);
  if (pool.length === 0) return firstToHaveBudget(servers);
  const serverWithCapacity = pickByCapacity(pool, options);
  if (serverWithCapacity) {
    const displacesBatch = freeSlots(serverWithCapacity) === 0;
    return { kind: "send", server: serverWithCapacity, displacesBatch };
  }
  const choice = chooseFullServer(pool, options);
  if (choice.kind !== "full" || pool.length === servers.length) return choice;
  return firstToHaveBudget(servers.filter((one) => !maySend(one)));
}

/** Chooses the server with the fewest requests, since all of them are lost if it crashes. */
export function chooseServerForTrial(
  candidates: readonly ServerCandidate[],
  options: ChoiceOptions,
): ServerChoice {
  const choice = chooseServer(candidates, options);
  if (choice.kind !== "send") return choice;
  const requestsOf = ({ online, batch }: ServerCandidate) => online + batch;
  const trusted = trustedCandidates(candidates);
  const group = trusted.includes(choice.server)
    ? trusted
    : substitutes(candidates);
  const pool = group.filter(maySend);
  const fewest = Math.min(...pool.map(requestsOf));
  const server = pickByWeight(
    pool,
    (candidate) => requestsOf(candidate) === fewest ? 1 : 0,
    options.random,
  )!;
  return { kind: "send", server, displacesBatch: freeSlots(server) === 0 };
}

/** The candidates that are not avoided, or all if there is no other. */
function trustedCandidates(
  candidates: readonly ServerCandidate[],
): readonly ServerCandidate[] {
  const trusted = candidates.filter((candidate) => !candidate.isAvoided);
  return trusted.length > 0 ? trusted : candidates;
}

/**
 * The avoided candidates that may take requests for which the trusted ones have no room. Servers
 * that fail all their requests or are down are none of them, since they would fail those as well.
 */
function substitutes(
  candidates: readonly ServerCandidate[],
): readonly ServerCandidate[] {
  return candidates.filter(({ isAvoided, hasCrashed, failureShare }) =>
    isAvoided && !hasCrashed &&
    failureShare <= maximumFailureShareOfSubstitute
  );
}

/** Whether the limit that the server states leaves room for a request of this instance. */
function maySend({ sendBudget }: ServerCandidate): boolean {
  return sendBudget === undefined || sendBudget.allowance >= 1;
}

function firstToHaveBudget(
  candidates: readonly ServerCandidate[],
): Extract<ServerChoice, { kind: "at_limits" }> {
  const [first] = candidates.toSorted((left, right) =>
    left.sendBudget!.waitMilliseconds - right.sendBudget!.waitMilliseconds
  );
  return { kind: "at_limits", server: first!.id, budget: first!.sendBudget! };
}

/**
 * Picks among full servers with an acceptable wait, at random and more often those with a short
 * queue. It is random for the same reason as `pickByCapacity`.
 */
function chooseFullServer(
  pool: readonly ServerCandidate[],
  { durationMilliseconds, acceptableWaitMilliseconds, random }: ChoiceOptions,
): ServerChoice {
  const waitOf = ({ online, slots, workTime = 1 }: ServerCandidate) =>
    (online + 1 - slots) * durationMilliseconds * workTime / slots;
  const shortestWait = Math.min(...pool.map(waitOf));
  if (shortestWait > acceptableWaitMilliseconds) {
    return { kind: "full", expectedWaitMilliseconds: shortestWait };
  }
  const server = pickByWeight(
    pool,
    (candidate) =>
      waitOf(candidate) > acceptableWaitMilliseconds
        ? 0
        : Math.max(1, candidate.online + 1 - candidate.slots) **
            -queueExponent *
          healthWeight(candidate) * speedWeight(candidate),
    random,
  )!;
  return { kind: "send", server, displacesBatch: server.batch > 0 };
}

/**
 * Picks a server with free capacity at random, weighted by that capacity. All instances share
 * nearly the same, slightly outdated view of the loads; if each took the emptiest server, they
 * would fill it together. Servers with batch runs, which can be displaced within a few
 * milliseconds, are candidates too: if they were passed over, the last servers without batch runs
 * would be filled in the same way.
 */
function pickByCapacity(
  candidates: readonly ServerCandidate[],
  { random }: ChoiceOptions,
): ServerCandidate | undefined {
  const exponent = candidates.some(({ workTime = 1 }) => workTime !== 1)
    ? freeCapacityExponentOfUnequalServers
    : freeCapacityExponent;
  return pickByWeight(
    candidates,
    (candidate) =>
      freeCapacity(candidate) ** exponent *
      healthWeight(candidate) *
      speedWeight(candidate) *
      (candidate.isSameZone ? 1 : otherZoneWeight),
    random,
  );
}

function pickByWeight(
  candidates: readonly ServerCandidate[],
  weightOf: (candidate: ServerCandidate) => number,
  random: () => number,
): ServerCandidate | undefined {
  const weights = candidates.map(weightOf);
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
  let last: ServerCandidate | undefined;
  for (const [index, candidate] of candidates.entries()) {
    const weight = weights[index]!;
    if (weight === 0) continue;
    last = candidate;
    remaining -= weight;
    if (remaining < 0) break;
  }
  return last;
}

/** Factor from 0 to 1 that lowers the weight of a server with recent failures. */
export function healthWeight({ failureShare }: ServerCandidate): number {
  if (failureShare === 0) return 1;
  return (1 - failureShare) ** healthWeightExponent;
}

/** Factor that lowers the weight of a server whose work takes longer than usual at the moment. */
export function speedWeight({ workTime = 1 }: ServerCandidate): number {
  if (workTime === 1) return 1;
  return workTime ** -workTimeExponent;
}

/** Unused slots of the server, without the `slotsKeptFree` that must stay unused. */
export function freeSlots(
  { slots, online, batch }: Pick<
    ServerCandidate,
    "slots" | "online" | "batch"
  >,
  slotsKeptFree = 0,
): number {
  return Math.max(0, slots - slotsKeptFree - online - batch);
}

/**
 * Whether a request waits at the server for a slot. Answers the load of servers that begin late
 * although they have a slot for each request: stopping a batch run there frees nothing that the
 * waiting request could use, and the run has to be sent once more.
 */
export function hasQueue(
  { slots, online, batch }: Pick<
    ServerCandidate,
    "slots" | "online" | "batch"
  >,
): boolean {
  return online + batch > slots;
}

/**
 * Free slots of the server; slots of batch runs count in part, since runs can be displaced. The
 * limit that a server states bounds them; no run is displaced there, since it would have to be sent
 * once more.
 */
function freeCapacity(candidate: ServerCandidate): number {
  const availableSlots = Math.max(0, candidate.slots - candidate.online);
  const free = freeSlots(candidate);
  const { sendBudget } = candidate;
  const capacity = sendBudget
    ? Math.min(free, sendBudget.allowance)
    : free + (availableSlots - free) * displaceableSlotShare;
  return slotsWithinLimit(candidate, capacity);
}

/**
 * Free slots beyond the concurrency limit count little, so that they are used once other servers
 * have no room left, and still get some requests that show whether the limit has risen.
 */
export function slotsWithinLimit(
  { slots, concurrencyLimit = slots }: ServerCandidate,
  free: number,
): number {
  const within = Math.max(0, free - (slots - concurrencyLimit));
  return within + (free - within) * slotBeyondLimitShare;
}
