/**
 * Counts, at a coordinator, the requests that its dependents have in flight. A granted slot is
 * counted at once; the dependent's reports, which state its whole load, then replace the count.
 * A grant that a report does not cover yet stays counted, and everything is discarded when a
 * dependent falls silent or restarts.
 */

import type { InstanceId } from "../common/ids.ts";
import type { PeerSender } from "../protocol/peer-network.ts";
import { dependentLifetimeMilliseconds } from "./constants.ts";

/** Counts requests in the loads that the coordinator reports as its own. */
export interface SlotCounter {
  addRequest(server: InstanceId): void;
  removeRequest(server: InstanceId): void;
}

interface Dependent {
  readonly incarnation: string;
  /** Monotonic milliseconds. */
  lastHeardAt: number;
  /** Server by the number of the question with which its slot was granted. */
  readonly pendingGrants: Map<number, InstanceId>;
  reportedLoads: ReadonlyMap<InstanceId, number>;
  /** Requests that are counted for the dependent at present. */
  counted: Map<InstanceId, number>;
}

export class Dependents {
  readonly #counter: SlotCounter;
  readonly #dependents = new Map<InstanceId, Dependent>();

  constructor(counter: SlotCounter) {
    this.#counter = counter;
  }

  get size(): number {
    return this.#dependents.size;
  }

  /** True if the instance has reported or asked within the lifetime of its counts. */
  has(instance: InstanceId): boolean {
    return this.#dependents.has(instance);
  }

  grant(
    sender: PeerSender,
    question: number,
    server: InstanceId,
    now: number,
  ): void {
    const dependent = this.#dependentOf(sender, now);
    dependent.pendingGrants.set(question, server);
    this.#recount(dependent);
  }

  update(
    sender: PeerSender,
    { settledQuestion, loads }: {
      readonly settledQuestion: number;
      readonly loads: readonly (readonly [InstanceId, number])[];
    },
    now: number,
  ): void {
    const dependent = this.#dependentOf(sender, now);
    dependent.reportedLoads = new Map(loads);
    for (const question of dependent.pendingGrants.keys()) {
      if (question <= settledQuestion) dependent.pendingGrants.delete(question);
    }
    this.#recount(dependent);
  }

  expire(now: number): void {
    for (const [instance, dependent] of this.#dependents) {
      if (now - dependent.lastHeardAt <= dependentLifetimeMilliseconds) {
        continue;
      }
      this.#discard(instance, dependent);
    }
  }

  /** Discards all counts, when the instance ceases to be a coordinator. */
  clear(): void {
    for (const [instance, dependent] of this.#dependents) {
      this.#discard(instance, dependent);
    }
  }

  #dependentOf({ instance, incarnation }: PeerSender, now: number): Dependent {
    let dependent = this.#dependents.get(instance);
    if (dependent && dependent.incarnation !== incarnation) {
      this.#discard(instance, dependent);
      dependent = undefined;
    }
    if (!dependent) {
      dependent = {
        incarnation,
        lastHeardAt: now,
        pendingGrants: new Map(),
        reportedLoads: new Map(),
        counted: new Map(),
      };
      this.#dependents.set(instance, dependent);
    }
    dependent.lastHeardAt = now;
    return dependent;
  }

  #recount(dependent: Dependent): void {
    const next = new Map(dependent.reportedLoads);
    for (const server of dependent.pendingGrants.values()) {
      next.set(server, (next.get(server) ?? 0) + 1);
    }
    this.#setCounted(dependent, next);
  }

  #setCounted(dependent: Dependent, next: Map<InstanceId, number>): void {
    const { counted } = dependent;
    for (const server of new Set([...counted.keys(), ...next.keys()])) {
      let difference = (next.get(server) ?? 0) - (counted.get(server) ?? 0);
      for (; difference > 0; difference--) this.#counter.addRequest(server);
      for (; difference < 0; difference++) this.#counter.removeRequest(server);
    }
    dependent.counted = next;
  }

  #discard(instance: InstanceId, dependent: Dependent): void {
    this.#setCounted(dependent, new Map());
    this.#dependents.delete(instance);
  }
}
