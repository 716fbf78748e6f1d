/**
 * Runs the items of the partitions that this instance owns, earliest due first, on what online
 * requests leave of the servers. A run makes room as soon as an online request needs its slot,
 * and goes on elsewhere from its last event.
 */

import type { Buffer } from "node:buffer";
import type { InstanceId, JobId, PartitionNumber } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { Blackboard } from "../fleet/blackboard.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type { CallerCodec } from "../gateway/caller-request.ts";
import { pickService } from "../gateway/gateway.ts";
import { freeSlots } from "../gateway/choose-server.ts";
import { listCandidates } from "../gateway/server-candidates.ts";
import type { ServerPools } from "../gateway/server-pools.ts";
import { chooseBatchServer } from "./choose-batch-server.ts";
import {
  ampleSlackMilliseconds,
  deliveryMilliseconds,
  executorIntervalMilliseconds,
  handOverMilliseconds,
  itemDeadlineMilliseconds,
  itemRetryMaximumMilliseconds,
  itemRetryMilliseconds,
  itemSilentHeadMilliseconds,
  itemSilentPauseMilliseconds,
  maximumRuns,
  slotsKeptFree,
  slotsKeptFreeWithAmpleTime,
  urgentSlackMilliseconds,
} from "./constants.ts";
import type { ItemBodies } from "./item-bodies.ts";
import { RunEstimate } from "./run-estimate.ts";
import { ItemRun, type RunOutcome } from "./item-run.ts";
import type { JobCodec } from "./job-codec.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import type { JobState } from "./partition-state.ts";
import type { ItemProgress, ProgressKeeper } from "./progress-keeper.ts";
import type { ResultWriter } from "./result-writer.ts";
import { type ItemWork, WorkTable } from "./work-table.ts";

export interface BatchExecutorOptions {
  readonly blackboard: Blackboard;
  readonly partitions: JobPartitions;
  readonly bodies: ItemBodies;
  readonly writerOf: (partition: JobPartition) => ResultWriter;
  readonly progress: ProgressKeeper;
  readonly mayStart: (partition: PartitionNumber) => boolean;
  readonly isOwned: (partition: PartitionNumber) => boolean;
  /** Items that wait at all owners together, without this instance. */
  readonly othersWaiting: () => number;
  readonly callerCodec: CallerCodec;
  readonly jobCodec: JobCodec;
  readonly pools: ServerPools;
  readonly zone: string;
  readonly now: () => number;
  readonly wallNow: () => number;
  readonly countRun: (outcome: string) => void;
  readonly logger: Logger;
}

export class BatchExecutor {
  readonly #options: BatchExecutorOptions;
  readonly #work = new WorkTable();
  readonly #estimate = new RunEstimate();
  #timer: NodeJS.Timeout | undefined;
  #waitingItems = 0;
  #isStopped = false;

  constructor(options: BatchExecutorOptions) {
    this.#options = options;
  }

  get waitingItems(): number {
    return this.#waitingItems;
  }

  get runningItems(): number {
    return this.#work.running().length;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), executorIntervalMilliseconds);
  }

  /** Stops one run at the server, the one whose item is due last; false if there is none. */
  displace(server: InstanceId): boolean {
    const time = this.#options.now();
    const [last] = this.#work.running()
      .filter((work) => work.run?.server === server)
      .sort((left, right) => this.#byUrgency(right, left, time));
    if (!last) return false;
    last.retryAt = time + itemRetryMilliseconds;
    last.run!.cancel();
    return true;
  }

  /** Stops the runs of items whose job has ended. */
  noteJobChange(jobs: readonly JobId[]): void {
    for (const job of jobs) {
      const state = this.#options.partitions.of(job).job(job);
      for (const work of this.#work.ofJob(job)) {
        if (!state || state.isEnded || state.finished.has(work.item)) {
          work.run?.cancel();
          this.#work.delete(work);
        }
      }
    }
  }

  /** Puts the work on partitions down, and writes how far it got. */
  async release(partitions: readonly PartitionNumber[]): Promise<void> {
    const { progress, writerOf } = this.#options;
    const written: Promise<void>[] = [];
    for (const number of partitions) {
      const partition = this.#options.partitions.get(number);
      if (!partition) continue;
      const work = this.#work.ofPartition(number);
      for (const { run } of work) run?.cancel();
      written.push(
        writerOf(partition).flush(handOverMilliseconds),
        progress.write(number),
      );
      for (const entry of work) this.#work.delete(entry);
    }
    await Promise.race([
      Promise.all(written),
      delay(systemTimers, handOverMilliseconds),
    ]);
  }

  /** How far the unfinished items of a partition have got. */
  progressOf(partition: PartitionNumber): ItemProgress[] {
    return this.#work.ofPartition(partition)
      .filter((work) => !work.isRecorded)
      .flatMap(({ job, item, text: { lastEventId, texts } }) =>
        lastEventId === undefined
          ? []
          : [{ job, item, lastEventId, text: texts.join("\n") }]
      );
  }

  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
  }

