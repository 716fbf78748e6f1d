/** Token buckets of log messages, and lines dropped because the reader is slow. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { createBoundedLogger, type LineSink } from "./bounded-logger.ts";

function createSink(isOpen: () => boolean = () => true) {
  const lines: { message: string; context: Record<string, unknown> }[] = [];
  const sink: LineSink = {
    write: (line) => {
      if (!isOpen()) return false;
      lines.push(JSON.parse(line));
      return true;
    },
    flush: () => {},
  };
  return { lines, sink };
}

test("a flood of one message is limited and counted, and does not affect other messages", () => {
  const { lines, sink } = createSink();
  let now = 0;
  const logger = createBoundedLogger({ program: "t", sink, now: () => now });
  for (let index = 0; index < 10_000; index++) {
    now += 1;
    logger.info("routine", { request: `r${index}` });
  }
  logger.error("failure", { request: "bad" });
  const routine = lines.filter((line) => line.message === "routine");
  assert.ok(routine.length >= 100 && routine.length <= 150);
  assert.ok(lines.some((line) => line.message === "failure"));
  const leftOut = lines.filter((line) =>
    line.message === "log lines were left out"
  );
  assert.equal(leftOut.length, 2);
  const counted = leftOut.reduce(
    (sum, line) => sum + Number(line.context["count"]),
    0,
  );
  assert.ok(counted + routine.length >= 9_990);
});

test("lines that the sink rejects are dropped, counted and reported later", () => {
  let isOpen = false;
  const { lines, sink } = createSink(() => isOpen);
  let now = 0;
  const logger = createBoundedLogger({ program: "t", sink, now: () => now });
  for (let index = 0; index < 5; index++) logger.warn("lost");
  isOpen = true;
  now = 6_000;
  logger.warn("seen");
  const report = lines.find((line) => line.message.includes("dropped"));
  assert.equal(report?.context["count"], 5);
});
