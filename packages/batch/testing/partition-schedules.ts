/**
 * Generates random schedules of partition records, and reduces them with a naive implementation
 * for comparison with the reducer.
 */

import fc from "fast-check";
import { brandAs, type Offset, type WriterId } from "../../common/ids.ts";
import type { StoredRecord } from "../../log/log-client.ts";
import { decodeRecord, encodeRecord } from "../../log/record.ts";
import { createCheckpointEntries } from "../partition/checkpoint.ts";
import { applyRecord } from "../partition/reducer.ts";
import { createPartitionState } from "../partition/state.ts";

/** Lines of each range. */
export const lines = 11;
const rangeSpec = (range: number) => ({
  job: "job",
  range,
  firstLine: range * lines,
  lines,
  workspace: "workspace",
  inputFile: "file",
  deadline: 1,
});
const jobSpec = {
  id: "job",
  workspace: "workspace",
  fingerprint: "",
  inputFile: "file",
  endpoint: "",
  deadline: 1,
  metadata: {},
  createdAt: 1,
  lines: 3 * lines,
  rangeItems: lines,
};

// Numbers of the three ranges of the job.
const anyRange = fc.nat(2);
// Includes the first line after the range, so that entries for lines outside of it are covered.
const anyLine = fc.nat(lines);
const rangeKinds = ["range-cancelled", "range-removed"] as const;
const lineKinds = ["item-intent", "item-attempted", "item-completed"] as const;
const anyEntry = fc.oneof(
  anyRange.map((range) => ({ kind: "range-accepted", spec: rangeSpec(range) })),
  fc.record({
    kind: fc.constantFrom(...lineKinds),
    job: fc.constant("job"),
    range: anyRange,
    line: anyLine,
    code: fc.constant("code"),
    message: fc.constant("message"),
    isNotRun: fc.boolean(),
    isError: fc.boolean(),
    isCopy: fc.boolean(),
    text: fc.string(),
  }),
  fc.record({
    kind: fc.constantFrom("item-started", "item-returned"),
    isNotRun: fc.boolean(),
    job: fc.constant("job"),
    range: anyRange,
    lines: fc.array(anyLine, { maxLength: 4 }),
  }),
  fc.record({
    kind: fc.constantFrom(...rangeKinds),
    job: fc.constant("job"),
    range: anyRange,
  }),
  fc.constant({ kind: "job-accepted", spec: jobSpec }),
  fc.constantFrom("job-cancelled", "job-removed").map((kind) => ({
    kind,
    job: "job",
    at: 5,
  })),
  fc.record({
    kind: fc.constant("range-finished"),
    job: fc.constant("job"),
    range: anyRange,
    at: fc.nat(),
    completed: fc.nat(9),
    failed: fc.nat(9),
    outputBytes: fc.constant(0),
    errorBytes: fc.constant(0),
    isCancelled: fc.boolean(),
  }),
);

/** A step of a schedule; `buildRecords` turns it into records. */
export const anyCommand = fc.oneof(
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant("open"), control: fc.nat(4) }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant("write"),
      /** 0 is the writer of the newest epoch, 1 that of the epoch before it. */
      writerAge: fc.constantFrom(0, 0, 0, 0, 1, 2),
      /** 0 is the newest epoch, 1 the one before it. */
      epochAge: fc.constantFrom(0, 0, 0, 0, 0, 1),
      entries: fc.array(anyEntry, { minLength: 1, maxLength: 6 }),
    }),
  },
  {
    weight: 2,
    // Appends the record at `back` places before the newest one again.
    arbitrary: fc.record({ do: fc.constant("repeat"), back: fc.nat(5) }),
  },
  { weight: 1, arbitrary: fc.constant({ do: "release" as const }) },
  {
    weight: 1,
    // With `gap`, other records lie before and between the parts of the checkpoint.
    arbitrary: fc.record({ do: fc.constant("checkpoint"), gap: fc.boolean() }),
  },
);

/** Builds the records that the commands describe, and the state that the reducer computes. */
export function buildRecords(commands: readonly Record<string, unknown>[]) {
  const records: StoredRecord[] = [];
  const epochs: { offset: Offset; writer: WriterId; sequence: number }[] = [];
  const state = createPartitionState();
  const push = (data: Uint8Array) => {
    const offset = records.length as Offset;
    const record = { offset, time: 1_000 + offset, data };
    records.push(record);
    applyRecord(state, record);
    return offset;
  };
  const write = (
    epoch: (typeof epochs)[number],
    entries: readonly unknown[],
  ) =>
    push(encodeRecord({
      version: 1,
      writer: epoch.writer,
      sequence: epoch.sequence++,
      writtenAt: 0,
      entries,
    }));
  for (const command of commands) {
    const last = epochs.at(-1);
    if (command.do === "open" || !last) {
      const epoch = {
        offset: records.length as Offset,
        writer: brandAs<WriterId>(`writer-${epochs.length}`),
        sequence: 0,
      };
      epochs.push(epoch);
      write(epoch, [{
        kind: "epoch-opened",
        owner: "owner",
        incarnation: "1",
        controlOffset: command.control ?? 0,
      }]);
    } else if (command.do === "write") {
      const writer = epochs.at(-1 - (command.writerAge as number)) ?? last;
      const epoch = epochs.at(-1 - (command.epochAge as number)) ?? last;
      const entries = command.entries as Record<string, unknown>[];
      write(
        writer,
        entries.map((entry) => ({ ...entry, epoch: epoch.offset })),
      );
    } else if (command.do === "repeat") {
      const record = records.at(-1 - (command.back as number));
      if (record) push(record.data);
    } else if (command.do === "release") {
      write(last, [{ kind: "epoch-released", epoch: last.offset }]);
    } else {
      const parts = createCheckpointEntries(`${records.length}`, state, 150);
      // Records between the checkpoint's state and its parts make the checkpoint unusable for
      // readers that start after the first of them.
      for (let count = 0; command.gap && count < 3; count++) {
        const spec = rangeSpec(100 + records.length);
        write(last, [{ kind: "range-accepted", epoch: last.offset, spec }]);
      }
      for (const entry of parts) {
        write(last, [entry]);
        if (command.gap) write(last, [{ kind: "unknown to this release" }]);
      }
    }
  }
  return { records, state };
}

