/**
 * Executes the items of all partitions that this instance owns: loads items until enough are
 * ready, reports the demand for capacity, starts one item with each grant and records the outcome.
 */

import type {
  BatchCapacity,
  BatchDemand,
  BatchGrant,
} from "../../capacity/capacity.ts";
import type { Clock } from "../../common/clock.ts";
import type { Logger } from "../../common/logging.ts";
import type { ControlView } from "../../control/control-state.ts";
import type { RunBatchItem } from "../../routing/upstream-caller.ts";
import {
  attemptBackOffMilliseconds,
  homeConfirmationTimeoutMilliseconds,
  maximumAttempts,
  maximumBackOffMilliseconds,
  maximumReadyBytes,
  maximumUncountedRefusals,
  maximumUnrecordedItems,
  readyItemsPerTarget,
  readyItemsPerUrgentRange,
  urgentRangesPerWorkspace,
} from "../constants.ts";
import type { FileStore } from "../files/file-store.ts";
import type { PartitionEntry } from "../partition/entries.ts";
import type { PartitionOwner } from "../partition/owner.ts";
import {
  isRangeFinished,
  rangeKey,
  type RangeState,
} from "../partition/state.ts";
import { ItemLoader, type LoadedItem } from "./item-loader.ts";
import { errorLine, type ItemFailure, outputLine } from "./item-outcome.ts";
import { ItemRecorder } from "./item-recorder.ts";
import { ItemRunner, type RunOutcome } from "./item-runner.ts";
import {
  compareRuns,
  createRangeRun,
  fileLine,
  hasUntakenLines,
  isRunEnded,
  type RangeRun,
  takeNextLine,
} from "./range-run.ts";
import { type ReadyItem, ReadyItems } from "./ready-items.ts";

export interface ExecutorOptions {
  control: ControlView;
  capacity: BatchCapacity;
  runItem: RunBatchItem;
  files: FileStore;
  clock: Clock;
  logger: Logger;
  onRangeFinished: (range: RangeState) => void;
}

export class Executor {
  readonly #options: ExecutorOptions;
  readonly #recorder = new ItemRecorder();
  readonly #loader: ItemLoader;
  readonly #runner: ItemRunner;
  readonly #readyItems = new ReadyItems();
  readonly #runs = new Map<string, RangeRun>();
  /**
   * The line of each owner that is being executed again after an earlier owner was lost while it
   * was in flight. An owner executes one such line at a time.
   */
  readonly #activeSuspects = new Map<
    PartitionOwner,
    { run: RangeRun; line: number }
  >();
  /** Owners that start no more items, because they are being released. */
  readonly #drainingOwners = new WeakSet<PartitionOwner>();
  /** All runs in the order of `compareRuns`; undefined when it must be sorted again. */
  #prioritizedRuns: RangeRun[] | undefined;
  #isUpdateScheduled = false;
  #isDisposed = false;

