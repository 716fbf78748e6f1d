/**
 * Runs the items of the partitions that this instance owns, earliest due first, on the server
 * slots that online requests leave free. A run is displaced as soon as an online request needs its
 * slot; the item later resumes from its last event at any server with a free slot.
 */

import type { Buffer } from "node:buffer";
import type { InstanceId, JobId, PartitionNumber } from "../common/ids.ts";
import { delay, systemTimers } from "../common/timers.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import { allowedTargets, type SendPurpose } from "../fleet/send-rules.ts";
import { batchMeter } from "../fleet/speed/answer-meter.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import { chooseService } from "../gateway/gateway.ts";
import { listCandidates } from "../gateway/server-candidates.ts";
import type { BatchExecutorOptions } from "./batch-executor-options.ts";
import {
  chooseBatchServer,
  selectForRetry,
  slotsKeptFreeFor,
} from "./choose-batch-server.ts";
import {
  executorIntervalMilliseconds,
  handoverTimeoutMilliseconds,
  itemDeadlineMilliseconds,
  itemFailureRetryMilliseconds,
  itemHeadTimeoutMilliseconds,
  itemIdleTimeoutMilliseconds,
  itemRetryMaximumMilliseconds,
  itemRetryMilliseconds,
  maximumConcurrentRuns,
  resultDeliveryMilliseconds,
} from "./constants.ts";
import { BodyMissingError } from "./item-bodies.ts";
import { collectReadyItems, maximumStarts } from "./ready-items.ts";
import { RunEstimator } from "./run-estimate.ts";
import { ItemRun, type RunOutcome } from "./item-run.ts";
import type { Judgement } from "../quarantine/quarantine.ts";
import { recordInterruption } from "./interruption.ts";
import { findItemRoute, isRemovalCertain, itemPurpose } from "./item-route.ts";
import type { JobPartition } from "./job-partition.ts";
import type { JobState } from "./partition-state.ts";
import type { ItemProgress } from "./progress-store.ts";
import type { JobItem } from "./records.ts";
import { compareUrgency, type Urgency } from "./urgency.ts";
import { type ItemWork, WorkTable } from "./work-table.ts";

interface EndedRun {
  readonly upstream: UpstreamServer;
  readonly run: ItemRun;
}

export class BatchExecutor {
  readonly #options: BatchExecutorOptions;
  readonly #workTable = new WorkTable();
  readonly #estimator = new RunEstimator();
  #timer: NodeJS.Timeout | undefined;
  #waitingItems = 0;
  #isStopped = false;

  constructor(options: BatchExecutorOptions) {
    this.#options = options;
  }

  get waitingItems(): number {
    return this.#waitingItems;
  }

