/**
 * Estimates how long an item will still take, from moving averages over earlier runs. It assumes
 * that the number of events of an item is proportional to the tokens that the item may use.
 */

import { movingAverageWeight } from "./constants.ts";

export class RunEstimator {
  #eventsPerToken: number | undefined;
  #millisecondsPerEvent: number | undefined;

  /** Updates the average number of events per token with a completed item. */
  recordCompletion(tokens: number, events: number): void {
    if (tokens <= 0) return;
    this.#eventsPerToken = updateAverage(this.#eventsPerToken, events / tokens);
  }

  /** Updates the average time per event with one run, completed or not. */
  recordRun(events: number, milliseconds: number): void {
    if (events < minimumEvents) return;
    this.#millisecondsPerEvent = updateAverage(
      this.#millisecondsPerEvent,
      milliseconds / events,
    );
  }

  /** Returns undefined until an item has been completed and a run has been long enough. */
  remainingMilliseconds(tokens: number, events: number): number | undefined {
    if (
      this.#eventsPerToken === undefined ||
      this.#millisecondsPerEvent === undefined
    ) return undefined;
    const total = this.#eventsPerToken * tokens;
    return Math.max(minimumEvents, total - events) * this.#millisecondsPerEvent;
  }
}

/**
 * Runs with fewer events are ignored, since they say little about the time that an event takes.
 * An item is assumed to have at least this many events left.
 */
const minimumEvents = 5;

function updateAverage(known: number | undefined, value: number): number {
  return known === undefined
    ? value
    : known + (value - known) * movingAverageWeight;
}
