/**
 * Computes the state of a partition from the records of its stream, and changes the state in
 * place. It uses no clock, random number or setting, so all readers of the same records hold the
 * same state. A record is ignored if its writer has already written that sequence or a later one.
 * An entry is ignored if its epoch or writer is not that of the current epoch, or if the epoch has
 * been released.
 */

import type { Offset } from "../../common/ids.ts";
import type { StoredRecord } from "../../log/log-client.ts";
import { decodeRecord, type LogRecord } from "../../log/record.ts";
import { maximumRememberedWriters } from "../constants.ts";
import {
  type EntryOf,
  entrySchema,
  type PartitionEntry,
  type RangeEntry,
} from "./entries.ts";
import {
  applyRangeEntry,
  createRangeState,
  type EntryLocation,
} from "./range-reducer.ts";
import {
  isRangeFinished,
  type PartitionState,
  rangeCount,
  rangeKey,
} from "./state.ts";

/** Applies one record and returns the entries that took effect. */
export function applyRecord(
  state: PartitionState,
  stored: StoredRecord,
): PartitionEntry[] {
  state.appliedOffset = stored.offset;
  const record = decodeRecord(stored.data);
  if (!record || isDuplicate(state, record)) return [];
  const accepted: PartitionEntry[] = [];
  const { offset, time } = stored;
  for (const [position, raw] of record.entries.entries()) {
    const parsed = entrySchema.safeParse(raw);
    if (!parsed.success) continue;
    const location = { offset, time, position };
    if (applyEntry(state, parsed.data, record, location)) {
      accepted.push(parsed.data);
    }
  }
  return accepted;
}

function isDuplicate(state: PartitionState, record: LogRecord): boolean {
  const highest = state.writers.get(record.writer);
  if (highest !== undefined && record.sequence <= highest) return true;
  state.writers.set(record.writer, record.sequence);
  // The oldest writers are dropped first. They belong to earlier epochs, so their entries would
  // be ignored anyway.
  for (const writer of state.writers.keys()) {
    if (state.writers.size <= maximumRememberedWriters) break;
    state.writers.delete(writer);
  }
  return false;
}

function applyEntry(
  state: PartitionState,
  entry: PartitionEntry,
  record: LogRecord,
  location: EntryLocation,
): boolean {
  if (entry.kind === "checkpoint") return true;
  if (entry.kind === "epoch-opened") {
    return openEpoch(state, entry, record, location.offset);
  }
  const { epoch } = state;
  const isCurrent = epoch?.offset === entry.epoch &&
    epoch.writer === record.writer && !epoch.isReleased;
  if (!isCurrent) return false;
  switch (entry.kind) {
    case "epoch-released":
      epoch.isReleased = true;
      return true;
    case "job-accepted":
      return acceptJob(state, entry);
    case "job-cancelled":
      return cancelJob(state, entry);
    case "job-removed":
      return state.jobs.delete(entry.job);
    case "range-finished":
      return finishRange(state, entry);
    case "range-accepted":
      return acceptRange(state, entry);
    case "range-removed":
      return state.ranges.delete(rangeKey(entry.job, entry.range));
    default:
      return applyToRangeState(state, entry, location);
  }
}

function openEpoch(
  state: PartitionState,
  entry: EntryOf<"epoch-opened">,
  record: LogRecord,
  offset: Offset,
): boolean {
  const current = state.epoch;
  if (current && entry.controlOffset < current.controlOffset) return false;
  if (current && !current.isReleased) {
    for (const range of state.ranges.values()) {
      if (!isRangeFinished(range)) range.hasLostOwner = true;
    }
  }
  state.epoch = {
    offset,
    owner: entry.owner,
    incarnation: entry.incarnation,
    controlOffset: entry.controlOffset,
    writer: record.writer,
    isReleased: false,
  };
  return true;
}

function acceptJob(
  state: PartitionState,
  { spec }: EntryOf<"job-accepted">,
): boolean {
  if (state.jobs.has(spec.id)) return false;
  state.jobs.set(spec.id, {
    spec,
    cancelledAt: undefined,
    endedAt: undefined,
    finished: new Map(),
  });
  return true;
}

function cancelJob(
  state: PartitionState,
  entry: EntryOf<"job-cancelled">,
): boolean {
  const job = state.jobs.get(entry.job);
  if (!job || job.endedAt !== undefined || job.cancelledAt !== undefined) {
    return false;
  }
  job.cancelledAt = entry.at;
  return true;
}

function finishRange(
  state: PartitionState,
  entry: EntryOf<"range-finished">,
): boolean {
  const job = state.jobs.get(entry.job);
  if (!job || job.finished.has(entry.range)) return false;
  if (entry.range >= rangeCount(job.spec)) return false;
  job.finished.set(entry.range, {
    completed: entry.completed,
    failed: entry.failed,
    outputBytes: entry.outputBytes,
    errorBytes: entry.errorBytes,
    isCancelled: entry.isCancelled,
  });
  if (job.finished.size === rangeCount(job.spec)) job.endedAt = entry.at;
  return true;
}

function acceptRange(
  state: PartitionState,
  { spec }: EntryOf<"range-accepted">,
): boolean {
  const key = rangeKey(spec.job, spec.range);
  if (state.ranges.has(key)) return false;
  state.ranges.set(key, createRangeState(spec));
  return true;
}

function applyToRangeState(
  state: PartitionState,
  entry: Exclude<
    RangeEntry,
    EntryOf<"range-removed"> | EntryOf<"range-finished">
  >,
  location: EntryLocation,
): boolean {
  const range = state.ranges.get(rangeKey(entry.job, entry.range));
  return range !== undefined && applyRangeEntry(range, entry, location);
}
