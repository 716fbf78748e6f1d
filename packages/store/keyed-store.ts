/**
 * The port to the store in which everything that must outlive a process is kept: streams of
 * keyed records, split into partitions. Each partition is ordered by offset. The store may drop
 * old records, but keeps the newest one of each key.
 */

import { RosemaryrudderError } from "../common/errors.ts";
import type {
  InstanceId,
  Offset,
  PartitionNumber,
  StreamName,
} from "../common/ids.ts";

/** One partition of one stream. */
export interface StreamPartition {
  readonly stream: StreamName;
  readonly partition: PartitionNumber;
}

/** A record to be written. A record without a value removes its key. */
export interface KeyedEntry {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

export interface KeyedRecord extends KeyedEntry {
  readonly offset: Offset;
}

export interface ReadResult {
  readonly records: readonly KeyedRecord[];
  /** Offset from which the next read goes on; unreadable records are passed over. */
  readonly next: Offset;
  /** Offset that the next record of the partition will have. */
  readonly end: Offset;
}

export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  readonly end: Offset;
  readonly hasMore: boolean;
}

export interface ReadOptions {
  readonly from: Offset;
  /** How long the store may hold the call until a record exists. */
  readonly waitMilliseconds?: number;
  readonly maximumBytes?: number;
  readonly signal?: AbortSignal;
}

export interface GroupRequest {
  readonly group: string;
  readonly member: InstanceId;
  readonly stream: StreamName;
  readonly leaseMilliseconds: number;
  /** Generation that the last answer named; 0 before the first. */
  readonly generation: number;
}

export interface GroupAssignment {
  readonly generation: number;
  readonly partitions: readonly PartitionNumber[];
}

export interface KeyedStore {
  /** Appends all entries or none, in order, and returns the offset of the first. */
  append(
    target: StreamPartition,
    entries: readonly KeyedEntry[],
  ): Promise<Offset>;
  /** Reads records from an offset on; throws HistoryLostError if they are gone. */
  read(target: StreamPartition, options: ReadOptions): Promise<ReadResult>;
  /** Reads the newest record of each key, in the order of the keys. */
  readNewest(target: StreamPartition, afterKey?: string): Promise<NewestPage>;
  /** Joins a group that shares out the partitions of a stream, or keeps the membership. */
  join(request: GroupRequest): Promise<GroupAssignment>;
  leave(group: string, member: InstanceId): Promise<void>;
}

/** The store did not answer, or refused the call. */
export class StoreUnavailableError extends RosemaryrudderError {
  /** True if a write may have taken effect, or may yet do so. */
  readonly mayHaveTakenEffect: boolean;

  constructor(
    message: string,
    options: ErrorOptions & { mayHaveTakenEffect: boolean },
  ) {
    super("store_unavailable", message, options);
    this.mayHaveTakenEffect = options.mayHaveTakenEffect;
  }
}

/** The records that were asked for have been dropped from the history. */
export class OffsetOutOfRangeError extends RosemaryrudderError {
  constructor(message: string) {
    super("history_lost", message);
  }
}

/** The store judged the call invalid; repeating it gives the same answer. */
export class StoreRejectedError extends RosemaryrudderError {
  constructor(message: string) {
    super("store_rejected", message);
  }
}
