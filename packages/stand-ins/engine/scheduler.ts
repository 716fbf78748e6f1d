/**
 * Simulates the continuous batching of an engine: a fixed number of slots, a first-in, first-out
 * queue, and decoding steps that generate one token for every request past its prefill. A single
 * timer drives all requests, so that the processor time per token stays small when many run.
 */

import { performance } from "node:perf_hooks";

/** A request to the scheduler, with the callbacks for its progress. */
export interface Generation {
  /** Called when the request gets a slot; returns the milliseconds until its first token. */
  readonly beginPrefill: () => number;
  readonly tokenCount: number;
  readonly onToken: (index: number) => void;
  readonly onEnd: () => void;
}

export interface SchedulerOptions {
  concurrency: number;
  /** Returns the duration of one decoding step for a number of running requests. */
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
  /** A set, because it keeps the order of arrival and removes an element in constant time. */
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

  /** Milliseconds during which slots were in use, summed over all slots. */
  get busySlotMilliseconds(): number {
    this.#updateBusyTime();
    return this.#busySlotMilliseconds;
  }

  /** Queues a request; it starts immediately if a slot is free. */
  submit(generation: Generation): void {
    this.#waiting.add(generation);
    this.#startWaiting();
    this.#armTimer();
    this.#options.onChange();
  }

  /** Removes a running or waiting request and frees its slot immediately. */
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

  /** Sets the timer to the next end of a prefill or the next decoding step. */
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
    // NaN differs from every time, so #armTimer sets the timer again.
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
      // The next step is due relative to the last one to make up for a late timer, but steps
      // missed during a long pause of the process are not repeated.
      this.#nextStepAt = Math.max(this.#nextStepAt + stepMilliseconds, now);
    } else if (this.#nextStepAt === Number.POSITIVE_INFINITY) {
      this.#nextStepAt = now + stepMilliseconds;
    }
    this.#startWaiting();
    this.#armTimer();
    if (this.running + this.waiting !== countBefore) this.#options.onChange();
  }

  /** Generates the next token of a request, and ends the request after its last one. */
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
