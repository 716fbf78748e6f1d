/** Chooses engines and plain services by their current load, and engines by prefix affinity. */

import type { SeededRandom } from "../common/random.ts";
import { rankByRendezvous } from "../common/hashing.ts";
import type { ModelName, UpstreamName } from "../common/ids.ts";
import type { Upstream } from "../control/document.ts";
import { chooseEngine } from "./engine-candidates.ts";
import { maximumTrackedPrefixes, prefixCharacters } from "./constants.ts";
import { affinityCandidateCountFor, PrefixRates } from "./prefix-rates.ts";
import type { UpstreamLookup } from "./upstream-directory.ts";

export interface UpstreamSelectorOptions {
  upstreams: UpstreamLookup;
  loadOf: (upstream: UpstreamName) => number;
  random: SeededRandom;
  monotonicNow: () => number;
}

/** The engines of a model, ranked for one prompt. */
export interface EngineRanking {
  /** Best rendezvous rank first. */
  readonly ranked: readonly UpstreamName[];
  /** Number of best-ranked engines that are candidates with affinity. */
  readonly affinityCandidateCount: number;
}

interface CachedRanking {
  /** The array that was ranked, compared by identity to detect a changed configuration. */
  readonly engines: readonly Upstream[];
  readonly ranked: readonly UpstreamName[];
}

export class UpstreamSelector {
  readonly #options: UpstreamSelectorOptions;
  readonly #prefixRates = new PrefixRates();
  /** Rankings by model and prefix, cached to avoid hashing every engine for every request. */
  readonly #rankings = new Map<string, CachedRanking>();

  constructor(options: UpstreamSelectorOptions) {
    this.#options = options;
  }

  /** Counts a request for the prompt's prefix and ranks the engines of the model for it. */
  rankEngines(model: ModelName, prompt: string): EngineRanking {
    const key = `${model}\n${prompt.slice(0, prefixCharacters)}`;
    const rate = this.#prefixRates.record(key, this.#options.monotonicNow());
    return {
      ranked: this.#rank(model, key),
      affinityCandidateCount: affinityCandidateCountFor(rate),
    };
  }

  /** Chooses an engine from a ranking; returns undefined if none is available. */
  choose(
    ranking: EngineRanking,
    isAvailable: (name: UpstreamName) => boolean,
  ): UpstreamName | undefined {
    const { loadOf, random } = this.#options;
    return chooseEngine({ ...ranking, isAvailable, loadOf, random });
  }

  /** Returns the available upstream with the lowest load; picks at random among equal ones. */
  chooseLeastLoaded(
    names: readonly UpstreamName[],
    isAvailable: (name: UpstreamName) => boolean,
  ): UpstreamName | undefined {
    let best: UpstreamName[] = [];
    let bestLoad = Infinity;
    for (const name of names) {
      if (!isAvailable(name)) continue;
      const load = this.#options.loadOf(name);
      if (load < bestLoad) {
        best = [name];
        bestLoad = load;
      } else if (load === bestLoad) {
        best.push(name);
      }
    }
    return best.length < 2 ? best[0] : this.#options.random.pick(best);
  }

  #rank(model: ModelName, key: string): readonly UpstreamName[] {
    const engines = this.#options.upstreams.enginesOf(model);
    const cached = this.#rankings.get(key);
    if (cached?.engines === engines) return cached.ranked;
    const ranked = rankByRendezvous(key, engines.map((engine) => engine.name));
    if (this.#rankings.size >= maximumTrackedPrefixes) this.#rankings.clear();
    this.#rankings.set(key, { engines, ranked });
    return ranked;
  }
}
