/**
 * Continuous batching: a fixed number of slots, a first-in first-out queue, and steps that give
 * every decoding request one token. One timer drives all requests, so the cost of a token stays
 * small however many requests run.
 */

import { performance } from "node:perf_hooks";

export interface Generation {
  /** Called when the request gets its slot; gives the time until its first token. */
  readonly beginPrefill: () => number;
  readonly tokenCount: number;
  readonly onToken: (index: number) => void;
  readonly onEnd: () => void;
}

export interface SchedulerOptions {
  concurrency: number;
  /** Time of one step for a number of running requests. */
  stepMilliseconds: (running: number) => number;
  /** Called after each change of the number of running or waiting requests. */
  onChange?: () => void;
}

interface RunningGeneration {
  generation: Generation;
  prefillEndsAt: number;
  /** Tokens generated so far. */
  produced: number;
}

export class Scheduler {
  readonly #options: Required<SchedulerOptions>;
  readonly #running = new Map<Generation, RunningGeneration>();
  /** A set keeps the order of arrival and removes a cancelled request in constant time. */
  readonly #waiting = new Set<Generation>();
  #nextStepAt = Number.POSITIVE_INFINITY;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #timerFiresAt = Number.POSITIVE_INFINITY;
  #busySlotMilliseconds = 0;
  #busyTimeUpdatedAt = performance.now();
  tokensGenerated = 0;
  peakRunning = 0;

  constructor(options: SchedulerOptions) {
    this.#options = { onChange: () => {}, ...options };
  }

  get running(): number {
    return this.#running.size;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get isFull(): boolean {
    return this.running >= this.#options.concurrency;
  }

  /** Time during which slots were in use, summed over all slots. */
  get busySlotMilliseconds(): number {
    this.#updateBusyTime();
    return this.#busySlotMilliseconds;
  }

  submit(generation: Generation): void {
    this.#waiting.add(generation);
    this.#startWaiting();
    this.#armTimer();
    this.#options.onChange();
  }

  /** Removes a request; its slot is free at once. */
  cancel(generation: Generation): void {
    this.#updateBusyTime();
    const isKnown = this.#running.delete(generation) ||
      this.#waiting.delete(generation);
    if (!isKnown) return;
    this.#startWaiting();
    this.#armTimer();
    this.#options.onChange();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#running.clear();
    this.#waiting.clear();
  }

  #startWaiting(): void {
    this.#updateBusyTime();
    for (const generation of this.#waiting) {
      if (this.isFull) break;
      this.#waiting.delete(generation);
      this.#running.set(generation, {
        generation,
        prefillEndsAt: performance.now() + generation.beginPrefill(),
        produced: 0,
      });
    }
    this.peakRunning = Math.max(this.peakRunning, this.running);
  }

  #updateBusyTime(): void {
    const now = performance.now();
    this.#busySlotMilliseconds += (now - this.#busyTimeUpdatedAt) *
      this.running;
    this.#busyTimeUpdatedAt = now;
  }

  #armTimer(): void {
    let firesAt = Number.POSITIVE_INFINITY;
    let isDecoding = false;
    for (const { produced, prefillEndsAt } of this.#running.values()) {
      if (produced === 0) firesAt = Math.min(firesAt, prefillEndsAt);
      else isDecoding = true;
    }
    if (!isDecoding) this.#nextStepAt = Number.POSITIVE_INFINITY;
    firesAt = Math.min(firesAt, this.#nextStepAt);
    if (firesAt === this.#timerFiresAt) return;
    clearTimeout(this.#timer);
    this.#timerFiresAt = firesAt;
    if (firesAt === Number.POSITIVE_INFINITY) return;
    this.#timer = setTimeout(
      () => this.#onTimer(),
      Math.max(0, firesAt - performance.now()),
    );
  }

  #onTimer(): void {
    this.#timerFiresAt = Number.NaN;
    const now = performance.now();
    const isStepDue = now >= this.#nextStepAt;
    const countBefore = this.running + this.waiting;
    for (const entry of [...this.#running.values()]) {
      const isDue = entry.produced === 0
        ? now >= entry.prefillEndsAt
        : isStepDue;
      // A callback of another request may have cancelled this one.
      if (isDue && this.#running.has(entry.generation)) this.#advance(entry);
    }
    const stepMilliseconds = this.#options.stepMilliseconds(
      Math.max(1, this.running),
    );
    if (isStepDue) {
      // Late timers are made up for, but not a long pause of the process.
      this.#nextStepAt = Math.max(this.#nextStepAt + stepMilliseconds, now);
    } else if (this.#nextStepAt === Number.POSITIVE_INFINITY) {
      this.#nextStepAt = now + stepMilliseconds;
    }
    this.#startWaiting();
    this.#armTimer();
    if (this.running + this.waiting !== countBefore) this.#options.onChange();
  }

  #advance(entry: RunningGeneration): void {
    const { generation } = entry;
    generation.onToken(entry.produced);
    entry.produced += 1;
    this.tokensGenerated += 1;
    if (entry.produced < generation.tokenCount) return;
    this.#updateBusyTime();
    this.#running.delete(generation);
    generation.onEnd();
  }
}