  runningWork(): ItemWork[] {
    return this.#workTable.running();
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), executorIntervalMilliseconds);
  }

  /** Cancels the run of the least urgent item at the server; returns false if there is none. */
  displace(server: InstanceId): boolean {
    const time = this.#options.now();
    const [leastUrgent] = this.#workTable.running()
      .filter((work) => work.run?.server === server)
      .sort((left, right) => this.#compareUrgency(right, left, time));
    if (!leastUrgent) return false;
    leastUrgent.retryAt = time + itemRetryMilliseconds;
    leastUrgent.run!.cancel();
    return true;
  }

  /** Cancels the runs of items that have a result, or whose job has ended or was removed. */
  handleJobChanges(jobs: readonly JobId[]): void {
    for (const job of jobs) {
      const state = this.#options.partitions.forJob(job).job(job);
      for (const work of this.#workTable.ofJob(job)) {
        if (!state || state.isEnded || state.finished.has(work.item)) {
          work.run?.cancel();
          this.#workTable.delete(work);
        }
      }
    }
  }

  /**
   * Cancels the runs of the partitions and writes their results and progress; resolves after
   * `handoverTimeoutMilliseconds` at the latest.
   */
  async release(partitions: readonly PartitionNumber[]): Promise<void> {
    const { progress, writerOf } = this.#options;
    const writes: Promise<void>[] = [];
    for (const number of partitions) {
      const partition = this.#options.partitions.get(number);
      if (!partition) continue;
      const work = this.#workTable.ofPartition(number);
      for (const { run } of work) run?.cancel();
      writes.push(
        writerOf(partition).flush(handoverTimeoutMilliseconds),
        progress.write(number),
      );
      for (const entry of work) this.#workTable.delete(entry);
    }
    await Promise.race([
      Promise.all(writes),
      delay(systemTimers, handoverTimeoutMilliseconds),
    ]);
  }

  /** Returns the progress of the items of a partition that have no result yet. */
  progressOf(partition: PartitionNumber): ItemProgress[] {
    return this.#workTable.ofPartition(partition)
      .filter((work) => !work.hasResult)
      .flatMap(({ job, item, output: { lastEventId, eventData } }) =>
        lastEventId === undefined
          ? []
          : [{ job, item, lastEventId, text: eventData.join("\n") }]
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
    const ready = collectReadyItems({
      ...this.#options,
      workTable: this.#workTable,
      now: now(),
      wallNow: this.#options.wallNow(),
    });
    this.#waitingItems = ready.length;
    if (ready.length === 0) return;
    const time = now();
    ready.sort((left, right) => this.#compareUrgency(left, right, time));
    // Checked only once: runs start after their bodies have been read, so none starts in the loop.
    const runs = this.runningWork().length + this.#options.otherRuns();
    if (runs >= maximumConcurrentRuns) return;
    let startsLeft = maximumStarts(blackboard, {
      ready: ready.length,
      waitingAtPeers: this.#options.waitingItemsElsewhere(),
      now: time,
    });
    for (const work of ready) {
      if (startsLeft <= 0) break;
      try {
        if (this.#startItem(work, now())) startsLeft -= 1;
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

  #compareUrgency(left: ItemWork, right: ItemWork, now: number): number {
    return compareUrgency(this.#urgencyOf(left), this.#urgencyOf(right), {
      now,
    });
  }

  #urgencyOf(work: ItemWork): Urgency {
    return {
      dueAt: work.dueAt,
      remainingMilliseconds: this.#estimator.remainingMilliseconds(
        work.tokens,
        work.output.lastEventId ?? 0,
      ) ?? 0,
    };
  }

  /** Returns true if a slot was reserved for the item, which is sent once its body is read. */
  #startItem(work: ItemWork, time: number): boolean {
    const { blackboard, partitions, bodies, logger } = this.#options;
    const partition = partitions.get(work.partition)!;
    const state = partition.job(work.job);
    if (!state) return false;
    const item = state.record.items[work.item]!;
    const found = findItemRoute(blackboard.configuration!, state.record, item);
    const readAt = this.#options.configurationReadAt();
    const isRemoved = isRemovalCertain(work, found, { now: time, readAt });
    if (found.kind !== "route") {
      const reason = "no route takes the item";
      if (isRemoved) this.#recordResult(work, partition, "dead_letter", reason);
      else this.#giveUpAfterRetention(work, state, partition, reason);
      return false;
    }
    const judgement = this.#judge(work, item, state.record.host);
    if (judgement.kind === "rejected" || judgement.kind === "undecided") {
      const { part, crashes } = judgement.kind === "rejected"
        ? judgement.verdict
        : judgement;
      if (crashes === undefined) return false;
      this.#giveUpAfterRetention(
        work,
        state,
        partition,
        `${crashes} servers crashed under the prompt part ${part}`,
      );
      return false;
    }
    // Without a live instance in its regions, the item waits as without servers.
    if (!this.#options.regions.mayHandle(state.record)) return false;
    const purpose = itemPurpose(
      blackboard.configuration!,
      state.record,
      found.route,
    );
    const server = this.#chooseServer(work, found.route, time, purpose);
    if (!server) return false;
    if (judgement.kind === "trial") {
      this.#options.quarantine.beginTrial(work.itemId, judgement.parts);
    }
    work.isTrial = judgement.kind === "trial";
    work.isStarting = true;
    const upstream = blackboard.upstreams.get(server)!;
    blackboard.loads.addRequest(server, "batch");
    blackboard.sendRules.take(upstream, time);
    bodies.read(partition, state.record, work.item)
      .then((body) => this.#send(work, state, { server, body, purpose }))
      .catch((error) => {
        work.isStarting = false;
        work.retryAt = this.#options.now() + itemRetryMaximumMilliseconds;
        this.#withdraw(server);
        logger.warn("an item cannot be read or sent", {
          job: work.job,
          item: work.itemId,
          reason: String(error),
        });
        if (error instanceof BodyMissingError) {
          this.#giveUpAfterRetention(work, state, partition, error.message);
        }
      });
    return true;
  }

  #judge(work: ItemWork, item: JobItem, host: string): Judgement {
    const { jobCodec, quarantine } = this.#options;
    const { sharedPromptParts, ownPromptPart } = work.promptParts ??
      jobCodec.toRequest(item, host);
    work.promptParts ??= { sharedPromptParts, ownPromptPart };
    return quarantine.judge(sharedPromptParts, ownPromptPart);
  }

  /** Gives up an item that cannot be sent, but only after the job's retention time. */
  #giveUpAfterRetention(
    work: ItemWork,
    state: JobState,
    partition: JobPartition,
    reason: string,
  ): void {
    if (this.#options.wallNow() < state.record.retainedUntil) {
      work.retryAt = this.#options.now() + itemRetryMaximumMilliseconds;
      return;
    }
    this.#recordResult(work, partition, "dead_letter", reason);
  }

  #chooseServer(
    work: ItemWork,
    route: RouteRule,
    time: number,
    purpose: SendPurpose,
  ): InstanceId | undefined {
    const { blackboard, zone } = this.#options;
    const service = chooseService(
      allowedTargets(route, purpose.allowedRegions, blackboard),
      Math.random(),
    );
    const { remainingMilliseconds } = this.#urgencyOf(work);
    const slack = work.dueAt - time - remainingMilliseconds -
      resultDeliveryMilliseconds;
    const candidates = listCandidates(blackboard, {
      service,
      zone,
      now: time,
      ...purpose,
    });
    return chooseBatchServer(
      selectForRetry(candidates, work.failedAt),
      slotsKeptFreeFor(slack),
    );
  }

  #send(
    work: ItemWork,
    state: JobState,
    { server, body, purpose }: {
      readonly server: InstanceId;
      readonly body: Buffer;
      readonly purpose: SendPurpose;
    },
  ): void {
    const { blackboard, pools, callerCodec, jobCodec, now } = this.#options;
    work.isStarting = false;
    const upstream = blackboard.upstreams.get(server);
    const canStillRun = this.#workTable.has(work) && !this.#isStopped &&
      !state.isEnded && this.#options.canStartItems(work.partition) &&
      this.#options.takesJob(state.record);
    if (
      !canStillRun || !upstream ||
      blackboard.sendRules.check(upstream, now(), purpose).kind === "refused"
    ) {
      return this.#withdraw(server);
    }
    const request = jobCodec.toRequest(
      state.record.items[work.item]!,
      state.record.host,
    );
    const run: ItemRun = new ItemRun({
      server,
      output: work.output,
      holding: this.#options.openOutputHolding(),
      attempt: {
        pool: pools.poolOf(upstream),
        method: request.method,
        target: request.target,
        headers: callerCodec.encodeServerHeaders(request, body.length, {
          remainingMilliseconds: itemDeadlineMilliseconds,
          server,
          workspace: state.record.workspace,
          lastEventId: work.output.lastEventId,
        }),
        body,
        requestId: work.itemId,
        decodeHead: callerCodec.decodeAnswerHead,
        headTimeoutMilliseconds: itemHeadTimeoutMilliseconds,
        bodyIdleTimeoutMilliseconds: itemIdleTimeoutMilliseconds,
      },
      wallNow: this.#options.wallNow,
      meter: blackboard.learnsServerSpeeds
        ? batchMeter(upstream, blackboard.speeds, now)
        : undefined,
      onStatement: (...statement) =>
        this.#options.statements.record(upstream, ...statement),
      onConnectionRefused: () =>
        this.#options.statements.recordRefusedConnection(upstream),
      onBegin: () =>
        this.#options.quarantine.recordBegin(
          request.sharedPromptParts,
          upstream.service,
          { isTrial: work.isTrial, ownPart: request.ownPromptPart },
        ),
      hasServerCrashed: () =>
        this.#options.crashDetector.examine(upstream, undefined),
      onEnd: (outcome) => this.#handleEnd(work, { upstream, run }, outcome),
    });
    work.run = run;
    work.runs += 1;
    work.runStartedAt = now();
    work.eventsAtRunStart = work.output.lastEventId ?? 0;
    this.#options.logger.debug("an item was sent", {
      job: work.job,
      item: work.itemId,
      server,
      after: work.output.lastEventId ?? null,
    });
    run.start();
  }

  /** Takes back the choice of a server to which the item was not sent. */
  #withdraw(server: InstanceId): void {
    const { loads, serverLimits } = this.#options.blackboard;
    loads.removeRequest(server, "batch");
    serverLimits.giveBack(server);
  }

  #handleEnd(
    work: ItemWork,
    { upstream, run }: EndedRun,
    outcome: RunOutcome,
  ): void {
    const { blackboard, partitions, now, logger } = this.#options;
    const server = upstream.id;
    work.run = undefined;
    if (run.wasSent) blackboard.loads.removeRequest(server, "batch");
    else this.#withdraw(server);
    const events = work.output.lastEventId ?? 0;
    this.#estimator.recordRun(
      events - work.eventsAtRunStart,
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
      eventsOfRun: events - work.eventsAtRunStart,
      milliseconds: Math.round(now() - work.runStartedAt),
      runs: work.runs,
    });
    switch (outcome.kind) {
      case "completed":
        blackboard.health.addSuccess(server, now());
        this.#estimator.recordCompletion(work.tokens, events);
        return this.#recordResult(work, partition, "completed", "");
      case "impossible":
        return this.#recordResult(work, partition, "dead_letter", "impossible");
      case "failed":
        // A failing server ends runs early, so that it would draw item after item.
        blackboard.health.countFailures(server, 1, now());
        work.failedAt.add(server);
        return this.#countFailure(work, partition);
      case "interrupted":
        void recordInterruption(work, outcome, {
          ...this.#options,
          health: blackboard.health,
          upstream,
          hasBegun: run.hasBegun,
        });
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
      return this.#recordResult(
        work,
        partition,
        "dead_letter",
        "all attempts failed",
      );
    }
    this.#options.writerOf(partition).addFailures({
      job: work.job,
      item: work.item,
      count: work.failures,
    });
    work.retryAt = this.#options.now() +
      itemFailureRetryMilliseconds * work.failures;
  }

  #recordResult(
    work: ItemWork,
    partition: JobPartition,
    state: "completed" | "dead_letter",
    reason: string,
  ): void {
    work.hasResult = true;
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
      text: state === "completed" ? work.output.eventData.join("\n") : "",
    });
  }
}
