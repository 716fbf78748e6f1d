/**
 * The naive admission of batch work, a baseline for measurements: an item is sent as soon as
 * it is there, to the upstreams in turn, as an online request would be.
 */

import { setImmediate } from "node:timers";
import type { UpstreamName } from "../../common/ids.ts";
import type {
  BatchCapacity,
  BatchDemand,
  BatchGrant,
  CapacityTarget,
  OnlineCapacity,
} from "../../capacity/capacity.ts";
import type { ControlView } from "../../control/control-state.ts";

export interface NaiveCapacityOptions {
  control: ControlView;
  /** Items that one instance keeps in flight. */
  maximumInFlight?: number;
}

export class NaiveCapacity implements BatchCapacity, OnlineCapacity {
  readonly #control: ControlView;
  readonly #maximumInFlight: number;
  #demand: readonly BatchDemand[] = [];
  #handler: (grant: BatchGrant) => void = () => {};
  #inFlight = 0;
  #turn = 0;
  #isScheduled = false;

  constructor({ control, maximumInFlight = 64 }: NaiveCapacityOptions) {
    this.#control = control;
    this.#maximumInFlight = maximumInFlight;
  }

  setDemand(demand: readonly BatchDemand[]): void {
    this.#demand = demand;
    this.#schedule();
  }

  onGrant(handler: (grant: BatchGrant) => void): void {
    this.#handler = handler;
  }

  trackOnlineRequest(): () => void {
    return () => {};
  }

  loadOf(): number {
    return 0;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#grantAll();
    });
  }

  /** One grant to each demand per turn, so that the demand is up to date at the next turn. */
  #grantAll(): void {
    for (const demand of this.#demand) {
      if (demand.count === 0 || this.#inFlight >= this.#maximumInFlight) {
        continue;
      }
      const upstream = this.#nextUpstream(demand.target);
      if (upstream === undefined) continue;
      this.#inFlight++;
      let isReleased = false;
      this.#handler({
        id: `naive-${this.#turn}`,
        upstream,
        workspace: demand.workspace,
        target: demand.target,
        revoked: new AbortController().signal,
        release: () => {
          if (isReleased) return;
          isReleased = true;
          this.#inFlight--;
          this.#schedule();
        },
      });
    }
  }

  #nextUpstream(target: CapacityTarget): UpstreamName | undefined {
    if (target.kind === "upstream") return target.upstream;
    const engines =
      this.#control.state.configuration.engines.get(target.model) ?? [];
    return engines[this.#turn++ % Math.max(1, engines.length)]?.name;
  }
}
