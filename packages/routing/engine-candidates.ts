/**
 * Chooses the engine for a chat request by load and prefix affinity. The engines with the best
 * rendezvous rank for the prompt's prefix are preferred, since they are expected to have it in
 * their cache. Two random candidates even out the load when many prefixes map to one engine.
 */

import type { SeededRandom } from "../common/random.ts";
import { affinityBonus, randomCandidates } from "./constants.ts";

export interface CandidateOptions<Name extends string> {
  /** Engines of the model, sorted by rendezvous rank for the prefix, best first. */
  ranked: readonly Name[];
  /** Whether the engine may receive this request, for example: live, healthy, not tried yet. */
  isAvailable: (name: Name) => boolean;
  /** Number of best-ranked engines that are candidates with affinity. */
  affinityCandidateCount: number;
  /** Requests in flight divided by the concurrency of the engine; 1 or more means full. */
  loadOf: (name: Name) => number;
  random: SeededRandom;
}

export interface Candidate<Name extends string> {
  readonly name: Name;
  /** Whether the engine is expected to have the prefix in its cache. */
  readonly hasAffinity: boolean;
}

/** Returns the best-ranked available engines, followed by random other ones. */
export function selectCandidates<Name extends string>(
  options: CandidateOptions<Name>,
): Candidate<Name>[] {
  const available = options.ranked.filter(options.isAvailable);
  const candidates = available.slice(0, options.affinityCandidateCount).map((
    name,
  ) => ({
    name,
    hasAffinity: true,
  }));
  const otherEngines = available.slice(options.affinityCandidateCount);
  for (
    let count = 0;
    count < randomCandidates && otherEngines.length > 0;
    count++
  ) {
    const [name] = otherEngines.splice(
      options.random.integerBelow(otherEngines.length),
      1,
    );
    if (name !== undefined) candidates.push({ name, hasAffinity: false });
  }
  return candidates;
}

/**
 * Returns the candidate with the lowest load after the affinity bonus; the better rank wins a
 * tie. If every candidate is full, returns a random engine with free capacity, so that the
 * request does not wait in a queue. The least loaded engine is not used for this, because all
 * instances would choose the same one.
 */
export function chooseEngine<Name extends string>(
  options: CandidateOptions<Name>,
): Name | undefined {
  let best: Name | undefined;
  let bestScore = Infinity;
  let areAllFull = true;
  for (const { name, hasAffinity } of selectCandidates(options)) {
    const load = options.loadOf(name);
    if (load < 1) areAllFull = false;
    const score = hasAffinity && load < 1 ? load - affinityBonus : load;
    if (score < bestScore) {
      best = name;
      bestScore = score;
    }
  }
  if (best === undefined || !areAllFull) return best;
  const enginesBelowLimit = options.ranked.filter((name) =>
    options.isAvailable(name) && options.loadOf(name) < 1
  );
  return options.random.pick(enginesBelowLimit) ?? best;
}
