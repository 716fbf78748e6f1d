/**
 * Runs actions after a delay, in the order in which they were added. One timer serves the whole
 * queue, and everything that is due runs in one turn.
 */

import { performance } from "node:perf_hooks";
import {
  compactionThreshold,
  delayToleranceMilliseconds,
  immediateDelayMilliseconds,
} from "../constants.ts";

export class DelayQueue {
  #entries: { dueAt: number; action: () => void }[] = [];
  /** Index of the next entry to run. */
  #next = 0;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #isHeld = false;

  add(delayMilliseconds: number, action: () => void): void {
    const isEmpty = this.#next === this.#entries.length;
    if (
      isEmpty && !this.#isHeld && delayMilliseconds < immediateDelayMilliseconds
    ) {
      return action();
    }
    const dueAt = performance.now() + delayMilliseconds;
    this.#entries.push({ dueAt, action });
    if (isEmpty) this.#arm();
  }

  /** Keeps all actions until `release`. */
  hold(): void {
    this.#isHeld = true;
    clearTimeout(this.#timer);
  }

  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#arm();
  }

  clear(): void {
    clearTimeout(this.#timer);
    this.#entries = [];
    this.#next = 0;
  }

  #arm(): void {
    const entry = this.#entries[this.#next];
    if (!entry || this.#isHeld) return;
    const wait = entry.dueAt - performance.now();
    this.#timer = setTimeout(() => this.#run(), Math.max(1, Math.floor(wait)));
  }

  #run(): void {
    const limit = performance.now() + delayToleranceMilliseconds;
    for (
      let entry = this.#entries[this.#next];
      entry && entry.dueAt <= limit && !this.#isHeld;
      entry = this.#entries[this.#next]
    ) {
      this.#next += 1;
      entry.action();
    }
    if (this.#next === this.#entries.length) this.clear();
    else if (this.#next >= compactionThreshold) {
      this.#entries = this.#entries.slice(this.#next);
      this.#next = 0;
    }
    this.#arm();
  }
}
