/**
 * Interface of the store that holds everything that must outlive a process: streams of keyed
 * records, split into partitions. Each partition is ordered by offset. The store may drop old
 * records, but keeps the newest one of each key.
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
  /** Offset at which the next read continues; unreadable records are skipped. */
  readonly next: Offset;
  /** Offset that the next record of the partition will have. */
  readonly end: Offset;
}

/** One page of the newest records of a partition, in the order of their keys. */
export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  /** Offset that the next record of the partition will have. */
  readonly end: Offset;
  readonly hasMore: boolean;
}

/** Which peers may make a call for this instance. */
export interface RelayRules {
  /** Regions in which the records of the call may be handled; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

export interface ReadOptions extends RelayRules {
  readonly from: Offset;
  /** How long the store may wait for a record before it responds (long poll). */
  readonly waitMilliseconds?: number;
  readonly maximumBytes?: number;
  readonly signal?: AbortSignal;
}

/** Request of a member to join a group or to renew its lease. */
export interface GroupRequest {
  readonly group: string;
  readonly member: InstanceId;
  readonly stream: StreamName;
  readonly leaseMilliseconds: number;
  /** Generation of the last assignment that the member received; 0 before the first. */
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
    rules?: RelayRules,
  ): Promise<Offset>;
  /** Reads records from an offset on; throws OffsetOutOfRangeError if they were dropped. */
  read(target: StreamPartition, options: ReadOptions): Promise<ReadResult>;
  /** Reads one page of the newest records of each key, in key order, after `afterKey`. */
  readNewest(
    target: StreamPartition,
    afterKey?: string,
    rules?: RelayRules,
  ): Promise<NewestPage>;
  /** Joins a group that distributes the partitions of a stream, or renews the lease in it. */
  join(request: GroupRequest): Promise<GroupAssignment>;
  leave(group: string, member: InstanceId): Promise<void>;
}

/** The store did not respond, or refused the call. */
export class StoreUnavailableError extends RosemaryrudderError {
  /** True if a write may have taken effect, or may still do so. */
  readonly mayHaveTakenEffect: boolean;

  constructor(
    message: string,
    options: ErrorOptions & { mayHaveTakenEffect: boolean },
  ) {
    super("store_unavailable", message, options);
    this.mayHaveTakenEffect = options.mayHaveTakenEffect;
  }
}

/** The store is full; the write had no effect and may succeed once records were removed. */
export class StoreFullError extends StoreUnavailableError {
  constructor(message: string) {
    super(message, { mayHaveTakenEffect: false });
  }
}

/** The store has dropped the records at the requested offset. */
export class OffsetOutOfRangeError extends RosemaryrudderError {
  constructor(message: string) {
    super("history_lost", message);
  }
}

/** The store rejected the call as invalid; a retry gives the same result. */
export class StoreRejectedError extends RosemaryrudderError {
  constructor(message: string) {
    super("store_rejected", message);
  }
}
