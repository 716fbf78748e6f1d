import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import * as z from "zod/mini";
import { FrameReader } from "../protocol/frames.ts";
import {
  maximumUncaughtErrors,
  surviveUncaughtErrors,
  uncaughtErrorWindowMilliseconds,
} from "./last-resort.ts";
import { silentLogger } from "./logging.ts";

function start() {
  const events = new EventEmitter();
  const state = { now: 0, exits: 0 };
  surviveUncaughtErrors({
    events,
    exit: () => state.exits += 1,
    now: () => state.now,
    logger: silentLogger,
  });
  return { events, state };
}

test("a process outlives single errors that nothing caught", () => {
  const { events, state } = start();
  for (let count = 0; count < 5 * maximumUncaughtErrors; count++) {
    events.emit("uncaughtException", new Error("unexpected"));
    events.emit("unhandledRejection", "not an error object");
    state.now += uncaughtErrorWindowMilliseconds / 5;
  }
  assert.equal(state.exits, 0);
});

test("a process that fails again and again exits", () => {
  const { events, state } = start();
  for (let count = 0; count <= maximumUncaughtErrors; count++) {
    assert.equal(state.exits, 0);
    events.emit("uncaughtException", new Error("unexpected"));
  }
  assert.equal(state.exits, 1);
});

/** What decoders throw for malformed input, one each. */
const malformedInputs: (() => unknown)[] = [
  () => decodeURIComponent("%ff"),
  () => JSON.parse("{"),
  () => new URL("http://10.1.0.999:8080"),
  () => z.string().parse(7),
  () => new FrameReader().push(new Uint8Array(64).fill(0xff)),
];

// Guards against one caller who ends every process of the fleet with malformed requests.
test("malformed input does not make a process exit", () => {
  const { events, state } = start();
  for (const decode of malformedInputs) {
    for (let count = 0; count < 2 * maximumUncaughtErrors; count++) {
      assert.throws(decode, (error) => events.emit("uncaughtException", error));
    }
  }
  assert.equal(state.exits, 0);
});
