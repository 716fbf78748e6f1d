/**
 * Tests that readers see the outcome that the reducer counts, before and after results are
 * carried forward. Guards against a later completion of the same line replacing that outcome.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { brandAs, type JobId, type Offset } from "../../common/ids.ts";
import { encodeRecord } from "../../log/record.ts";
import { partitionStream } from "../partition/owner.ts";
import { applyRecord } from "../partition/reducer.ts";
import { type PartitionState, rangeKey } from "../partition/state.ts";
import { FakeLog } from "../testing/fake-log.ts";
import {
  anyCommand,
  buildRecords,
  lines,
  reduceNaively,
} from "../testing/partition-schedules.ts";
import { readRangeResults } from "./range-results.ts";

const stream = partitionStream(brandAs(0));
const job = brandAs<JobId>("job");

async function readAll(log: FakeLog, state: PartitionState, range: number) {
  const found = new Map<number, { isError: boolean; text: string }>();
  const results = readRangeResults({
    client: log.client({ paused: undefined }),
    stream,
    job,
    range,
    lines,
    records: state.ranges.get(rangeKey(job, range))?.index ?? [],
    seenLines: new Set(),
  });
  for await (const { line, isError, text } of results) {
    assert.ok(!found.has(line), "a line has two outcomes");
    found.set(line, { isError, text });
  }
  return found;
}

test("readers see the first completion that took effect, and copies preserve it", async () => {
  let outcomes = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(anyCommand, { minLength: 8, maxLength: 30 }),
      async (commands) => {
        // Random copies could contradict the outcome, which an owner never does; the copies are
        // written below from the expected outcomes.
        const { records, state } = buildRecords(
          JSON.parse(
            JSON.stringify(commands),
            (key, value) => key === "isCopy" ? false : value,
          ),
        );
        const log = new FakeLog();
        const client = log.client({ paused: undefined });
        for (const { data } of records) await client.append(stream, data);
        const write = async (sequence: number, entries: unknown[]) => {
          const data = encodeRecord({
            version: 1,
            writer: brandAs("carrier"),
            sequence,
            writtenAt: 0,
            entries,
          });
          const offset = await client.append(stream, data);
          const record = { offset, time: 0, data };
          records.push(record);
          applyRecord(state, record);
          return offset;
        };
        const check = async () => {
          const naive = reduceNaively(records);
          for (const [range, expected] of naive.ranges) {
            const found = await readAll(log, state, range);
            assert.deepEqual(
              found,
              new Map([...expected.outcomes].sort(
                ([left], [right]) =>
                  [...found.keys()].indexOf(left) -
                  [...found.keys()].indexOf(right),
              )),
            );
            outcomes += found.size;
          }
          return naive;
        };
        const before = await check();
        const epoch = await write(0, [{
          kind: "epoch-opened",
          owner: "owner",
          incarnation: "1",
          controlOffset: 9,
        }]);
        const entry = (kind: string, range: number, more: object) => ({
          kind,
          epoch,
          job,
          range,
          ...more,
        });
        // Completions appended while the copies are written. They have no effect on lines that
        // already have an outcome.
        const late = [...before.ranges.keys()].flatMap((range) =>
          Array.from(
            { length: lines },
            (_, line) =>
              entry("item-completed", range, {
                line,
                isError: false,
                text: `late ${line}`,
              }),
          )
        );
        await write(1, late);
        const copies = [...before.ranges].flatMap(([range, { outcomes }]) =>
          [...outcomes].map(([line, outcome]) =>
            entry("item-completed", range, { line, ...outcome, isCopy: true })
          )
        );
        await write(2, copies);
        const carried = [...before.ranges.keys()].map((range) =>
          entry("range-carried", range, { before: epoch })
        );
        await write(3, carried);
        log.trimTo(stream, epoch as Offset);
        await check();
      },
    ),
    { numRuns: 400, seed: 20_265 },
  );
  assert.ok(outcomes > 1_000, `only ${outcomes} outcomes were compared`);
});
