/**
 * An in-memory keyed store, shared by all instances of a test. It can refuse individual callers,
 * drop responses after the write, drop old records and reassign partitions.
 */

import { Buffer } from "node:buffer";
import type { InstanceId, Offset, PartitionNumber } from "../../common/ids.ts";
import {
  type GroupAssignment,
  type GroupRequest,
  type KeyedEntry,
  type KeyedRecord,
  type KeyedStore,
  type NewestPage,
  OffsetOutOfRangeError,
  type ReadOptions,
  type ReadResult,
  StoreFullError,
  StoreRejectedError,
  StoreUnavailableError,
  type StreamPartition,
} from "../keyed-store.ts";

const silencePollMilliseconds = 20;

interface PartitionLog {
  records: KeyedRecord[];
  /** Offset of the first record that can still be read. */
  firstOffset: number;
  newest: Map<string, KeyedRecord>;
  waiters: Set<() => void>;
}

/** Largest record that the store takes, with its key. */
const maximumRecordBytes = 262_144;

interface Group {
  generation: number;
  members: Set<InstanceId>;
  owners: Map<number, InstanceId>;
}

export class MemoryStoreService {
  readonly #logs = new Map<string, PartitionLog>();
  readonly #groups = new Map<string, Group>();
  readonly #partitions: number;
  pageSize: number;
  /** Every member of a group is assigned all partitions, as around a hand-over gone wrong. */
  assignsAllToEach = false;
  /** Callers whose calls fail. */
  readonly refusedCallers = new Set<string>();
  /** Callers whose long polls get no response, as on silent connections. */
  readonly callersWithSilentPolls = new Set<string>();
  /** Callers whose calls get no response until they are removed from this set. */
  readonly silencedCallers = new Set<string>();
  readonly #callersByStream = new Map<string, Set<string>>();
  isDown = false;
  /** Number of appends that take effect but fail as if their response had been lost. */
  appendResponsesToDrop = 0;
  /** Delay before an append takes effect. */
  appendDelayMilliseconds = 0;
  appendCount = 0;
  /** Appends are refused as by a store without room. */
  isFull = false;
  /** Appends that were refused since the store is full. */
  fullAppends = 0;
  /** Appends that were rejected since a record is too large. */
  rejectedAppends = 0;

  constructor({ partitions = 4, pageSize = 500 } = {}) {
    this.#partitions = partitions;
    this.pageSize = pageSize;
  }

  client(caller: string): KeyedStore {
    return new MemoryKeyedStore(this, caller);
  }

  checkAvailable(caller: string): void {
    if (!this.isDown && !this.refusedCallers.has(caller)) return;
    throw new StoreUnavailableError("refused", { mayHaveTakenEffect: false });
  }

  log({ stream, partition }: StreamPartition): PartitionLog {
    const name = `${stream}/${partition}`;
    let log = this.#logs.get(name);
    if (!log) {
      log = {
        records: [],
        firstOffset: 0,
        newest: new Map(),
        waiters: new Set(),
      };
      this.#logs.set(name, log);
    }
    return log;
  }

