/**
 * Runs actions after a delay, in the order in which they were added. One timer serves the whole
 * queue, and all actions that are due run in the same timer callback.
 */

import { performance } from "node:perf_hooks";
import {
  compactionThreshold,
  earlySendToleranceMilliseconds,
  minimumDelayMilliseconds,
} from "../constants.ts";

export class DelayQueue {
  #entries: { dueAt: number; action: () => void }[] = [];
  /** Index of the next entry to run. */
  #nextIndex = 0;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #isPaused = false;

  add(delayMilliseconds: number, action: () => void): void {
    const isEmpty = this.#nextIndex === this.#entries.length;
    if (
      isEmpty && !this.#isPaused && delayMilliseconds < minimumDelayMilliseconds
    ) {
      return action();
    }
    const dueAt = performance.now() + delayMilliseconds;
    this.#entries.push({ dueAt, action });
    if (isEmpty) this.#armTimer();
  }

  /** Runs no further action until `resume`. */
  pause(): void {
    this.#isPaused = true;
    clearTimeout(this.#timer);
  }

  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#armTimer();
  }

  clear(): void {
    clearTimeout(this.#timer);
    this.#entries = [];
    this.#nextIndex = 0;
  }

  #armTimer(): void {
    const entry = this.#entries[this.#nextIndex];
    if (!entry || this.#isPaused) return;
    const waitMilliseconds = entry.dueAt - performance.now();
    this.#timer = setTimeout(
      () => this.#runDue(),
      Math.max(1, Math.floor(waitMilliseconds)),
    );
  }

  #runDue(): void {
    const latestDueAt = performance.now() + earlySendToleranceMilliseconds;
    for (
      let entry = this.#entries[this.#nextIndex];
      entry && entry.dueAt <= latestDueAt && !this.#isPaused;
      entry = this.#entries[this.#nextIndex]
    ) {
      this.#nextIndex += 1;
      entry.action();
    }
    if (this.#nextIndex === this.#entries.length) this.clear();
    else if (this.#nextIndex >= compactionThreshold) {
      this.#entries = this.#entries.slice(this.#nextIndex);
      this.#nextIndex = 0;
    }
    this.#armTimer();
  }
}