/** Reduces records with plain sets and lists, without the compact forms that the reducer uses. */
export function reduceNaively(records: readonly StoredRecord[]) {
  const seen = new Set<string>();
  let epoch: { offset: number; control: number; writer: string } | undefined;
  let isReleased = false;
  const jobs = new Map<string, { cancelled: boolean; finished: number[] }>();
  const ranges = new Map<number, NaiveRange>();
  for (const { offset, data } of records) {
    const record = decodeRecord(data)!;
    const isRepeated = [...Array(record.sequence + 99).keys()].some((
      laterSequence,
    ) =>
      laterSequence >= record.sequence &&
      seen.has(`${record.writer} ${laterSequence}`)
    );
    if (isRepeated) continue;
    seen.add(`${record.writer} ${record.sequence}`);
    for (const entry of record.entries as Record<string, never>[]) {
      if (entry.kind === "epoch-opened") {
        if (epoch && entry.controlOffset! < epoch.control) continue;
        for (const range of epoch && !isReleased ? ranges.values() : []) {
          const isFinished = range.cancelled || range.outcomes.size === lines;
          range.hasLostOwner ||= !isFinished;
        }
        epoch = {
          offset,
          control: entry.controlOffset!,
          writer: record.writer,
        };
        isReleased = false;
      } else if (
        entry.epoch === epoch?.offset && record.writer === epoch?.writer &&
        !isReleased
      ) {
        if (entry.kind === "epoch-released") isReleased = true;
        applyNaively(jobs, ranges, entry, offset);
      }
    }
  }
  return { epoch: epoch?.offset, isReleased, jobs, ranges };
}

export interface NaiveRange {
  cancelled: boolean;
  outcomes: Map<number, { isError: boolean; text: string }>;
  started: Set<number>;
  attempts: Map<number, number>;
  intents: Set<number>;
  aborted: Set<number>;
  hasLostOwner: boolean;
  offsets: Set<number>;
}

function applyNaively(
  jobs: Map<string, { cancelled: boolean; finished: number[] }>,
  ranges: Map<number, NaiveRange>,
  // deno-lint-ignore no-explicit-any
  entry: any,
  offset: number,
): void {
  const { kind, line } = entry;
  const job = jobs.get("job");
  const hasEnded = job?.finished.length === 3;
  if (kind === "job-accepted" && !job) {
    jobs.set("job", { cancelled: false, finished: [] });
  } else if (kind === "job-cancelled" && job && !hasEnded) {
    job.cancelled = true;
  } else if (kind === "job-removed") {
    jobs.clear();
  } else if (
    kind === "range-finished" && job && !job.finished.includes(entry.range)
  ) {
    job.finished.push(entry.range);
  } else if (kind === "range-accepted" && !ranges.has(entry.spec.range)) {
    ranges.set(entry.spec.range, {
      cancelled: false,
      outcomes: new Map(),
      started: new Set(),
      attempts: new Map(),
      intents: new Set(),
      aborted: new Set(),
      hasLostOwner: false,
      offsets: new Set(),
    });
  } else if (kind === "range-removed") {
    ranges.delete(entry.range);
  }
  const range = ranges.get(entry.range);
  if (!range || kind === "range-accepted" || kind === "range-finished") return;
  const isOpen = (line: number) =>
    line < lines && !range.outcomes.has(line) && !range.cancelled;
  if (kind === "range-cancelled") range.cancelled = true;
  if (kind === "item-started") {
    for (const each of entry.lines) if (isOpen(each)) range.started.add(each);
  }
  if (kind === "item-returned") {
    for (const each of entry.lines) {
      range.started.delete(each);
      range.intents.delete(each);
      const isUnfinished = each < lines && !range.outcomes.has(each);
      if (!entry.isNotRun && isUnfinished) range.aborted.add(each);
    }
  }
  if (kind === "item-intent" && isOpen(line)) range.intents.add(line);
  if (kind === "item-attempted" && isOpen(line)) {
    range.attempts.set(line, (range.attempts.get(line) ?? 0) + 1);
    range.started.delete(line);
    if (entry.isNotRun) range.intents.delete(line);
  }
  if (kind === "item-completed") {
    if (entry.isCopy) {
      if (range.outcomes.has(line)) range.offsets.add(offset);
    } else if (isOpen(line)) {
      range.outcomes.set(line, { isError: entry.isError, text: entry.text });
      range.offsets.add(offset);
      range.started.delete(line);
      range.attempts.delete(line);
      range.intents.delete(line);
      range.aborted.delete(line);
    }
  }
}
