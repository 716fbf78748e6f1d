/** The part of the reducer that applies entries to the state of one range. */

import { Buffer } from "node:buffer";
import type { Offset } from "../../common/ids.ts";
import type { EntryOf, RangeEntry, RangeSpec } from "./entries.ts";
import { isDone, type RangeState } from "./state.ts";

type ItemEntry = Exclude<
  RangeEntry,
  EntryOf<"range-removed"> | EntryOf<"range-finished">
>;

/** Location of an entry in the stream. */
export interface EntryLocation {
  readonly offset: Offset;
  /** Time at which the log accepted the record, in wall-clock milliseconds. */
  readonly time: number;
  /** Index of the entry in its record. */
  readonly position: number;
}

export function createRangeState(spec: RangeSpec): RangeState {
  return {
    spec,
    done: new Uint8Array(Math.ceil(spec.lines / 8)),
    watermark: 0,
    completed: 0,
    failed: 0,
    outputBytes: 0,
    errorBytes: 0,
    isCancelled: false,
    started: new Map(),
    attempts: new Map(),
    intents: new Map(),
    aborted: new Set(),
    hasLostOwner: false,
    index: [],
  };
}

/** Applies an entry of the current epoch. Returns false if the entry has no effect. */
export function applyRangeEntry(
  range: RangeState,
  entry: ItemEntry,
  location: EntryLocation,
): boolean {
  switch (entry.kind) {
    case "item-started":
      if (range.isCancelled) return false;
      for (const line of entry.lines) {
        if (isPending(range, line)) range.started.set(line, entry.epoch);
      }
      return true;
    case "item-returned":
      for (const line of entry.lines) {
        range.started.delete(line);
        range.intents.delete(line);
        if (!entry.isNotRun && isPending(range, line)) range.aborted.add(line);
      }
      return true;
    case "item-attempted":
      return countAttempt(range, entry);
    case "item-intent":
      if (range.isCancelled || !isPending(range, entry.line)) return false;
      if (range.intents.has(entry.line)) return false;
      range.intents.set(entry.line, entry.epoch);
      return true;
    case "item-completed":
      return entry.isCopy
        ? indexCopy(range, entry, location)
        : completeItem(range, entry, location);
    case "range-carried":
      range.index = range.index.filter(({ offset }) => offset >= entry.before);
      return true;
    case "range-cancelled":
      if (range.isCancelled) return false;
      range.isCancelled = true;
      return true;
  }
}

/** Whether the range has this line and the line has no outcome yet. */
function isPending(range: RangeState, line: number): boolean {
  return line < range.spec.lines && !isDone(range, line);
}

function countAttempt(
  range: RangeState,
  entry: EntryOf<"item-attempted">,
): boolean {
  if (range.isCancelled || !isPending(range, entry.line)) return false;
  const count = (range.attempts.get(entry.line)?.count ?? 0) + 1;
  range.attempts.set(entry.line, {
    count,
    code: entry.code,
    message: entry.message,
  });
  range.started.delete(entry.line);
  if (entry.isNotRun) range.intents.delete(entry.line);
  return true;
}

function completeItem(
  range: RangeState,
  entry: EntryOf<"item-completed">,
  location: EntryLocation,
): boolean {
  const { line } = entry;
  if (range.isCancelled || !isPending(range, line)) return false;
  range.done[line >> 3] = (range.done[line >> 3] ?? 0) | (1 << (line & 7));
  while (
    range.watermark < range.spec.lines && isDone(range, range.watermark)
  ) range.watermark++;
  const bytes = Buffer.byteLength(entry.text) + 1;
  if (entry.isError) {
    range.failed++;
    range.errorBytes += bytes;
  } else {
    range.completed++;
    range.outputBytes += bytes;
  }
  range.started.delete(line);
  range.attempts.delete(line);
  range.intents.delete(line);
  range.aborted.delete(line);
  addToIndex(range, location, false);
  return true;
}

function indexCopy(
  range: RangeState,
  entry: EntryOf<"item-completed">,
  location: EntryLocation,
): boolean {
  if (entry.line >= range.spec.lines || !isDone(range, entry.line)) {
    return false;
  }
  addToIndex(range, location, true);
  return true;
}

function addToIndex(
  range: RangeState,
  { offset, time, position }: EntryLocation,
  hasCopies: boolean,
): void {
  const last = range.index.at(-1);
  if (last?.offset === offset) {
    last.hasCopies ||= hasCopies;
    last.last = position;
  } else {
    range.index.push({
      offset,
      first: position,
      last: position,
      time,
      hasCopies,
    });
  }
}