  /** Callers that have read the stream or written values to it themselves. */
  callersOf(stream: string): string[] {
    return [...this.#callersByStream.get(stream) ?? []].sort();
  }

  recordCaller(stream: string, caller: string): void {
    const callers = this.#callersByStream.get(stream) ?? new Set();
    this.#callersByStream.set(stream, callers.add(caller));
  }

  /** Names of the groups that were ever joined. */
  groupNames(): string[] {
    return [...this.#groups.keys()];
  }

  /** The caller gets no responses any more, and its leases expire. */
  silence(caller: string): void {
    this.silencedCallers.add(caller);
    for (const group of this.#groups.keys()) {
      this.leave(group, caller as InstanceId);
    }
  }

  /** Bytes of the newest record of each key of a stream. */
  liveBytes(stream: string): number {
    let bytes = 0;
    for (const [name, { newest }] of this.#logs) {
      if (!name.startsWith(`${stream}/`)) continue;
      for (const record of newest.values()) bytes += sizeOf(record);
    }
    return bytes;
  }

  /** Keys of a stream that have a value, in all partitions. */
  liveKeys(stream: string): string[] {
    return [...this.#logs].flatMap(([name, { newest }]) =>
      name.startsWith(`${stream}/`) ? [...newest.keys()] : []
    );
  }

  append(target: StreamPartition, entries: readonly KeyedEntry[]): Offset {
    if (entries.some((entry) => sizeOf(entry) > maximumRecordBytes)) {
      this.rejectedAppends += 1;
      throw new StoreRejectedError("a record is too large");
    }
    if (this.isFull) {
      this.fullAppends += 1;
      throw new StoreFullError("the store is full");
    }
    const log = this.log(target);
    const first = log.records.length;
    this.appendCount += 1;
    for (const { key, value } of entries) {
      const record = { key, value, offset: log.records.length as Offset };
      log.records.push(record);
      if (value === undefined) log.newest.delete(key);
      else log.newest.set(key, record);
    }
    for (const wake of [...log.waiters]) wake();
    if (this.appendResponsesToDrop > 0) {
      this.appendResponsesToDrop -= 1;
      throw new StoreUnavailableError("the response was lost", {
        mayHaveTakenEffect: true,
      });
    }
    return first as Offset;
  }

  /** Drops the old records of all streams; the newest record of each key stays readable. */
  dropHistory(): void {
    for (const log of this.#logs.values()) {
      log.firstOffset = log.records.length;
      for (const wake of [...log.waiters]) wake();
    }
  }

  /**
   * A partition moves to another member only after its owner has joined with the generation in
   * which it was reassigned.
   */
  join({ group, member, generation }: GroupRequest): GroupAssignment {
    const state = this.#groups.get(group) ??
      { generation: 0, members: new Set(), owners: new Map() };
    this.#groups.set(group, state);
    if (!state.members.has(member)) {
      state.members.add(member);
      state.generation += 1;
    }
    if (this.assignsAllToEach) {
      return {
        generation: state.generation,
        partitions: Array.from(
          { length: this.#partitions },
          (_, partition) => partition as PartitionNumber,
        ),
      };
    }
    const members = [...state.members].sort();
    const partitions: PartitionNumber[] = [];
    for (let partition = 0; partition < this.#partitions; partition++) {
      const assignedOwner = members[partition % members.length];
      const owner = state.owners.get(partition);
      if (owner === member && assignedOwner !== member) {
        if (generation >= state.generation) state.owners.delete(partition);
      } else if (assignedOwner === member && (owner ?? member) === member) {
        state.owners.set(partition, member);
        partitions.push(partition as PartitionNumber);
      }
    }
    return { generation: state.generation, partitions };
  }

  leave(group: string, member: InstanceId): void {
    const state = this.#groups.get(group);
    if (!state?.members.delete(member)) return;
    state.generation += 1;
    for (const [partition, owner] of state.owners) {
      if (owner === member) state.owners.delete(partition);
    }
  }
}

class MemoryKeyedStore implements KeyedStore {
  readonly #service: MemoryStoreService;
  readonly #caller: string;

  constructor(service: MemoryStoreService, caller: string) {
    this.#service = service;
    this.#caller = caller;
  }

  async append(
    target: StreamPartition,
    entries: readonly KeyedEntry[],
  ): Promise<Offset> {
    await this.#checkAccess();
    const { appendDelayMilliseconds } = this.#service;
    if (appendDelayMilliseconds > 0) {
      await new Promise((resolve) =>
        setTimeout(resolve, appendDelayMilliseconds)
      );
    }
    if (entries.some(({ value }) => value !== undefined)) {
      this.#service.recordCaller(target.stream, this.#caller);
    }
    return this.#service.append(target, entries);
  }

  async read(
    target: StreamPartition,
    { from, waitMilliseconds = 0, signal }: ReadOptions,
  ): Promise<ReadResult> {
    await this.#checkAccess();
    this.#service.recordCaller(target.stream, this.#caller);
    const log = this.#service.log(target);
    if (from < log.firstOffset) throw new OffsetOutOfRangeError("dropped");
    const isSilent = () =>
      this.#service.callersWithSilentPolls.has(this.#caller) &&
      !signal?.aborted;
    if (waitMilliseconds > 0 && (log.records.length <= from || isSilent())) {
      do await waitFor(log, waitMilliseconds, signal); while (isSilent());
      this.#service.checkAvailable(this.#caller);
      if (from < log.firstOffset) throw new OffsetOutOfRangeError("dropped");
    }
    const end = log.records.length as Offset;
    return { records: log.records.slice(from), next: end, end };
  }

  async readNewest(
    target: StreamPartition,
    afterKey?: string,
  ): Promise<NewestPage> {
    await this.#checkAccess();
    this.#service.recordCaller(target.stream, this.#caller);
    const log = this.#service.log(target);
    const all = [...log.newest.values()]
      .filter((record) => afterKey === undefined || record.key > afterKey)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    return {
      records: all.slice(0, this.#service.pageSize),
      end: log.records.length as Offset,
      hasMore: all.length > this.#service.pageSize,
    };
  }

  async join(request: GroupRequest): Promise<GroupAssignment> {
    await this.#checkAccess();
    return this.#service.join(request);
  }

  async leave(group: string, member: InstanceId): Promise<void> {
    await this.#checkAccess();
    this.#service.leave(group, member);
  }

  async #checkAccess(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    while (this.#service.silencedCallers.has(this.#caller)) {
      await new Promise((resolve) =>
        setTimeout(resolve, silencePollMilliseconds)
      );
    }
    this.#service.checkAvailable(this.#caller);
  }
}

function sizeOf({ key, value }: KeyedEntry): number {
  return Buffer.byteLength(key) + (value?.length ?? 0);
}

function waitFor(
  log: PartitionLog,
  milliseconds: number,
  signal: AbortSignal | undefined,
): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      log.waiters.delete(finish);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    log.waiters.add(finish);
    signal?.addEventListener("abort", finish);
  });
}
