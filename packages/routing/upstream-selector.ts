/** Chooses an upstream from the current directory, loads and prefix rates. */

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

export interface EngineRanking {
  readonly ranked: readonly UpstreamName[];
  readonly affinityCandidateCount: number;
}

interface CachedRanking {
  readonly engines: readonly Upstream[];
  readonly ranked: readonly UpstreamName[];
}

export class UpstreamSelector {
  readonly #options: UpstreamSelectorOptions;
  readonly #prefixRates = new PrefixRates();
  /** Rankings by model and prefix; hashing every engine for every request would be costly. */
  readonly #rankings = new Map<string, CachedRanking>();

  constructor(options: UpstreamSelectorOptions) {
    this.#options = options;
  }

  rankEngines(model: ModelName, prompt: string): EngineRanking {
    const key = `${model}\n${prompt.slice(0, prefixCharacters)}`;
    const rate = this.#prefixRates.record(key, this.#options.monotonicNow());
    return {
      ranked: this.#rank(model, key),
      affinityCandidateCount: affinityCandidateCountFor(rate),
    };
  }

  choose(
    ranking: EngineRanking,
    isAvailable: (name: UpstreamName) => boolean,
  ): UpstreamName | undefined {
    const { loadOf, random } = this.#options;
    return chooseEngine({ ...ranking, isAvailable, loadOf, random });
  }

  /** The least loaded of the upstreams; equal ones take turns at random. */
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
