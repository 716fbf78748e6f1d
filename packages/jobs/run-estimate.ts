/**
 * Estimates how long the rest of an item takes, from the items that were completed before. The
 * number of events is taken in proportion to the tokens that the item may use.
 */

import { movingAverageWeight } from "./constants.ts";

export class RunEstimator {
  #eventsPerToken: number | undefined;
  #millisecondsPerEvent: number | undefined;

  noteCompleted(tokens: number, events: number): void {
    if (tokens <= 0) return;
    this.#eventsPerToken = updateAverage(this.#eventsPerToken, events / tokens);
  }

  noteRun(events: number, milliseconds: number): void {
    if (events < minimumEvents) return;
    this.#millisecondsPerEvent = updateAverage(
      this.#millisecondsPerEvent,
      milliseconds / events,
    );
  }

  /** Undefined until an item has been completed. */
  remainingMilliseconds(tokens: number, events: number): number | undefined {
    if (
      this.#eventsPerToken === undefined ||
      this.#millisecondsPerEvent === undefined
    ) return undefined;
    const total = this.#eventsPerToken * tokens;
    return Math.max(minimumEvents, total - events) * this.#millisecondsPerEvent;
  }
}

/** Runs with fewer events say little about the time that an event takes. */
const minimumEvents = 5;

function updateAverage(known: number | undefined, value: number): number {
  return known === undefined
    ? value
    : known + (value - known) * movingAverageWeight;
}
