/**
 * A keyed store in memory for tests, shared by all instances of a test. It can refuse single
 * callers, lose answers after the write, drop its history and deal partitions anew.
 */

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
  StoreUnavailableError,
  type StreamPartition,
} from "../keyed-store.ts";

interface Log {
  records: KeyedRecord[];
  /** Offset of the first record that can still be read. */
  first: number;
  newest: Map<string, KeyedRecord>;
  waiters: Set<() => void>;
}

interface Group {
  generation: number;
  members: Set<InstanceId>;
  holders: Map<number, InstanceId>;
}

export class MemoryStoreService {
  readonly #logs = new Map<string, Log>();
  readonly #groups = new Map<string, Group>();
  readonly #partitions: number;
  readonly pageSize: number;
  /** Callers that get no service. */
  readonly refusedCallers = new Set<string>();
  isDown = false;
  /** Number of appends whose answer is lost after they took effect. */
  appendResponsesToDrop = 0;
  /** Time that an append takes. */
  appendDelayMilliseconds = 0;
  appendCount = 0;

  constructor({ partitions = 4, pageSize = 500 } = {}) {
    this.#partitions = partitions;
    this.pageSize = pageSize;
  }

  client(caller: string): KeyedStore {
    return new MemoryKeyedStore(this, caller);
  }

  check(caller: string): void {
    if (!this.isDown && !this.refusedCallers.has(caller)) return;
    throw new StoreUnavailableError("refused", { mayHaveTakenEffect: false });
  }

  log({ stream, partition }: StreamPartition): Log {
    const name = `${stream}/${partition}`;
    let log = this.#logs.get(name);
    if (!log) {
      log = { records: [], first: 0, newest: new Map(), waiters: new Set() };
      this.#logs.set(name, log);
    }
    return log;
  }

  append(target: StreamPartition, entries: readonly KeyedEntry[]): Offset {
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
      throw new StoreUnavailableError("the answer was lost", {
        mayHaveTakenEffect: true,
      });
    }
    return first as Offset;
  }

  /** Drops the history of all streams; the newest record of each key stays. */
  dropHistory(): void {
    for (const log of this.#logs.values()) {
      log.first = log.records.length;
      for (const wake of [...log.waiters]) wake();
    }
  }

  /** A partition moves only after its holder has joined with the generation that took it away. */
  join({ group, member, generation }: GroupRequest): GroupAssignment {
    const state = this.#groups.get(group) ??
      { generation: 0, members: new Set(), holders: new Map() };
    this.#groups.set(group, state);
    if (!state.members.has(member)) {
      state.members.add(member);
      state.generation += 1;
    }
    const members = [...state.members].sort();
    const partitions: PartitionNumber[] = [];
    for (let partition = 0; partition < this.#partitions; partition++) {
      const wanted = members[partition % members.length];
      const holder = state.holders.get(partition);
      if (holder === member && wanted !== member) {
        if (generation >= state.generation) state.holders.delete(partition);
      } else if (wanted === member && (holder ?? member) === member) {
        state.holders.set(partition, member);
        partitions.push(partition as PartitionNumber);
      }
    }
    return { generation: state.generation, partitions };
  }

  leave(group: string, member: InstanceId): void {
    const state = this.#groups.get(group);
    if (!state?.members.delete(member)) return;
    state.generation += 1;
    for (const [partition, holder] of state.holders) {
      if (holder === member) state.holders.delete(partition);
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
    await this.#enter();
    const { appendDelayMilliseconds } = this.#service;
    if (appendDelayMilliseconds > 0) {
      await new Promise((resolve) =>
        setTimeout(resolve, appendDelayMilliseconds)
      );
    }
    return this.#service.append(target, entries);
  }

  async read(
    target: StreamPartition,
    { from, waitMilliseconds = 0, signal }: ReadOptions,
  ): Promise<ReadResult> {
    await this.#enter();
    const log = this.#service.log(target);
    if (from < log.first) throw new OffsetOutOfRangeError("dropped");
    if (log.records.length <= from && waitMilliseconds > 0) {
      await waitFor(log, waitMilliseconds, signal);
      this.#service.check(this.#caller);
      if (from < log.first) throw new OffsetOutOfRangeError("dropped");
    }
    const end = log.records.length as Offset;
    return { records: log.records.slice(from), next: end, end };
  }

  async readNewest(
    target: StreamPartition,
    afterKey?: string,
  ): Promise<NewestPage> {
    await this.#enter();
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
    await this.#enter();
    return this.#service.join(request);
  }

  async leave(group: string, member: InstanceId): Promise<void> {
    await this.#enter();
    this.#service.leave(group, member);
  }

  async #enter(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    this.#service.check(this.#caller);
  }
}

function waitFor(
  log: Log,
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
