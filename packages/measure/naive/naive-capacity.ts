/**
 * Naive admission of batch work, a baseline for measurements: sends items as soon as they are
 * available, to the upstreams in round-robin order, as if they were online requests.
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
  /** Maximum number of items that one instance has in flight. */
  maximumInFlight?: number;
}

export class NaiveCapacity implements BatchCapacity, OnlineCapacity {
  readonly #control: ControlView;
  readonly #maximumInFlight: number;
  #demand: readonly BatchDemand[] = [];
  #handler: (grant: BatchGrant) => void = () => {};
  #inFlight = 0;
  #nextEngineIndex = 0;
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

  /** Grants each demand one item per scheduling pass, so that each pass sees the updated demand. */
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
        id: `naive-${this.#nextEngineIndex}`,
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
    return engines[this.#nextEngineIndex++ % Math.max(1, engines.length)]?.name;
  }
}
