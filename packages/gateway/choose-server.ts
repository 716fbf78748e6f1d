/** Chooses the server of an online request from plain figures about its candidates. */

import type { InstanceId } from "../common/ids.ts";
import { otherZonePenalty, rankJitter } from "./constants.ts";

export interface ServerCandidate {
  readonly id: InstanceId;
  readonly slots: number;
  /** Requests in flight at the server over the whole fleet. */
  readonly online: number;
  readonly batch: number;
  readonly isSameZone: boolean;
  /** It failed lately; it is used only if all others did too. */
  readonly isAvoided: boolean;
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
  const withRoom = pool.filter((candidate) =>
    candidate.online + candidate.batch < candidate.slots
  );
  const free = pickLowest(
    withRoom,
    (candidate) => candidate.online + candidate.batch,
    options,
  );
  if (free) return { kind: "send", server: free, displacesBatch: false };
  const displaceable = pool.filter((candidate) =>
    candidate.online < candidate.slots && candidate.batch > 0
  );
  const shared = pickLowest(
    displaceable,
    (candidate) => candidate.online,
    options,
  );
  if (shared) return { kind: "send", server: shared, displacesBatch: true };
  const least = pickLowest(pool, (candidate) => candidate.online, options)!;
  const waiting = Math.max(0, least.online + 1 - least.slots);
  const wait = waiting * options.durationMilliseconds / least.slots;
  if (wait > options.acceptableWaitMilliseconds) {
    return { kind: "full", expectedWaitMilliseconds: wait };
  }
  return {
    kind: "send",
    server: least,
    displacesBatch: least.batch > 0,
  };
}

function pickLowest(
  candidates: readonly ServerCandidate[],
  loadOf: (candidate: ServerCandidate) => number,
  { random }: ChoiceOptions,
): ServerCandidate | undefined {
  let best: ServerCandidate | undefined;
  let bestRank = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const penalty = candidate.isSameZone ? 0 : otherZonePenalty;
    const rank = loadOf(candidate) + penalty + random() * rankJitter;
    if (rank < bestRank) {
      best = candidate;
      bestRank = rank;
    }
  }
  return best;
}
