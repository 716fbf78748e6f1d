/**
 * Estimates the volume of the store from the streams that this instance follows and the reports of
 * the others, and decides whether a new job is accepted. The estimate needs no call to the store.
 */

import type { JobId, PartitionNumber } from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import type { WriteMeter } from "../store/write-meter.ts";
import { defaultTextBytes } from "./constants.ts";
import type { JobPartition, JobPartitions } from "./job-partition.ts";
import type { JobNotes } from "./retention.ts";
import { estimateVolume, hasRoom, type VolumeReport } from "./store-budget.ts";

export interface StoreCapacityOptions {
  readonly capacityBytes: number;
  readonly historyMilliseconds: number;
  readonly partitions: JobPartitions;
  readonly isOwned: (partition: PartitionNumber) => boolean;
  /** Notes of the owner on a job; undefined if it has none. */
  readonly notesOf: (
    partition: PartitionNumber,
    job: JobId,
  ) => Readonly<JobNotes> | undefined;
  readonly meter: WriteMeter;
  readonly peerVolumes: () => readonly VolumeReport[];
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly wallNow: () => number;
  readonly logger: Logger;
}

/** Greatest age of the measurement by which a job is accepted, as just after a start. */
const measurementAgeMilliseconds = 1_000;

interface PartitionVolume {
  /** Live bytes that are older than the history. */
  readonly storedBytes: number;
  readonly liveKeys: number;
}

interface ExpectedResults {
  readonly openItems: number;
  readonly textBytes: number;
}

export class StoreCapacity {
  readonly #options: StoreCapacityOptions;
  #volumes = new Map<PartitionNumber, PartitionVolume>();
  #expected: ExpectedResults = { openItems: 0, textBytes: defaultTextBytes };
  #measuredAt = Number.NEGATIVE_INFINITY;
  #isRefusing = false;

  constructor(options: StoreCapacityOptions) {
    this.#options = options;
  }

  /** Measures the partitions anew; between two calls the writes are counted as they happen. */
  refresh(): void {
    this.#measuredAt = this.#options.now();
    const partitions = this.#options.partitions.all()
      .filter(({ isLoaded }) => isLoaded);
    this.#volumes = new Map(
      partitions.map((partition) => [
        partition.number,
        measurePartition(partition, this.#options),
      ]),
    );
    this.#expected = expectResults(partitions);
  }

  /** The estimated volume of the whole store. */
  get volumeBytes(): number {
    const { partitions, peerVolumes } = this.#options;
    return estimateVolume([this.report(), ...peerVolumes()], {
      partitions: partitions.all().map(({ number }) => number),
      volumeOf: (partition) => this.#volumes.get(partition)?.storedBytes ?? 0,
    });
  }

  /** Volume as a share of the capacity. */
  get fill(): number {
    return this.volumeBytes / this.#options.capacityBytes;
  }

  /** Records of jobs and bodies that the store holds, as far as this instance knows. */
  get liveKeys(): number {
    return [...this.#volumes.values()]
      .reduce((sum, { liveKeys }) => sum + liveKeys, 0);
  }

  report(): VolumeReport {
    const { partitions, isOwned, meter } = this.#options;
    const ownedPartitions: PartitionNumber[] = [];
    // A partition that has not been read yet is better known to other instances.
    let storedBytes: number | undefined = 0;
    for (const { number } of partitions.all()) {
      if (!isOwned(number)) continue;
      ownedPartitions.push(number);
      const volume = this.#volumes.get(number);
      storedBytes = volume && storedBytes !== undefined
        ? storedBytes + volume.storedBytes
        : undefined;
    }
    return { ownedPartitions, storedBytes, writtenBytes: meter.recentBytes };
  }

  /** Whether a new job may be accepted. */
  hasRoomFor(jobBytes: number): boolean {
    const { capacityBytes, logger, now } = this.#options;
    if (now() - this.#measuredAt > measurementAgeMilliseconds) this.refresh();
    const { openItems, textBytes } = this.#expected;
    const demand = {
      volumeBytes: this.volumeBytes,
      expectedBytes: openItems * textBytes,
      jobBytes,
      capacityBytes,
    };
    const isRefusing = !hasRoom(demand);
    if (isRefusing !== this.#isRefusing) {
      this.#isRefusing = isRefusing;
      const message = isRefusing
        ? "the store is nearly full; new jobs are refused"
        : "the store has room for new jobs again";
      logger.warn(message, { ...demand, openItems });
    }
    return !isRefusing;
  }
}

function measurePartition(
  { number, state, index }: JobPartition,
  { isOwned, notesOf, historyMilliseconds, now, wallNow }: StoreCapacityOptions,
): PartitionVolume {
  let storedBytes = 0;
  let liveKeys = index.size;
  const seenBefore = now() - historyMilliseconds;
  for (const [, { bytes, firstSeenAt, isFromSnapshot }] of index.entries()) {
    if (isFromSnapshot || firstSeenAt < seenBefore) storedBytes += bytes;
  }
  const acceptedBefore = wallNow() - historyMilliseconds;
  for (const { record } of state.jobs()) {
    // Only the owner knows which bodies are removed.
    const notes = isOwned(number) ? notesOf(number, record.job) : undefined;
    for (const [item, { bodyBytes }] of record.items.entries()) {
      if (notes?.removedBodies.has(item)) continue;
      liveKeys += 1;
      if (record.acceptedAt < acceptedBefore) storedBytes += bodyBytes;
    }
  }
  return { storedBytes, liveKeys };
}

function expectResults(partitions: readonly JobPartition[]): ExpectedResults {
  let openItems = 0;
  let results = 0;
  let characters = 0;
  for (const { state } of partitions) {
    for (const job of state.jobs()) {
      if (!job.isEnded) {
        openItems += job.record.items.length - job.finished.size;
      }
      results += job.results.length;
      for (const { text } of job.results) characters += text.length;
    }
  }
  const textBytes = results === 0 ? defaultTextBytes : characters / results;
  return { openItems, textBytes };
}