  constructor(options: ExecutorOptions) {
    this.#options = options;
    this.#loader = new ItemLoader(options);
    this.#runner = new ItemRunner({ ...options, recorder: this.#recorder });
    options.capacity.onGrant((grant) => this.#handleGrant(grant));
  }

  /** Counts of items; `backlog` is the number of those without an outcome. */
  get statistics() {
    let backlog = 0;
    for (const { range } of this.#runs.values()) {
      backlog += range.spec.lines - range.completed - range.failed;
    }
    return {
      backlog,
      running: this.#recorder.inFlight,
      unrecorded: this.#recorder.unrecorded,
      completed: this.#recorder.completed,
      failed: this.#recorder.failed,
    };
  }

  addOwner(owner: PartitionOwner): void {
    for (const range of owner.state.ranges.values()) this.#addRun(owner, range);
    this.#scheduleUpdate();
  }

  /** Removes all runs of an owner whose epoch has ended, and discards their results. */
  removeOwner(owner: PartitionOwner): void {
    for (const run of this.#runsOf(owner)) this.#removeRun(run);
    this.#activeSuspects.delete(owner);
    this.#scheduleUpdate();
  }

  /**
   * Ends the work of an owner before its epoch is released. Calls that may be repeated are aborted
   * and their items returned, the others run to their end. Resolves once all of it is recorded.
   */
  async drain(owner: PartitionOwner): Promise<void> {
    this.#drainingOwners.add(owner);
    for (const run of this.#runsOf(owner)) run.draining.abort();
    this.#readyItems.removeWhere(({ run }) => run.owner === owner);
    this.#scheduleUpdate();
    await this.#recorder.whenIdle(owner);
  }

  handleEntries(
    owner: PartitionOwner,
    entries: readonly PartitionEntry[],
  ): void {
    for (const entry of entries) {
      if (entry.kind === "range-accepted") {
        const key = rangeKey(entry.spec.job, entry.spec.range);
        const range = owner.state.ranges.get(key);
        if (range) this.#addRun(owner, range);
      } else if (
        entry.kind === "range-cancelled" || entry.kind === "range-removed" ||
        (entry.kind === "item-completed" && !entry.isCopy)
      ) {
        const run = this.#runs.get(rangeKey(entry.job, entry.range));
        if (!run || run.owner !== owner) continue;
        if (entry.kind !== "range-removed" && !isRangeFinished(run.range)) {
          continue;
        }
        this.#removeRun(run);
        this.#options.onRangeFinished(run.range);
      }
    }
    this.#scheduleUpdate();
  }

  /** Called when the home owner has confirmed that the job of a range is not cancelled. */
  confirmRange(job: RangeState["spec"]["job"], range: number): void {
    const run = this.#runs.get(rangeKey(job, range));
    if (!run || run.isConfirmed) return;
    run.isConfirmed = true;
    this.#scheduleUpdate();
  }

  /** Aborts the calls of a cancelled range, before the cancellation is in the log. */
  cancelRange(job: RangeState["spec"]["job"], range: number): void {
    const run = this.#runs.get(rangeKey(job, range));
    if (!run) return;
    this.#discardRun(run);
    this.#recorder.flushStarted(run);
  }

  /** Called periodically, because loading and demand depend on the time and on freshness. */
  maintain(): void {
    this.#scheduleUpdate();
  }

  dispose(): void {
    this.#isDisposed = true;
    for (const run of [...this.#runs.values()]) this.#removeRun(run);
    this.#options.capacity.setDemand([]);
  }

  #addRun(owner: PartitionOwner, range: RangeState): void {
    if (isRangeFinished(range) || !owner.isActive) return;
    if (this.#drainingOwners.has(owner)) return;
    const now = this.#options.clock.monotonicNow();
    const run = createRangeRun(owner, range, now);
    this.#runs.set(run.key, run);
    this.#prioritizedRuns = undefined;
  }

  #removeRun(run: RangeRun): void {
    this.#discardRun(run);
    if (this.#runs.get(run.key) === run) this.#runs.delete(run.key);
    this.#prioritizedRuns = undefined;
  }

  #discardRun(run: RangeRun): void {
    run.discarded.abort();
    this.#readyItems.removeWhere((item) => item.run === run);
    if (this.#activeSuspects.get(run.owner)?.run === run) {
      this.#activeSuspects.delete(run.owner);
    }
  }

  #runsOf(owner: PartitionOwner): RangeRun[] {
    return [...this.#runs.values()].filter((run) => run.owner === owner);
  }

  #scheduleUpdate(): void {
    if (this.#isUpdateScheduled || this.#isDisposed) return;
    this.#isUpdateScheduled = true;
    setImmediate(() => {
      this.#isUpdateScheduled = false;
      if (!this.#isDisposed) this.#update();
    });
  }

  /** Loads items for the runs that need more, and reports the demand. */
  #update(): void {
    this.#prioritizedRuns ??= [...this.#runs.values()].sort(compareRuns);
    const now = this.#options.clock.monotonicNow();
    // Number of the runs of each workspace that were looked at, in order of priority.
    const rangesSeen = new Map<string, number>();
    for (const run of this.#prioritizedRuns) {
      if (isRunEnded(run) || !this.#isConfirmedOrTimedOut(run, now)) continue;
      const { workspace } = run.range.spec;
      const rank = rangesSeen.get(workspace) ?? 0;
      rangesSeen.set(workspace, rank + 1);
      const minimumReady = rank < urgentRangesPerWorkspace
        ? readyItemsPerUrgentRange
        : 1;
      if (run.isLoading || run.nextLoadAt > now) continue;
      if (run.suspects.length > 0 && !this.#activeSuspects.has(run.owner)) {
        void this.#startNextSuspect(run);
      } else if (this.#needsMoreItems(run, minimumReady)) {
        void this.#load(run, minimumReady);
      }
    }
    this.#options.capacity.setDemand(this.#currentDemand());
  }

  /** Whether items may start: the job is confirmed or the home owner did not answer in time. */
  #isConfirmedOrTimedOut(run: RangeRun, now: number): boolean {
    return run.isConfirmed ||
      now - run.createdAt > homeConfirmationTimeoutMilliseconds;
  }

  #currentDemand(): BatchDemand[] {
    if (!this.#options.control.isFresh()) return [];
    const remaining = maximumUnrecordedItems - this.#recorder.unrecorded;
    return this.#readyItems.demand(remaining, {
      onlyRepeatable: this.#isLogStalled(),
    });
  }

  /** Whether the log counts as unavailable for any of the owners. */
  #isLogStalled(): boolean {
    return [...this.#runs.values()].some(({ owner }) => owner.isLogStalled);
  }

  /**
   * Whether the run should load an item: it has too few ready items, or its targets have and there
   * is memory left for ready items.
   */
  #needsMoreItems(run: RangeRun, minimumReady: number): boolean {
    if (isRunEnded(run) || !hasUntakenLines(run)) return false;
    if (this.#recorder.unrecorded >= maximumUnrecordedItems) return false;
    const hasSpareBytes = this.#readyItems.bytes < maximumReadyBytes;
    if (run.readyCount < (hasSpareBytes ? minimumReady : 1)) return true;
    const readyForTarget = run.lastReady
      ? this.#readyItems.shortestListLength(run.lastReady)
      : 0;
    return hasSpareBytes && readyForTarget < readyItemsPerTarget;
  }

  async #load(run: RangeRun, minimumReady: number): Promise<void> {
    run.isLoading = true;
    while (this.#needsMoreItems(run, minimumReady)) {
      const line = takeNextLine(run);
      if (line === undefined) break;
      const loaded = await this.#tryLoad(run, line);
      if (!loaded) {
        run.taken.delete(line);
        run.cursor = Math.min(run.cursor, line);
        break;
      }
      this.#handleLoaded(run, line, loaded);
    }
    run.isLoading = false;
    this.#scheduleUpdate();
  }

  async #tryLoad(
    run: RangeRun,
    line: number,
    options: { isSuspect?: boolean } = {},
  ): Promise<LoadedItem | undefined> {
    try {
      return await this.#loader.load(run, line, options);
    } catch (error) {
      run.nextLoadAt = this.#options.clock.monotonicNow() +
        attemptBackOffMilliseconds;
      this.#options.logger.warn(
        "an item could not be loaded, will be retried",
        {
          job: run.range.spec.job,
          line: fileLine(run, line) + 1,
          reason: String(error),
        },
      );
      return undefined;
    }
  }

  #handleLoaded(run: RangeRun, line: number, loaded: LoadedItem): void {
    if (isRunEnded(run)) return;
    if (loaded.kind === "ready") {
      run.lastReady = loaded.item;
      this.#readyItems.add(loaded.item);
    } else if (loaded.kind === "suspect") {
      run.suspects.push(line);
    } else {
      const outcome = { isError: true, text: loaded.text, customId: "" };
      void this.#complete(run, line, outcome);
    }
  }

  /** Records the attempt that an earlier owner had started, then makes the item ready again. */
  async #startNextSuspect(run: RangeRun): Promise<void> {
    const line = run.suspects.shift();
    if (line === undefined) return;
    this.#activeSuspects.set(run.owner, { run, line });
    const isRecorded = await this.#recorder.recordAttempt(run, {
      line,
      code: "instance_lost",
      message: "the instance that ran the item was lost",
      isNotRun: false,
    });
    if (!isRecorded || isRunEnded(run)) return;
    const loaded = await this.#tryLoad(run, line, { isSuspect: true });
    if (!loaded) {
      this.#activeSuspects.delete(run.owner);
      run.taken.delete(line);
      run.cursor = Math.min(run.cursor, line);
      return;
    }
    this.#handleLoaded(run, line, loaded);
    this.#scheduleUpdate();
  }

  #handleGrant(grant: BatchGrant): void {
    const canStart = !this.#isDisposed && this.#options.control.isFresh() &&
      this.#recorder.unrecorded < maximumUnrecordedItems;
    const item = canStart && !grant.revoked.aborted
      ? this.#readyItems.take(grant, { onlyRepeatable: this.#isLogStalled() })
      : undefined;
    this.#scheduleUpdate();
    if (!item) {
      grant.release();
      return;
    }
    void this.#recorder.trackInFlight(item.run, async () => {
      let outcome: RunOutcome;
      try {
        outcome = await this.#runner.run(item, grant);
      } finally {
        grant.release();
      }
      this.#handleOutcome(item, outcome);
    });
  }

  #handleOutcome(item: ReadyItem, outcome: RunOutcome): void {
    const { run, line } = item;
    switch (outcome.kind) {
      case "void":
        break;
      case "returned":
        this.#recorder.markReturned(run, line, outcome.isNotRun);
        this.#makeReady(item, 0);
        break;
      case "intent-late":
        void outcome.recorded.then((isInEffect) => {
          if (!isInEffect) return;
          this.#recorder.markReturned(run, line, true);
          this.#makeReady(item, 0);
        });
        break;
      case "succeeded": {
        const text = outputLine(
          identityOf(item),
          outcome.answer,
          outcome.requestId,
        );
        void this.#complete(run, line, {
          isError: false,
          text,
          customId: item.customId,
        });
        break;
      }
      case "failed":
        this.#fail(item, outcome.failure);
        break;
      case "refused":
        this.#handleRefusal(item, outcome.failure);
        break;
      case "attempted":
        void this.#handleAttempt(item, outcome.failure);
        break;
    }
    this.#scheduleUpdate();
  }

  #handleRefusal(item: ReadyItem, failure: ItemFailure): void {
    item.refusals++;
    if (item.refusals > maximumUncountedRefusals) {
      item.refusals = 0;
      void this.#handleAttempt(item, failure);
      return;
    }
    this.#recorder.markReturned(item.run, item.line, true);
    this.#makeReady(item, retryDelayMilliseconds(item.refusals));
  }

  async #handleAttempt(item: ReadyItem, failure: ItemFailure): Promise<void> {
    const { run, line } = item;
    const attempts = (run.range.attempts.get(line)?.count ?? 0) + 1;
    if (attempts >= maximumAttempts) {
      const message = `${failure.message} (after ${attempts} attempts)`;
      this.#fail(item, { ...failure, message });
      return;
    }
    const isRecorded = await this.#recorder.recordAttempt(run, {
      line,
      code: failure.code,
      message: failure.message,
      isNotRun: failure.verdict === "not_run",
    });
    if (isRecorded) this.#makeReady(item, retryDelayMilliseconds(attempts));
  }

  #fail(item: ReadyItem, failure: ItemFailure): void {
    const text = errorLine(identityOf(item), failure);
    void this.#complete(item.run, item.line, {
      isError: true,
      text,
      customId: item.customId,
    });
  }

  async #complete(
    run: RangeRun,
    line: number,
    outcome: { isError: boolean; text: string; customId: string },
  ): Promise<void> {
    const activeSuspect = this.#activeSuspects.get(run.owner);
    if (activeSuspect?.run === run && activeSuspect.line === line) {
      this.#activeSuspects.delete(run.owner);
    }
    await this.#recorder.recordOutcome(run, line, outcome);
    this.#scheduleUpdate();
  }

  #makeReady(item: ReadyItem, delayMilliseconds: number): void {
    if (isRunEnded(item.run)) return;
    if (delayMilliseconds === 0) {
      this.#readyItems.add(item);
      return;
    }
    setTimeout(() => {
      if (isRunEnded(item.run)) return;
      this.#readyItems.add(item);
      this.#scheduleUpdate();
    }, delayMilliseconds).unref();
  }
}

/**
 * Delay before a retry: four times as long after each failure, up to a maximum, and multiplied by
 * 0.5 to 1.5 at random so that items which failed together are not retried together.
 */
function retryDelayMilliseconds(failures: number): number {
  const delay = attemptBackOffMilliseconds * 4 ** (failures - 1);
  return Math.min(delay, maximumBackOffMilliseconds) * (0.5 + Math.random());
}

function identityOf({ run, line, customId }: ReadyItem) {
  return {
    job: run.range.spec.job,
    fileLine: fileLine(run, line),
    customId,
  };
}
