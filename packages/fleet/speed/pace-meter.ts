/** Measures the time between the events of one answer, over windows of a few events. */

import {
  minimumPaceWindowMilliseconds,
  paceWindowEvents,
} from "./constants.ts";

export class PaceMeter {
  #startedAt: number | undefined;
  #events = 0;

  /**
   * Takes events that have just arrived. Returns the milliseconds per event once a window is full,
   * and begins the next one.
   */
  add(events: number, now: number): number | undefined {
    if (events === 0) return undefined;
    if (this.#startedAt === undefined) {
      this.#startedAt = now;
      return undefined;
    }
    this.#events += events;
    const elapsed = now - this.#startedAt;
    if (
      this.#events < paceWindowEvents ||
      elapsed < minimumPaceWindowMilliseconds
    ) return undefined;
    const pace = elapsed / this.#events;
    this.#startedAt = now;
    this.#events = 0;
    return pace;
  }

  /** Begins anew, since reading was interrupted. */
  reset(): void {
    this.#startedAt = undefined;
    this.#events = 0;
  }
}
