/** Chooses the server of an online request from plain figures about its candidates. */

import type { InstanceId } from "../common/ids.ts";
import {
  displaceableSlotShare,
  freeCapacityExponent,
  healthWeightExponent,
  otherZoneWeight,
  queueExponent,
} from "./constants.ts";

export interface ServerCandidate {
  readonly id: InstanceId;
  readonly slots: number;
  /** Requests in flight at the server over the whole fleet. */
  readonly online: number;
  readonly batch: number;
  readonly isSameZone: boolean;
  /** It failed lately; it is used only if all others did too. */
  readonly isAvoided: boolean;
  /** Share of its requests that failed lately. */
  readonly failureShare: number;
}

export type ServerChoice =
  | { readonly kind: "none" }
  | {
    readonly kind: "send";
    readonly server: ServerCandidate;
    /** Batch runs at the server have to make room. */
    readonly displacesBatch: boolean;
  }
  | { readonly kind: "full"; readonly expectedWaitMilliseconds: number };

export type SendChoice = Extract<ServerChoice, { kind: "send" }>;

export interface ChoiceOptions {
  /** How long a request occupies a slot on average. */
  readonly durationMilliseconds: number;
  /** Longest wait at a server for which the request is still sent. */
  readonly acceptableWaitMilliseconds: number;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

export function chooseServer(
  candidates: readonly ServerCandidate[],
  options: ChoiceOptions,
): ServerChoice {
  const usable = candidates.filter((candidate) => !candidate.isAvoided);
  const pool = usable.length > 0 ? usable : candidates;
  if (pool.length === 0) return { kind: "none" };
  const serverWithCapacity = pickByCapacity(pool, options);
  if (serverWithCapacity) {
    const displacesBatch = freeSlots(serverWithCapacity) === 0;
    return { kind: "send", server: serverWithCapacity, displacesBatch };
  }
  return chooseFullServer(pool, options);
}

/** Among full servers, those with a short queue are taken more often, for the same reason. */
function chooseFullServer(
  pool: readonly ServerCandidate[],
  { durationMilliseconds, acceptableWaitMilliseconds, random }: ChoiceOptions,
): ServerChoice {
  const waitOf = ({ online, slots }: ServerCandidate) =>
    (online + 1 - slots) * durationMilliseconds / slots;
  const shortestWait = Math.min(...pool.map(waitOf));
  if (shortestWait > acceptableWaitMilliseconds) {
    return { kind: "full", expectedWaitMilliseconds: shortestWait };
  }
  const server = pickByWeight(
    pool,
    (candidate) =>
      waitOf(candidate) > acceptableWaitMilliseconds
        ? 0
        : (candidate.online + 1 - candidate.slots) ** -queueExponent *
          healthWeight(candidate),
    random,
  )!;
  return { kind: "send", server, displacesBatch: server.batch > 0 };
}

/**
 * Picks among the servers with room, each with a chance by its room. All instances share nearly
 * the same view, a little old; if each took the emptiest server, they would fill it together.
 * The same would happen to the last servers without batch runs if those with such runs, which
 * make room within a few milliseconds, were passed over.
 */
function pickByCapacity(
  candidates: readonly ServerCandidate[],
  { random }: ChoiceOptions,
): ServerCandidate | undefined {
  return pickByWeight(
    candidates,
    (candidate) =>
      freeCapacity(candidate) ** freeCapacityExponent *
      healthWeight(candidate) *
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

/** From 0 to 1: how much less often a server is chosen for its failures. */
export function healthWeight({ failureShare }: ServerCandidate): number {
  return (1 - failureShare) ** healthWeightExponent;
}

/** Slots of the server that nobody uses, beyond those that are to be kept free. */
export function freeSlots(
  { slots, online, batch }: Pick<
    ServerCandidate,
    "slots" | "online" | "batch"
  >,
  slotsKeptFree = 0,
): number {
  return Math.max(0, slots - slotsKeptFree - online - batch);
}

function freeCapacity(candidate: ServerCandidate): number {
  const availableSlots = Math.max(0, candidate.slots - candidate.online);
  const free = freeSlots(candidate);
  return free + (availableSlots - free) * displaceableSlotShare;
}
