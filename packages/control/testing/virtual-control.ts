/**
 * Simulates a control stream in virtual time. Each process applies each published state after its
 * own delay. A process stays fresh as long, and a record is in force as early, as section 3.2 of
 * the design page allows.
 */

import { brandAs, type Offset } from "../../common/ids.ts";
import type { VirtualTime } from "../../common/testing/virtual-time.ts";
import type { VirtualProcess } from "../../protocol/testing/virtual-network.ts";
import { freshnessMilliseconds } from "../constants.ts";
import type {
  ControlListener,
  ControlState,
  ControlView,
} from "../control-state.ts";

interface PublishedState {
  readonly state: ControlState;
  readonly publishedAt: number;
}

export class VirtualControlStream {
  readonly #time: VirtualTime;
  readonly published: PublishedState[] = [];
  readonly #views = new Set<VirtualControlView>();
  /** Returns the delay in milliseconds until a process has applied a published state. */
  applyDelay: () => number;

  constructor(time: VirtualTime, initial: ControlState, delay: () => number) {
    this.#time = time;
    this.applyDelay = delay;
    this.published.push({ state: initial, publishedAt: time.monotonicNow() });
  }

  get latest(): ControlState {
    return this.published.at(-1)!.state;
  }

  publish(change: Partial<ControlState>): Offset {
    const offset = brandAs<Offset>(this.latest.appliedOffset + 1);
    const state = { ...this.latest, ...change, appliedOffset: offset };
    this.published.push({ state, publishedAt: this.#time.monotonicNow() });
    for (const view of this.#views) {
      this.#time.after(this.applyDelay(), () => view.applyUpTo(offset));
    }
    return offset;
  }

  /** Creates the view of a process, which starts at the latest state or at the first one. */
  open(
    process: VirtualProcess,
    startsAtFirstState = false,
  ): VirtualControlView {
    const applied = startsAtFirstState ? 0 : this.published.length - 1;
    const view = new VirtualControlView(this, this.#time, process, applied);
    this.#views.add(view);
    return view;
  }
}

export class VirtualControlView implements ControlView {
  readonly #stream: VirtualControlStream;
  readonly #time: VirtualTime;
  readonly #process: VirtualProcess;
  readonly #listeners = new Set<ControlListener>();
  #applied: number;

  constructor(
    stream: VirtualControlStream,
    time: VirtualTime,
    process: VirtualProcess,
    applied: number,
  ) {
    this.#stream = stream;
    this.#time = time;
    this.#process = process;
    this.#applied = applied;
  }

  get state(): ControlState {
    return this.#stream.published[this.#applied]!.state;
  }

  applyUpTo(offset: Offset): void {
    this.#process.execute(() => {
      while (this.state.appliedOffset < offset) {
        const previous = this.state;
        this.#applied += 1;
        for (const listener of this.#listeners) listener(this.state, previous);
      }
    });
  }

  isFresh(): boolean {
    const next = this.#stream.published[this.#applied + 1];
    if (!next) return true;
    return this.#time.monotonicNow() <
      next.publishedAt + freshnessMilliseconds;
  }

  onChange(listener: ControlListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  whenInForce(offset: Offset): Promise<void> {
    const published = this.#stream.published.find((entry) =>
      entry.state.appliedOffset === offset
    )!;
    const wait = published.publishedAt + freshnessMilliseconds -
      this.#time.monotonicNow();
    return new Promise((resolve) => this.#process.after(wait, resolve));
  }
}
