/**
 * The engines of a model at which an instance asks for batch capacity. With few engines these
 * are all of them. With many, each instance asks a few, chosen by rendezvous so that instances
 * spread, and exchanges those that have given nothing for some time.
 */

import { rankByRendezvous } from "../common/hashing.ts";
import type { InstanceId, ModelName, UpstreamName } from "../common/ids.ts";
import type { Upstream } from "../control/document.ts";
import {
  maximumUpstreamsAsked,
  unproductiveMilliseconds,
} from "./constants.ts";

interface ModelChoice {
  readonly engines: readonly Upstream[];
  readonly ranking: readonly UpstreamName[];
  /** Chosen engines, and when each was chosen or gave its last grant. */
  readonly asked: Map<UpstreamName, number>;
  next: number;
}

export class AskedUpstreams {
  readonly #instance: InstanceId;
  readonly #choices = new Map<ModelName, ModelChoice>();

  constructor(instance: InstanceId) {
    this.#instance = instance;
  }

  isAsked(
    model: ModelName,
    engines: readonly Upstream[],
    upstream: UpstreamName,
    now: number,
  ): boolean {
    if (engines.length <= maximumUpstreamsAsked) return true;
    return this.#choiceOf(model, engines, now).asked.has(upstream);
  }

  noteGrant(model: ModelName, upstream: UpstreamName, now: number): void {
    const asked = this.#choices.get(model)?.asked;
    if (asked?.has(upstream)) asked.set(upstream, now);
  }

  /** Exchanges engines that gave nothing; returns whether any was exchanged. */
  rotate(isHolding: (upstream: UpstreamName) => boolean, now: number): boolean {
    let hasChanged = false;
    for (const choice of this.#choices.values()) {
      for (const [name, since] of [...choice.asked]) {
        if (now - since < unproductiveMilliseconds || isHolding(name)) continue;
        choice.asked.delete(name);
        this.#fill(choice, now);
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  #choiceOf(
    model: ModelName,
    engines: readonly Upstream[],
    now: number,
  ): ModelChoice {
    const known = this.#choices.get(model);
    if (known?.engines === engines) return known;
    const names = engines.map((engine) => engine.name);
    const item = `batch/${model}/${this.#instance}`;
    const ranking = rankByRendezvous(item, names);
    const kept = [...known?.asked ?? []].filter(([name]) =>
      names.includes(name)
    );
    const choice = { engines, ranking, asked: new Map(kept), next: 0 };
    this.#fill(choice, now);
    this.#choices.set(model, choice);
    return choice;
  }

  #fill(choice: ModelChoice, now: number): void {
    const { asked, ranking } = choice;
    for (
      let tries = 0;
      asked.size < maximumUpstreamsAsked && tries < ranking.length;
      tries++
    ) {
      const name = ranking[choice.next++ % ranking.length];
      if (name !== undefined && !asked.has(name)) asked.set(name, now);
    }
  }
}
