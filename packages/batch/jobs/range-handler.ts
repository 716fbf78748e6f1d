/**
 * Handles the home owner's messages at the owner of a range: records ranges that are assigned,
 * cancelled or removed, and reports progress. Reports are built only from entries read back from
 * the partition's stream.
 */

import { RosemaryrudderError } from "../../common/errors.ts";
import type { JobId, PartitionNumber } from "../../common/ids.ts";
import type { PeerNetwork } from "../../protocol/peer-network.ts";
import type { Executor } from "../execution/executor.ts";
import type { OwnerEntry } from "../partition/entries.ts";
import type { PartitionOwner } from "../partition/owner.ts";
import type { PartitionSet } from "../partition/partition-set.ts";
import {
  createRangeSpec,
  isDone,
  isRangeFinished,
  mayHaveRun,
  rangeKey,
  type RangeState,
} from "../partition/state.ts";
import {
  type NotOwner,
  type RangeIndexAnswer,
  rangeIndexMessage,
  type RangeReport,
  type SyncAnswer,
  type SyncRanges,
  syncRangesMessage,
} from "./job-messages.ts";

export interface RangeHandlerOptions {
  partitions: PartitionSet;
  network: PeerNetwork;
  executor: Executor;
}

export class RangeHandler {
  readonly #options: RangeHandlerOptions;
  /** Appends in progress by name, so that a repeated message does not append its entries again. */
  readonly #pendingAppends = new WeakMap<
    PartitionOwner,
    Map<string, Promise<void>>
  >();

  constructor(options: RangeHandlerOptions) {
    this.#options = options;
  }

  start(): void {
    const { network } = this.#options;
    network.handle(syncRangesMessage, (request) => this.#sync(request));
    network.handle(
      rangeIndexMessage,
      (request) => this.#describeIndex(request),
    );
  }

  async #sync(request: SyncRanges): Promise<SyncAnswer> {
    const partition = request.partition as PartitionNumber;
    const owner = this.#options.partitions.activeOwner(partition);
    if (!owner) return this.#notOwner(partition);
    try {
      await Promise.all(
        request.ranges.map((range) => this.#applyWanted(owner, request, range)),
      );
    } catch (error) {
      if (!(error instanceof RosemaryrudderError)) throw error;
      return this.#notOwner(partition);
    }
    if (!owner.isActive) return this.#notOwner(partition);
    const { ranges } = owner.state;
    return {
      kind: "reports",
      reports: request.ranges.map((range) =>
        createReport(range, ranges.get(rangeKey(request.job.id, range)))
      ),
    };
  }

  async #applyWanted(
    owner: PartitionOwner,
    { job, wanted }: SyncRanges,
    range: number,
  ): Promise<void> {
    const { executor } = this.#options;
    const key = rangeKey(job.id, range);
    const state = owner.state.ranges.get(key);
    const id = { job: job.id, range };
    if (wanted === "remove") {
      if (state) {
        await this.#appendOnce(owner, `remove ${key}`, [
          { kind: "range-removed", ...id },
        ]);
      }
      return;
    }
    const acceptEntries: OwnerEntry[] = state
      ? []
      : [{ kind: "range-accepted", spec: createRangeSpec(job, range) }];
    if (wanted === "cancel") {
      // A range that was not assigned yet is recorded as well: a delayed message that assigns it
      // then finds it cancelled.
      if (state && isRangeFinished(state)) return;
      executor.cancelRange(job.id, range);
      await this.#appendOnce(owner, `cancel ${key}`, [
        ...acceptEntries,
        { kind: "range-cancelled", ...id },
      ]);
      return;
    }
    if (!state) await this.#appendOnce(owner, `accept ${key}`, acceptEntries);
    executor.confirmRange(job.id, range);
  }

  /** Appends the entries, or joins an append of the same name that is in progress. */
  async #appendOnce(
    owner: PartitionOwner,
    name: string,
    entries: OwnerEntry[],
  ): Promise<void> {
    const pending = this.#pendingAppends.get(owner) ??
      new Map<string, Promise<void>>();
    this.#pendingAppends.set(owner, pending);
    let appended = pending.get(name);
    if (!appended) {
      appended = Promise.all(entries.map((entry) => owner.append(entry)))
        .then(() => {})
        .finally(() => pending.delete(name));
      pending.set(name, appended);
    }
    await appended;
  }

  #notOwner(partition: PartitionNumber): NotOwner {
    const holder = this.#options.partitions.openEpochOwner(partition);
    return { kind: "not-owner", holder };
  }

  #describeIndex(
    { partition, job, range }: {
      partition: number;
      job: JobId;
      range: number;
    },
  ): RangeIndexAnswer {
    const owner = this.#options.partitions.activeOwner(
      partition as PartitionNumber,
    );
    if (!owner) return this.#notOwner(partition as PartitionNumber);
    const state = owner.state.ranges.get(rangeKey(job, range));
    if (!state) return { kind: "unknown-range" };
    const lines = Array.from({ length: state.spec.lines }, (_, line) => line);
    return {
      kind: "index",
      records: state.index,
      isCancelled: state.isCancelled,
      mayHaveRun: state.isCancelled
        ? lines.filter((line) =>
          !isDone(state, line) && mayHaveRun(state, line)
        )
        : [],
    };
  }
}

function createReport(
  range: number,
  state: RangeState | undefined,
): RangeReport {
  return {
    range,
    isKnown: state !== undefined,
    isFinished: state !== undefined && isRangeFinished(state),
    isCancelled: state?.isCancelled ?? false,
    completed: state?.completed ?? 0,
    failed: state?.failed ?? 0,
    outputBytes: state?.outputBytes ?? 0,
    errorBytes: state?.errorBytes ?? 0,
  };
}
