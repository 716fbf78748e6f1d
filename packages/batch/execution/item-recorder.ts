/**
 * Appends starts, attempts and outcomes of items to the log, and counts the items that are in
 * flight or whose outcome has not been read back. Nothing is written for a range after its epoch
 * has ended; the next owner decides from the records that it has read.
 */

import { RosemaryrudderError } from "../../common/errors.ts";
import type { OwnerEntry } from "../partition/entries.ts";
import type { PartitionOwner } from "../partition/owner.ts";
import { errorLine } from "./item-outcome.ts";
import { fileLine, type RangeRun } from "./range-run.ts";

export class ItemRecorder {
  /** Items in flight or with an outcome that has not been read back, by owner. */
  readonly #pendingCounts = new Map<PartitionOwner, number>();
  readonly #idleWaiters = new Map<PartitionOwner, (() => void)[]>();
  /** Lines of started items that have not been handed to the log, by range. */
  readonly #unflushedStarts = new Map<RangeRun, number[]>();
  #inFlight = 0;
  #unrecorded = 0;
  completed = 0;
  failed = 0;

  /** Items whose call is running. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Items in flight, and items whose outcome has not been read back from the log. */
  get unrecorded(): number {
    return this.#unrecorded;
  }

  /** Runs an item's call and counts it as in flight meanwhile. */
  async trackInFlight(
    run: RangeRun,
    action: () => Promise<void>,
  ): Promise<void> {
    this.#inFlight++;
    try {
      await this.#trackPending(run.owner, action);
    } finally {
      this.#inFlight--;
    }
  }

  /** Records an item as started with the next group commit, without waiting for the commit. */
  markStarted(run: RangeRun, line: number): void {
    const lines = this.#unflushedStarts.get(run);
    if (lines) {
      lines.push(line);
      return;
    }
    this.#unflushedStarts.set(run, [line]);
    setImmediate(() => this.flushStarted(run));
  }

  /** Records that an item goes back to the ready items without an attempt. */
  markReturned(run: RangeRun, line: number, isNotRun: boolean): void {
    this.flushStarted(run);
    run.owner.appendInBackground({
      kind: "item-returned",
      ...rangeIdOf(run),
      lines: [line],
      isNotRun,
    });
  }

  /** Returns false if the epoch ended before the attempt took effect. */
  async recordAttempt(
    run: RangeRun,
    attempt: { line: number; code: string; message: string; isNotRun: boolean },
  ): Promise<boolean> {
    return await this.#append(run, {
      kind: "item-attempted",
      ...rangeIdOf(run),
      ...attempt,
    });
  }

  /**
   * Announces the call of a non-idempotent item. Returns false if the intent did not take effect
   * in this epoch.
   */
  async recordIntent(run: RangeRun, line: number): Promise<boolean> {
    const isInEffect = await this.#append(run, {
      kind: "item-intent",
      ...rangeIdOf(run),
      line,
    });
    return isInEffect &&
      run.range.intents.get(line) === run.owner.epoch.offset;
  }

  /** Records the outcome of an item. A result that is too large is replaced by an error. */
  async recordOutcome(
    run: RangeRun,
    line: number,
    outcome: { isError: boolean; text: string; customId: string },
  ): Promise<void> {
    await this.#trackPending(run.owner, async () => {
      const { isError, text } = outcome;
      const rangeId = rangeIdOf(run);
      const entry = { kind: "item-completed" as const, ...rangeId, line };
      try {
        await run.owner.append({ ...entry, isError, text });
      } catch (error) {
        if (!isExpectedError(error)) throw error;
        if (error.code !== "entry_too_large") return;
        const identity = {
          job: rangeId.job,
          fileLine: fileLine(run, line),
          customId: outcome.customId,
        };
        const replacement = errorLine(identity, {
          code: "result_too_large",
          message: "the answer is too large to be stored",
          verdict: "ran",
        });
        await this.#append(run, { ...entry, isError: true, text: replacement });
      }
      run.taken.delete(line);
      if (isError) this.failed++;
      else this.completed++;
    });
  }

  /** Resolves once the owner has no items in flight and all outcomes have been read back. */
  whenIdle(owner: PartitionOwner): Promise<void> {
    if (!this.#pendingCounts.has(owner)) return Promise.resolve();
    return new Promise((resolve) => {
      const waiters = this.#idleWaiters.get(owner) ?? [];
      waiters.push(resolve);
      this.#idleWaiters.set(owner, waiters);
    });
  }

  async #append(run: RangeRun, entry: OwnerEntry): Promise<boolean> {
    try {
      await run.owner.append(entry);
      return true;
    } catch (error) {
      if (!isExpectedError(error)) throw error;
      return false;
    }
  }

  /**
   * Appends the pending starts of a range at once. Called before an entry after which they would
   * no longer count.
   */
  flushStarted(run: RangeRun): void {
    const lines = this.#unflushedStarts.get(run);
    if (!lines) return;
    this.#unflushedStarts.delete(run);
    run.owner.appendInBackground({
      kind: "item-started",
      ...rangeIdOf(run),
      lines,
    });
  }

  async #trackPending(
    owner: PartitionOwner,
    action: () => Promise<void>,
  ): Promise<void> {
    this.#unrecorded++;
    this.#pendingCounts.set(owner, (this.#pendingCounts.get(owner) ?? 0) + 1);
    try {
      await action();
    } finally {
      this.#unrecorded--;
      const remaining = (this.#pendingCounts.get(owner) ?? 1) - 1;
      if (remaining > 0) {
        this.#pendingCounts.set(owner, remaining);
      } else {
        this.#pendingCounts.delete(owner);
        for (const resolve of this.#idleWaiters.get(owner) ?? []) resolve();
        this.#idleWaiters.delete(owner);
      }
    }
  }
}

function rangeIdOf({ range }: RangeRun) {
  return { job: range.spec.job, range: range.spec.range };
}

/** Whether this is an expected error: the epoch has ended, or the entry is too large. */
function isExpectedError(error: unknown): error is RosemaryrudderError {
  return error instanceof RosemaryrudderError;
}
