/**
 * Stores the state of streams that can be resumed or exported: while they run, and during the
 * resume window after they end or are interrupted.
 */

import { performance } from "node:perf_hooks";
import { z } from "zod";
import { chatRequestSchema } from "./answer.ts";

/** Stands for the exported KV cache of a request, with which another engine can continue it. */
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

export class ResumableStreams {
  readonly #windowMilliseconds: number;
  readonly #states = new Map<string, KeptState>();

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
  }

  /** Stores the state of a running stream, without expiry until `startExpiry` is called. */
  save(state: ExportedState): void {
    this.#states.set(state.requestId, {
      state,
      expiresAt: Number.POSITIVE_INFINITY,
    });
  }

  /**
   * Lets the state expire after the resume window, because its stream has ended or was
   * interrupted. Has no effect if another state is stored for the same request, for example by
   * a resumption of the stream.
   */
  startExpiry(state: ExportedState): void {
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
