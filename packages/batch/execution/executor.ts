/**
 * Executes the items of all partitions that this instance owns: keeps items ready, asks for
 * capacity, starts one item with each grant and records what became of it.
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
  hasLinesToTake,
  isOver,
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
  readonly #ready = new ReadyItems();
  readonly #runs = new Map<string, RangeRun>();
  /** The item of each owner that is started alone. */
  readonly #alone = new Map<PartitionOwner, { run: RangeRun; line: number }>();
  /** Owners that start nothing any more, because they are being released. */
  readonly #draining = new WeakSet<PartitionOwner>();
  #ordered: RangeRun[] | undefined;
  #isPumpScheduled = false;
  #isDisposed = false;

  constructor(options: ExecutorOptions) {
    this.#options = options;
    this.#loader = new ItemLoader(options);
    this.#runner = new ItemRunner({ ...options, recorder: this.#recorder });
    options.capacity.onGrant((grant) => this.#handleGrant(grant));
  }

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
    this.#schedulePump();
  }

  /** The epoch has ended: everything of the owner is void. */
  removeOwner(owner: PartitionOwner): void {
    for (const run of this.#runsOf(owner)) this.#removeRun(run);
    this.#alone.delete(owner);
    this.#schedulePump();
  }

  /** Ends the owner's work: calls that may be repeated go back, the others finish. */
  async drain(owner: PartitionOwner): Promise<void> {
    this.#draining.add(owner);
    for (const run of this.#runsOf(owner)) run.draining.abort();
    this.#ready.removeWhere(({ run }) => run.owner === owner);
    this.#schedulePump();
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
    this.#schedulePump();
  }

  /** The home owner has told that the range is still wanted. */
  confirm(job: RangeState["spec"]["job"], range: number): void {
    const run = this.#runs.get(rangeKey(job, range));
    if (!run || run.isConfirmed) return;
    run.isConfirmed = true;
    this.#schedulePump();
  }

  /** Aborts the calls of a cancelled range before its record is in the log. */
  cancel(job: RangeState["spec"]["job"], range: number): void {
    const run = this.#runs.get(rangeKey(job, range));
    if (!run) return;
    this.#voidRun(run);
    this.#recorder.flushStarted(run);
  }

  /** Called at intervals, for what depends on time and freshness. */
  maintain(): void {
    this.#schedulePump();
  }

  dispose(): void {
    this.#isDisposed = true;
    for (const run of [...this.#runs.values()]) this.#removeRun(run);
    this.#options.capacity.setDemand([]);
  }

  #addRun(owner: PartitionOwner, range: RangeState): void {
    if (isRangeFinished(range) || !owner.isActive) return;
    if (this.#draining.has(owner)) return;
    const now = this.#options.clock.monotonicNow();
    const run = createRangeRun(owner, range, now);
    this.#runs.set(run.key, run);
    this.#ordered = undefined;
  }

  #removeRun(run: RangeRun): void {
    this.#voidRun(run);
    if (this.#runs.get(run.key) === run) this.#runs.delete(run.key);
    this.#ordered = undefined;
  }

  #voidRun(run: RangeRun): void {
    run.void.abort();
    this.#ready.removeWhere((item) => item.run === run);
    if (this.#alone.get(run.owner)?.run === run) this.#alone.delete(run.owner);
  }

  #runsOf(owner: PartitionOwner): RangeRun[] {
    return [...this.#runs.values()].filter((run) => run.owner === owner);
  }

  #schedulePump(): void {
    if (this.#isPumpScheduled || this.#isDisposed) return;
    this.#isPumpScheduled = true;
    setImmediate(() => {
      this.#isPumpScheduled = false;
      if (!this.#isDisposed) this.#pump();
    });
  }

  #pump(): void {
    this.#ordered ??= [...this.#runs.values()].sort(compareRuns);
    const now = this.#options.clock.monotonicNow();
    const urgent = new Map<string, number>();
    for (const run of this.#ordered) {
      if (isOver(run) || !this.#mayRun(run, now)) continue;
      const { workspace } = run.range.spec;
      const rank = urgent.get(workspace) ?? 0;
      urgent.set(workspace, rank + 1);
      const minimum = rank < urgentRangesPerWorkspace
        ? readyItemsPerUrgentRange
        : 1;
      if (run.isLoading || run.loadAfter > now) continue;
      if (run.suspects.length > 0 && !this.#alone.has(run.owner)) {
        void this.#startAlone(run);
      } else if (this.#wantsMore(run, minimum)) {
        void this.#load(run, minimum);
      }
    }
    this.#options.capacity.setDemand(this.#demand());
  }

  #mayRun(run: RangeRun, now: number): boolean {
    return run.isConfirmed ||
      now - run.createdAt > homeConfirmationTimeoutMilliseconds;
  }

  #demand(): BatchDemand[] {
    if (!this.#options.control.isFresh()) return [];
    const free = maximumUnrecordedItems - this.#recorder.unrecorded;
    return this.#ready.demand(free, { onlyRepeatable: this.#isLogStalled() });
  }

  #isLogStalled(): boolean {
    return [...this.#runs.values()].some(({ owner }) => owner.isLogStalled);
  }

  #wantsMore(run: RangeRun, minimum: number): boolean {
    if (isOver(run) || !hasLinesToTake(run)) return false;
    if (this.#recorder.unrecorded >= maximumUnrecordedItems) return false;
    const hasBytes = this.#ready.bytes < maximumReadyBytes;
    if (run.readyCount < (hasBytes ? minimum : 1)) return true;
    const waiting = run.lastReady ? this.#ready.countFor(run.lastReady) : 0;
    return hasBytes && waiting < readyItemsPerTarget;
  }

  async #load(run: RangeRun, minimum: number): Promise<void> {
    run.isLoading = true;
    while (this.#wantsMore(run, minimum)) {
      const line = takeNextLine(run);
      if (line === undefined) break;
      const loaded = await this.#tryLoad(run, line);
      if (!loaded) {
        run.taken.delete(line);
        run.cursor = Math.min(run.cursor, line);
        break;
      }
      this.#accept(run, line, loaded);
    }
    run.isLoading = false;
    this.#schedulePump();
  }

  async #tryLoad(
    run: RangeRun,
    line: number,
    options: { isSuspect?: boolean } = {},
  ): Promise<LoadedItem | undefined> {
    try {
      return await this.#loader.load(run, line, options);
    } catch (error) {
      run.loadAfter = this.#options.clock.monotonicNow() +
        attemptBackOffMilliseconds;
      this.#options.logger.warn("an item could not be read, will be repeated", {
        job: run.range.spec.job,
        line: fileLine(run, line) + 1,
        reason: String(error),
      });
      return undefined;
    }
  }

  #accept(run: RangeRun, line: number, loaded: LoadedItem): void {
    if (isOver(run)) return;
    if (loaded.kind === "ready") {
      run.lastReady = loaded.item;
      this.#ready.add(loaded.item);
    } else if (loaded.kind === "suspect") {
      run.suspects.push(line);
    } else {
      const outcome = { isError: true, text: loaded.text, customId: "" };
      void this.#complete(run, line, outcome);
    }
  }

  /** Counts the attempt that an earlier owner had begun, then starts the item alone. */
  async #startAlone(run: RangeRun): Promise<void> {
    const line = run.suspects.shift();
    if (line === undefined) return;
    this.#alone.set(run.owner, { run, line });
    const isRecorded = await this.#recorder.recordAttempt(run, {
      line,
      code: "instance_lost",
      message: "the instance that ran the item was lost",
      isNotRun: false,
    });
    if (!isRecorded || isOver(run)) return;
    const loaded = await this.#tryLoad(run, line, { isSuspect: true });
    if (!loaded) {
      this.#alone.delete(run.owner);
      run.taken.delete(line);
      run.cursor = Math.min(run.cursor, line);
      return;
    }
    this.#accept(run, line, loaded);
    this.#schedulePump();
  }

  #handleGrant(grant: BatchGrant): void {
    const mayStart = !this.#isDisposed && this.#options.control.isFresh() &&
      this.#recorder.unrecorded < maximumUnrecordedItems;
    const item = mayStart && !grant.revoked.aborted
      ? this.#ready.take(grant, { onlyRepeatable: this.#isLogStalled() })
      : undefined;
    this.#schedulePump();
    if (!item) {
      grant.release();
      return;
    }
    void this.#recorder.whileInFlight(item.run, async () => {
      let outcome: RunOutcome;
      try {
        outcome = await this.#runner.run(item, grant);
      } finally {
        grant.release();
      }
      this.#settle(item, outcome);
    });
  }

  #settle(item: ReadyItem, outcome: RunOutcome): void {
    const { run, line } = item;
    switch (outcome.kind) {
      case "void":
        break;
      case "returned":
        this.#recorder.noteReturned(run, line, outcome.isNotRun);
        this.#makeReady(item, 0);
        break;
      case "intent-late":
        void outcome.recorded.then((isInEffect) => {
          if (!isInEffect) return;
          this.#recorder.noteReturned(run, line, true);
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
    this.#schedulePump();
  }

  #handleRefusal(item: ReadyItem, failure: ItemFailure): void {
    item.refusals++;
    if (item.refusals > maximumUncountedRefusals) {
      item.refusals = 0;
      void this.#handleAttempt(item, failure);
      return;
    }
    this.#recorder.noteReturned(item.run, item.line, true);
    this.#makeReady(item, backOff(item.refusals));
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
    if (isRecorded) this.#makeReady(item, backOff(attempts));
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
    const alone = this.#alone.get(run.owner);
    if (alone?.run === run && alone.line === line) {
      this.#alone.delete(run.owner);
    }
    await this.#recorder.complete(run, line, outcome);
    this.#schedulePump();
  }

  #makeReady(item: ReadyItem, delayMilliseconds: number): void {
    if (isOver(item.run)) return;
    if (delayMilliseconds === 0) {
      this.#ready.add(item);
      return;
    }
    setTimeout(() => {
      if (isOver(item.run)) return;
      this.#ready.add(item);
      this.#schedulePump();
    }, delayMilliseconds).unref();
  }
}

/** Grows fourfold with each failure; the jitter keeps items that failed together apart. */
function backOff(failures: number): number {
  const base = attemptBackOffMilliseconds * 4 ** (failures - 1);
  return Math.min(base, maximumBackOffMilliseconds) * (0.5 + Math.random());
}

function identityOf({ run, line, customId }: ReadyItem) {
  return {
    job: run.range.spec.job,
    fileLine: fileLine(run, line),
    customId,
  };
}
