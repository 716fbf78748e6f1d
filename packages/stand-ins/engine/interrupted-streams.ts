/** State of streams that can be resumed or exported, kept until a short time after they end. */

import { performance } from "node:perf_hooks";
import { z } from "zod";
import { chatRequestSchema } from "./answer.ts";

/** The exported form of a request's KV cache: what another engine needs to go on. */
export const exportedStateSchema = z.strictObject({
  requestId: z.string().min(1),
  request: chatRequestSchema,
  /** Tokens generated so far. */
  produced: z.number().int().nonnegative(),
});
export type ExportedState = z.output<typeof exportedStateSchema>;

interface KeptState {
  state: ExportedState;
  expiresAt: number;
}

export class InterruptedStreams {
  readonly #windowMilliseconds: number;
  readonly #states = new Map<string, KeptState>();

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
  }

  /** Keeps the state of a running stream; it does not expire until `release`. */
  hold(state: ExportedState): void {
    this.#states.set(state.requestId, {
      state,
      expiresAt: Number.POSITIVE_INFINITY,
    });
  }

  /** The stream has ended or was interrupted; its state expires after the window. */
  release(state: ExportedState): void {
    const kept = this.#states.get(state.requestId);
    if (kept?.state !== state) return;
    kept.expiresAt = performance.now() + this.#windowMilliseconds;
  }

  get(requestId: string): ExportedState | undefined {
    const kept = this.#states.get(requestId);
    return kept && kept.expiresAt >= performance.now() ? kept.state : undefined;
  }

  dropExpired(): void {
    const now = performance.now();
    for (const [requestId, kept] of this.#states) {
      if (kept.expiresAt < now) this.#states.delete(requestId);
    }
  }
}
