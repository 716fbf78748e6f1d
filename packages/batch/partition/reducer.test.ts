/**
 * Tests that the reducer agrees with a naive implementation on random schedules of epochs,
 * duplicate and stale records, and that a reader which starts from a checkpoint computes the same
 * state as a reader of all records. Guards against items whose outcome is lost or counted twice
 * for some readers, depending on the offset at which they start.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { systemClock } from "../../common/clock.ts";
import { brandAs } from "../../common/ids.ts";
import { silentLogger } from "../../common/logging.ts";
import { decodeRecord } from "../../log/record.ts";
import { waitFor } from "../testing/fake-fleet.ts";
import { FakeLog } from "../testing/fake-log.ts";
import {
  anyCommand,
  buildRecords,
  lines,
  reduceNaively,
} from "../testing/partition-schedules.ts";
import { decodeState, encodeState } from "./checkpoint.ts";
import { PartitionFollower } from "./follower.ts";
import { partitionStream } from "./owner.ts";
import { applyRecord } from "./reducer.ts";
import {
  createPartitionState,
  isDone,
  type PartitionState,
  rangeKey,
} from "./state.ts";

const stream = partitionStream(brandAs(0));

function assertSameState(
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
    assert.equal(
      range.failed,
      outcomes.filter((outcome) => outcome.isError).length,
    );
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

test("the reducer agrees with a naive implementation on random schedules", () => {
  fc.assert(
    fc.property(fc.array(anyCommand, { maxLength: 40 }), (commands) => {
      const { records, state } = buildRecords(commands);
      assertSameState(state, reduceNaively(records));
    }),
    { numRuns: 1_500, seed: 20_261 },
  );
});

test("a state restored from a checkpoint at any point ends equal to one that was not", () => {
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
      fc.array(anyCommand, { minLength: 15, maxLength: 40 }),
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
          await waitFor(() => follower.hasCaughtUp, 3_000);
          assert.deepEqual(follower.state, state);
        } finally {
          follower.stop();
        }
      },
    ),
    { numRuns: 300, seed: 20_263 },
  );
  assert.ok(compared > 20, `only ${compared} schedules had a checkpoint`);
});
