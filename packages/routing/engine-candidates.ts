/**
 * Choice of an engine for a chat request. Engines that hold the prompt's prefix in their cache
 * are preferred, two random ones keep the load even when many prefixes map to one engine.
 */

import type { SeededRandom } from "../common/random.ts";
import { affinityBonus, randomCandidates } from "./constants.ts";

export interface CandidateOptions<Name extends string> {
  /** Engines of the model in the order of their rendezvous rank for the prefix. */
  ranked: readonly Name[];
  /** Whether the engine may get a request: live, healthy and not tried yet. */
  isAvailable: (name: Name) => boolean;
  /** How many of the best ranked engines are candidates. */
  affinityCandidateCount: number;
  loadOf: (name: Name) => number;
  random: SeededRandom;
}

export interface Candidate<Name extends string> {
  readonly name: Name;
  readonly hasAffinity: boolean;
}

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
 * The candidate with the lowest load after the bonus; the better rank wins a tie. If every
 * candidate is full, a random engine with free capacity is better than waiting in a queue; a
 * random one, because the least loaded would be the same for all instances.
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
