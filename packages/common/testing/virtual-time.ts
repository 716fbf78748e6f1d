/** Virtual time for tests: a clock and timers that advance only when the test says so. */

import { setImmediate } from "node:timers";
import type { Clock } from "../clock.ts";
import type { Timers } from "../timers.ts";

interface ScheduledEvent {
  /** Milliseconds of virtual time. */
  readonly dueAt: number;
  /** Order of creation, which decides between events due at the same time. */
  readonly sequence: number;
  readonly action: () => void;
  isCancelled: boolean;
}

export class VirtualTime implements Clock, Timers {
  #now = 0;
  #nextSequence = 0;
  /** Binary heap ordered by due time, then by order of creation. */
  readonly #heap: ScheduledEvent[] = [];

  readonly monotonicNow = (): number => this.#now;
  readonly wallNow = (): number => 1_700_000_000_000 + this.#now;

  after(milliseconds: number, action: () => void): () => void {
    const event: ScheduledEvent = {
      dueAt: this.#now + Math.max(0, milliseconds),
      sequence: this.#nextSequence++,
      action,
      isCancelled: false,
    };
    this.#push(event);
    return () => event.isCancelled = true;
  }

  defer(action: () => void): void {
    this.after(0, action);
  }

  /**
   * Advances to the time in milliseconds and runs all events due by then. Pending promise
   * callbacks run after each event.
   */
  async runUntil(time: number): Promise<void> {
    await settlePromises();
    for (;;) {
      const next = this.#heap[0];
      if (!next || next.dueAt > time) break;
      this.#pop();
      if (next.isCancelled) continue;
      this.#now = Math.max(this.#now, next.dueAt);
      next.action();
      await settlePromises();
    }
    this.#now = Math.max(this.#now, time);
  }

  #isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
    return left.dueAt < right.dueAt ||
      (left.dueAt === right.dueAt && left.sequence < right.sequence);
  }

  #push(event: ScheduledEvent): void {
    const heap = this.#heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && this.#isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!this.#isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

/** Waits for one turn of the event loop, in which pending promise callbacks run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
