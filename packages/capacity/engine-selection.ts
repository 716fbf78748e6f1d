/**
 * Selects the engines of a model from which an instance requests batch capacity. Of few engines
 * all are selected. Of many, each instance selects some by rendezvous hashing, so that the
 * instances spread over the engines, and replaces those that have issued no grant for some time.
 */

import { rankByRendezvous } from "../common/hashing.ts";
import type { InstanceId, ModelName, UpstreamName } from "../common/ids.ts";
import type { Upstream } from "../control/document.ts";
import {
  grantTimeoutMilliseconds,
  maximumSelectedEngines,
} from "./constants.ts";

/** The selection among the engines of one model. */
interface ModelSelection {
  readonly engines: readonly Upstream[];
  /** The engines in the rendezvous order of this instance. */
  readonly ranking: readonly UpstreamName[];
  /** Selected engines, and when each was selected or issued its last grant. */
  readonly selected: Map<UpstreamName, number>;
  /** Index in `ranking` of the next engine to select, counted on past the end of the list. */
  nextIndex: number;
}

export class EngineSelection {
  readonly #instance: InstanceId;
  readonly #selections = new Map<ModelName, ModelSelection>();

  constructor(instance: InstanceId) {
    this.#instance = instance;
  }

  isSelected(
    model: ModelName,
    engines: readonly Upstream[],
    upstream: UpstreamName,
    now: number,
  ): boolean {
    if (engines.length <= maximumSelectedEngines) return true;
    return this.#selectionFor(model, engines, now).selected.has(upstream);
  }

  recordGrant(model: ModelName, upstream: UpstreamName, now: number): void {
    const selected = this.#selections.get(model)?.selected;
    if (selected?.has(upstream)) selected.set(upstream, now);
  }

  /** Replaces engines that issued no grants; returns whether the selection has changed. */
  replaceUnproductive(
    hasGrants: (upstream: UpstreamName) => boolean,
    now: number,
  ): boolean {
    let hasChanged = false;
    for (const selection of this.#selections.values()) {
      for (const [name, since] of [...selection.selected]) {
        if (now - since < grantTimeoutMilliseconds || hasGrants(name)) continue;
        selection.selected.delete(name);
        this.#fillSelection(selection, now);
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  #selectionFor(
    model: ModelName,
    engines: readonly Upstream[],
    now: number,
  ): ModelSelection {
    const previous = this.#selections.get(model);
    if (previous?.engines === engines) return previous;
    const names = engines.map((engine) => engine.name);
    const rendezvousKey = `batch/${model}/${this.#instance}`;
    const ranking = rankByRendezvous(rendezvousKey, names);
    const kept = [...previous?.selected ?? []].filter(([name]) =>
      names.includes(name)
    );
    const selection = {
      engines,
      ranking,
      selected: new Map(kept),
      nextIndex: 0,
    };
    this.#fillSelection(selection, now);
    this.#selections.set(model, selection);
    return selection;
  }

  /** Selects engines in the order of the ranking up to the maximum. */
  #fillSelection(selection: ModelSelection, now: number): void {
    const { selected, ranking } = selection;
    for (
      let attempts = 0;
      selected.size < maximumSelectedEngines && attempts < ranking.length;
      attempts++
    ) {
      const name = ranking[selection.nextIndex++ % ranking.length];
      if (name !== undefined && !selected.has(name)) selected.set(name, now);
    }
  }
}
