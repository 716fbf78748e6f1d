import assert from "node:assert/strict";
import { test } from "node:test";
import fastCheck from "fast-check";
import type { JobId } from "../common/ids.ts";
import { PartitionState } from "./partition-state.ts";
import {
  type BatchRecord,
  decodeRecord,
  encodeRecord,
  type ItemResult,
  type JobRecord,
} from "./records.ts";
import { createJobRecord } from "./testing/job-record.ts";

const job = "j" as JobId;

function jobRecord(items = 3): JobRecord {
  return createJobRecord(job, items);
}

function group(results: Partial<ItemResult>[]): BatchRecord {
  return {
    kind: "group",
    results: results.map((result) => ({
      job,
      item: 0,
      state: "completed",
      text: "",
      ...result,
    })),
    failures: [],
  };
}

function texts(state: PartitionState): string[] {
  return state.job(job)!.results.map((result) =>
    `${result.item}${result.text}`
  );
}

test("only the first result of an item counts; the result of a second run is ignored", () => {
  const state = new PartitionState();
  state.apply(jobRecord());
  state.apply(group([{ item: 1, text: "first" }]));
  state.apply(group([{ item: 1, text: "second" }, { item: 0, text: "x" }]));
  assert.deepEqual(texts(state), ["1first", "0x"]);
});

test("a job that is submitted again keeps its results and stays ended", () => {
  const state = new PartitionState();
  state.apply(jobRecord());
  state.apply(group([{ item: 2 }]));
  state.apply({ kind: "end", job });
  state.apply(jobRecord());
  assert.equal(state.job(job)!.isEnded, true);
  assert.deepEqual(texts(state), ["2"]);
});

test("a job whose end is read before the job itself is ended from the start", () => {
  const state = new PartitionState();
  state.apply({ kind: "end", job });
  state.apply(jobRecord());
  assert.equal(state.job(job)!.isEnded, true);
});

test("results keep their positions if a retried submission moves the job record behind them", () => {
  fastCheck.assert(fastCheck.property(
    fastCheck.array(
      fastCheck.record({
        item: fastCheck.integer({ min: 0, max: 4 }),
        text: fastCheck.string({ maxLength: 2 }),
      }),
      { maxLength: 12 },
    ),
    (results) => {
      const groups = results.map((result) => group([result]));
      const live = new PartitionState();
      for (const record of [jobRecord(5), ...groups]) live.apply(record);
      const restored = new PartitionState();
      for (const record of [...groups, jobRecord(5)]) restored.apply(record);
      assert.deepEqual(texts(restored), texts(live));
      // The budget of held bytes is charged for what is kept, and no longer.
      const bytes = live.job(job)!.results.reduce(
        (sum, { text }) => sum + text.length,
        0,
      );
      for (const state of [live, restored]) {
        assert.equal(state.resultBytes, bytes);
        state.removeJob(job);
        assert.equal(state.resultBytes, 0);
      }
    },
  ));
});

test("failure counts never decrease, so that a late record of an earlier owner has no effect", () => {
  const state = new PartitionState();
  state.apply(jobRecord());
  const report = (count: number): BatchRecord => ({
    kind: "group",
    results: [],
    failures: [{ job, item: 0, count }],
  });
  state.apply(report(2));
  state.apply(report(1));
  assert.equal(state.job(job)!.failures.get(0), 2);
});

test("a job record is unchanged by encoding and decoding", () => {
  const record = { ...jobRecord(), workspace: undefined };
  assert.deepEqual(decodeRecord(encodeRecord(record)), record);
});

// Guards against a job that counts as finished while one of its items has no result.
test("a result of an item that the job does not have is ignored", () => {
  const state = new PartitionState();
  state.apply(jobRecord(2));
  state.apply(group([{ item: 7 }, { item: -1 }, { item: 1 }]));
  assert.deepEqual(texts(state), ["1"]);
  assert.deepEqual([...state.job(job)!.finished], [1]);
});
