/**
 * The engines of a model at which an instance asks for batch capacity. With few engines these
 * are all of them. With many, each instance asks a few, chosen by rendezvous so that instances
 * spread, and exchanges those that have given nothing for some time.
 */

import { rankByRendezvous } from "../common/hashing.ts";
import type { InstanceId, ModelName, UpstreamName } from "../common/ids.ts";
import type { Upstream } from "../control/document.ts";
import {
  grantTimeoutMilliseconds,
  maximumSelectedEngines,
} from "./constants.ts";

interface ModelSelection {
  readonly engines: readonly Upstream[];
  readonly ranking: readonly UpstreamName[];
  /** Chosen engines, and when each was chosen or gave its last grant. */
  readonly selected: Map<UpstreamName, number>;
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

  /** Exchanges engines that gave nothing; returns whether any was exchanged. */
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
