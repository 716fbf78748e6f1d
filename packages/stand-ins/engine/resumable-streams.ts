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

interface StoredState {
  state: ExportedState;
  expiresAt: number;
}

export class ResumableStreams {
  readonly #resumeWindowMilliseconds: number;
  readonly #states = new Map<string, StoredState>();

  constructor(resumeWindowMilliseconds: number) {
    this.#resumeWindowMilliseconds = resumeWindowMilliseconds;
  }

  /** Keeps the state of a running stream; it does not expire until `release`. */
  save(state: ExportedState): void {
    this.#states.set(state.requestId, {
      state,
      expiresAt: Number.POSITIVE_INFINITY,
    });
  }

  /** The stream has ended or was interrupted; its state expires after the window. */
  startExpiry(state: ExportedState): void {
    const stored = this.#states.get(state.requestId);
    if (stored?.state !== state) return;
    stored.expiresAt = performance.now() + this.#resumeWindowMilliseconds;
  }

  get(requestId: string): ExportedState | undefined {
    const stored = this.#states.get(requestId);
    return stored && stored.expiresAt >= performance.now()
      ? stored.state
      : undefined;
  }

  dropExpired(): void {
    const now = performance.now();
    for (const [requestId, stored] of this.#states) {
      if (stored.expiresAt < now) this.#states.delete(requestId);
    }
  }
}