  #tick(): void {
    if (this.#isStopped) return;
    const { blackboard, now, logger } = this.#options;
    if (!blackboard.configuration) return;
    const ready = this.#collectReady();
    this.#waitingItems = ready.length;
    if (ready.length === 0) return;
    const time = now();
    ready.sort((left, right) => this.#byUrgency(left, right, time));
    // Runs begin when their bodies have been read, so that none begins within the loop.
    if (this.#work.running().length >= maximumRuns) return;
    let allowance = this.#allowance(ready);
    for (const work of ready) {
      if (allowance <= 0) break;
      try {
        if (this.#startItem(work, now())) allowance -= 1;
      } catch (error) {
        work.retryAt = now() + itemRetryMaximumMilliseconds;
        logger.error("an item could not be started", {
          job: work.job,
          item: work.itemId,
          reason: String(error),
        });
      }
    }
  }

  /**
   * Items that can still be done in time go first, the earliest due before others; among those
   * that are late in any case, the one that needs least time.
   */
  #byUrgency(left: ItemWork, right: ItemWork, time: number): number {
    const leftRest = this.#remaining(left);
    const rightRest = this.#remaining(right);
    const isLeftLate = time + leftRest > left.dueAt;
    const isRightLate = time + rightRest > right.dueAt;
    if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
    return isLeftLate ? leftRest - rightRest : left.dueAt - right.dueAt;
  }

  #remaining(work: ItemWork): number {
    const rest = this.#estimate.remainingMilliseconds(
      work.tokens,
      work.text.lastEventId ?? 0,
    );
    return rest === undefined ? 0 : rest + deliveryMilliseconds;
  }

