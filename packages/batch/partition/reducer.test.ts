/**
 * The reducer agrees with a naive version on random schedules of epochs, duplicates and stale
 * records, and readers that start from a checkpoint hold the same state as those with all
 * records. Guards against lost or doubled outcomes that depend on who reads, and from where.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { systemClock } from "../../common/clock.ts";
import { brandAs, type Offset, type WriterId } from "../../common/ids.ts";
import { silentLogger } from "../../common/logging.ts";
import type { StoredRecord } from "../../log/log-client.ts";
import { decodeRecord, encodeRecord } from "../../log/record.ts";
import { FakeLog } from "../testing/fake-log.ts";
import { waitFor } from "../testing/fake-fleet.ts";
import { checkpointEntries, decodeState, encodeState } from "./checkpoint.ts";
import { PartitionFollower } from "./follower.ts";
import { partitionStream } from "./owner.ts";
import { applyRecord } from "./reducer.ts";
import {
  createPartitionState,
  isDone,
  type PartitionState,
  rangeKey,
} from "./state.ts";

const lines = 11;
const stream = partitionStream(brandAs(0));
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

const anyRange = fc.nat(2);
// One line more than a range has, so that entries outside of it are covered.
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

const anyCommand = fc.oneof(
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant("open"), control: fc.nat(4) }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant("write"),
      /** 0 is the writer that opened last, 1 the one before it. */
      writerAge: fc.constantFrom(0, 0, 0, 0, 1, 2),
      epochAge: fc.constantFrom(0, 0, 0, 0, 0, 1),
      entries: fc.array(anyEntry, { minLength: 1, maxLength: 6 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constant("repeat"), back: fc.nat(5) }),
  },
  { weight: 1, arbitrary: fc.constant({ do: "release" as const }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant("checkpoint"), gap: fc.boolean() }),
  },
);

/** Builds the stream that the commands describe. */
function buildRecords(commands: readonly Record<string, unknown>[]) {
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
      for (const entry of checkpointEntries(`${records.length}`, state, 150)) {
        write(last, [entry]);
        if (command.gap) write(last, [{ kind: "unknown to this release" }]);
      }
    }
  }
  return { records, state };
}

/** What the reducer must agree with: sets and lists without any of its compact forms. */
function reduceNaively(records: readonly StoredRecord[]) {
  const seen = new Set<string>();
  let epoch: { offset: number; control: number; writer: string } | undefined;
  let isReleased = false;
  const jobs = new Map<string, { cancelled: boolean; finished: number[] }>();
  const ranges = new Map<number, NaiveRange>();
  for (const { offset, data } of records) {
    const record = decodeRecord(data)!;
    const isRepeated = [...Array(record.sequence + 99).keys()].some((later) =>
      later >= record.sequence && seen.has(`${record.writer} ${later}`)
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

interface NaiveRange {
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

function assertSame(
  state: PartitionState,
  naive: ReturnType<typeof reduceNaively>,
): void {
  assert.equal(state.epoch?.offset, naive.epoch);
  assert.equal(state.epoch?.isReleased ?? false, naive.isReleased);
  const job = state.jobs.get(brandAs("job"));
  const naiveJob = naive.jobs.get("job");
  assert.equal(job === undefined, naiveJob === undefined);
  if (job && naiveJob) {
    assert.equal(job.cancelledAt !== undefined, naiveJob.cancelled);
    assert.deepEqual([...job.finished.keys()], naiveJob.finished);
    assert.equal(job.endedAt !== undefined, naiveJob.finished.length === 3);
  }
  assert.equal(state.ranges.size, naive.ranges.size);
  for (const [number, naiveRange] of naive.ranges) {
    const range = state.ranges.get(rangeKey(brandAs("job"), number))!;
    const outcomes = [...naiveRange.outcomes.values()];
    const done = [...Array(lines).keys()].filter((line) => isDone(range, line));
    assert.deepEqual(
      done,
      [...naiveRange.outcomes.keys()].sort((a, b) => a - b),
    );
    const firstOpen = [...Array(lines + 1).keys()].find((line) =>
      !naiveRange.outcomes.has(line)
    );
    assert.equal(range.watermark, firstOpen);
    assert.equal(range.failed, outcomes.filter((one) => one.isError).length);
    assert.equal(range.completed + range.failed, outcomes.length);
    assert.equal(range.isCancelled, naiveRange.cancelled);
    assert.deepEqual(new Set(range.started.keys()), naiveRange.started);
    assert.deepEqual(new Set(range.intents.keys()), naiveRange.intents);
    assert.deepEqual(range.aborted, naiveRange.aborted);
    assert.equal(range.hasLostOwner, naiveRange.hasLostOwner);
    assert.deepEqual(
      [...range.attempts].map(([line, { count }]) => [line, count]),
      [...naiveRange.attempts],
    );
    assert.deepEqual(
      range.index.map((record) => record.offset),
      [...naiveRange.offsets],
    );
  }
}

test("the reducer agrees with a naive version on random schedules", () => {
  fc.assert(
    fc.property(fc.array(anyCommand, { maxLength: 40 }), (commands) => {
      const { records, state } = buildRecords(commands);
      assertSame(state, reduceNaively(records));
    }),
    { numRuns: 1_500, seed: 20_261 },
  );
});

test("a state that went through a checkpoint at any point ends the same", () => {
  fc.assert(
    fc.property(
      fc.array(anyCommand, { maxLength: 30 }),
      fc.nat(),
      (commands, seed) => {
        const { records, state } = buildRecords(commands);
        let restored = createPartitionState();
        for (const record of records) {
          if (record.offset === seed % (records.length + 1)) {
            restored = decodeState(encodeState(restored));
          }
          applyRecord(restored, record);
        }
        assert.deepEqual(restored, state);
      },
    ),
    { numRuns: 400, seed: 20_262 },
  );
});

test("a reader of a trimmed stream holds the same state as a reader of all records", async () => {
  let compared = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(anyCommand, { minLength: 10, maxLength: 30 }),
      fc.nat(),
      async (commands, seed) => {
        const { records, state } = buildRecords(commands);
        const start = seed % records.length;
        const asOfs = records.flatMap(({ data, offset }) =>
          (decodeRecord(data)!.entries as Record<string, number>[])
            .filter((entry) =>
              entry.part === 0 && offset >= start && entry.asOf! >= start - 1
            )
        );
        if (start > 0 && asOfs.length === 0) return;
        compared++;
        const log = new FakeLog();
        const client = log.client({ paused: undefined });
        for (const record of records) await client.append(stream, record.data);
        for (const stored of log.records(stream)) {
          Object.assign(stored, { time: 1_000 + stored.offset });
        }
        log.trimTo(stream, start);
        const follower = new PartitionFollower({
          client,
          stream,
          clock: systemClock,
          logger: silentLogger,
          onApplied: () => {},
        });
        follower.start();
        try {
          await waitFor(() => follower.hasSeenEnd, 3_000);
          assert.deepEqual(follower.state, state);
        } finally {
          follower.stop();
        }
      },
    ),
    { numRuns: 150, seed: 20_263 },
  );
  assert.ok(compared > 20, `only ${compared} schedules had a checkpoint`);
});