  #collectReady(): ItemWork[] {
    const { partitions, progress, mayStart, now, wallNow } = this.#options;
    const ready: ItemWork[] = [];
    const time = now();
    const wall = wallNow();
    for (const partition of partitions.all()) {
      if (!mayStart(partition.number) || !partition.isLoaded) continue;
      for (const state of partition.state.jobs()) {
        if (state.isEnded) continue;
        if (state.finished.size === state.record.items.length) continue;
        for (const [item, { id, tokens }] of state.record.items.entries()) {
          if (state.finished.has(item)) continue;
          const work = this.#work.of(partition.number, state, item, id, {
            dueAt: time + state.record.dueAt - wall,
            tokens,
            progress: () =>
              progress.get(partition.number, state.record.job, item),
          });
          if (work.run || work.isStarting || work.isRecorded) continue;
          if (work.retryAt <= time) ready.push(work);
        }
      }
    }
    return ready;
  }

  /** This instance's part of the free slots, by its part of the waiting items. */
  #allowance(ready: readonly ItemWork[]): number {
    const { blackboard, now } = this.#options;
    const time = now();
    let room = 0;
    for (const server of blackboard.upstreams.all()) {
      if (server.state !== "ready") continue;
      const load = blackboard.loads.estimate(server.id, time);
      room += freeSlots({ slots: server.slots, ...load }, slotsKeptFree);
    }
    const total = ready.length + this.#options.othersWaiting();
    return Math.max(1, Math.ceil(room * ready.length / total));
  }

  /** True if the item was sent or is about to be. */
  #startItem(work: ItemWork, time: number): boolean {
    const { blackboard, partitions, bodies, logger } = this.#options;
    const partition = partitions.get(work.partition)!;
    const state = partition.job(work.job);
    if (!state) return false;
    const item = state.record.items[work.item]!;
    const route = blackboard.configuration!.findRoute(
      state.record.host,
      item.path,
    );
    if (!route) {
      this.#giveUpWithoutRoute(work, state, partition);
      return false;
    }
    const server = this.#chooseServer(work, route, time);
    if (!server) return false;
    work.isStarting = true;
    blackboard.loads.begin(server, "batch");
    bodies.read(partition, state.record, work.item).then(
      (body) => this.#send(work, state, server, body),
      (error) => {
        work.isStarting = false;
        work.retryAt = this.#options.now() + itemRetryMaximumMilliseconds;
        blackboard.loads.finish(server, "batch");
        logger.warn("the body of an item cannot be read", {
          job: work.job,
          item: work.itemId,
          reason: String(error),
        });
      },
    );
    return true;
  }

  /** An item whose route has been dropped can be given up once it need not be kept. */
  #giveUpWithoutRoute(
    work: ItemWork,
    state: JobState,
    partition: JobPartition,
  ): void {
    if (this.#options.wallNow() < state.record.retainedUntil) {
      work.retryAt = this.#options.now() + itemRetryMaximumMilliseconds;
      return;
    }
    this.#record(work, partition, "dead_letter", "its route is gone");
  }

  #chooseServer(
    work: ItemWork,
    route: RouteRule,
    time: number,
  ): InstanceId | undefined {
    const { blackboard, zone } = this.#options;
    const service = pickService(route, Math.random());
    const keptFree = this.#slotsKeptFreeFor(work, time);
    const candidates = listCandidates(blackboard, {
      service,
      zone,
      now: time,
    });
    return chooseBatchServer(candidates, keptFree);
  }

  #slotsKeptFreeFor(work: ItemWork, time: number): number {
    const slack = work.dueAt - time - this.#remaining(work);
    if (slack > ampleSlackMilliseconds) return slotsKeptFreeWithAmpleTime;
    const isUrgent = slack > 0 && slack < urgentSlackMilliseconds;
    return isUrgent ? 0 : slotsKeptFree;
  }

  #send(
    work: ItemWork,
    state: JobState,
    server: InstanceId,
    body: Buffer,
  ): void {
    const { blackboard, pools, callerCodec, jobCodec, now } = this.#options;
    work.isStarting = false;
    const upstream = blackboard.upstreams.get(server);
    const isWanted = this.#work.has(work) && !this.#isStopped &&
      !state.isEnded && this.#options.isOwned(work.partition);
    if (!isWanted || upstream?.state !== "ready") {
      return blackboard.loads.finish(server, "batch");
    }
    const request = jobCodec.toRequest(
      state.record.items[work.item]!,
      state.record.host,
    );
    const run = new ItemRun({
      server,
      text: work.text,
      attempt: {
        pool: pools.poolOf(upstream),
        method: request.method,
        target: request.target,
        headers: callerCodec.encodeSend(request, body.length, {
          remainingMilliseconds: itemDeadlineMilliseconds,
          server,
          workspace: state.record.workspace,
          lastEventId: work.text.lastEventId,
        }),
        body,
        requestId: work.itemId,
        decodeHead: callerCodec.decodeAnswer,
        silentHeadMilliseconds: itemSilentHeadMilliseconds,
        silentPauseMilliseconds: itemSilentPauseMilliseconds,
      },
      onHead: (head) => {
        if (head.load !== undefined) {
          blackboard.loads.setSelfReportedLoad(server, head.load, now());
        }
      },
      onEnd: (outcome) => this.#handleEnd(work, server, outcome),
    });
    work.run = run;
    work.runs += 1;
    work.runStartedAt = now();
    work.eventsBefore = work.text.lastEventId ?? 0;
    this.#options.logger.debug("an item was sent", {
      job: work.job,
      item: work.itemId,
      server,
      after: work.text.lastEventId ?? null,
    });
    run.start();
  }

  #handleEnd(work: ItemWork, server: InstanceId, outcome: RunOutcome): void {
    const { blackboard, partitions, now, logger } = this.#options;
    work.run = undefined;
    blackboard.loads.finish(server, "batch");
    const events = work.text.lastEventId ?? 0;
    this.#estimate.noteRun(
      events - work.eventsBefore,
      now() - work.runStartedAt,
    );
    const partition = partitions.get(work.partition)!;
    this.#options.countRun(outcome.kind);
    logger.info("a run of an item has ended", {
      job: work.job,
      item: work.itemId,
      server,
      outcome: outcome.kind,
      reason: outcome.kind === "interrupted" ? outcome.reason : null,
      events,
      runs: work.runs,
    });
    switch (outcome.kind) {
      case "completed":
        blackboard.health.noteSuccess(server, now());
        this.#estimate.noteCompleted(work.tokens, events);
        return this.#record(work, partition, "completed", "");
      case "impossible":
        return this.#record(work, partition, "dead_letter", "impossible");
      case "failed":
        return this.#countFailure(work, partition);
      case "interrupted":
        if (outcome.isServerFault) blackboard.health.noteFailure(server, now());
        work.interruptions += 1;
        work.retryAt = now() + Math.min(
          itemRetryMilliseconds * work.interruptions,
          itemRetryMaximumMilliseconds,
        );
        return;
      case "cancelled":
        return;
    }
  }

  #countFailure(work: ItemWork, partition: JobPartition): void {
    const state = partition.job(work.job);
    if (!state) return;
    work.failures = Math.max(
      work.failures,
      state.failures.get(work.item) ?? 0,
    ) + 1;
    if (work.failures >= state.record.maximumAttempts) {
      return this.#record(work, partition, "dead_letter", "attempts used up");
    }
    this.#options.writerOf(partition).addFailures({
      job: work.job,
      item: work.item,
      count: work.failures,
    });
    work.retryAt = this.#options.now() + itemRetryMilliseconds;
  }

  #record(
    work: ItemWork,
    partition: JobPartition,
    state: "completed" | "dead_letter",
    reason: string,
  ): void {
    work.isRecorded = true;
    this.#options.logger.info("an item has its result", {
      job: work.job,
      item: work.itemId,
      state,
      reason,
      runs: work.runs,
      lateMilliseconds: Math.round(this.#options.now() - work.dueAt),
    });
    this.#options.writerOf(partition).addResult({
      job: work.job,
      item: work.item,
      state,
      text: state === "completed" ? work.text.texts.join("\n") : "",
    });
  }
}
