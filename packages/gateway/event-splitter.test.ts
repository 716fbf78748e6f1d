import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fastCheck from "fast-check";
import { dataOf, EventSplitter } from "./event-splitter.ts";

test("events are whole and their bytes unchanged, however the stream is split into chunks", () => {
  const text =
    "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";
  fastCheck.assert(fastCheck.property(
    fastCheck.array(fastCheck.integer({ min: 1, max: 9 }), { minLength: 1 }),
    (sizes) => {
      const splitter = new EventSplitter();
      const bytes = Buffer.from(text);
      const events = [];
      for (let at = 0, turn = 0; at < bytes.length; turn++) {
        const size = sizes[turn % sizes.length]!;
        events.push(...splitter.push(bytes.subarray(at, at + size)));
        at += size;
      }
      assert.deepEqual(events.map((event) => event.id), [1, 2, 3]);
      assert.equal(
        Buffer.concat(events.map((event) => event.bytes)).toString(),
        text,
      );
      assert.deepEqual(events.map(dataOf), ["a", "b\nc", "d"]);
      assert.equal(splitter.pendingBytes, 0);
    },
  ));
});

test("bytes of an incomplete event stay pending, so that a truncated stream is detected", () => {
  const splitter = new EventSplitter();
  assert.equal(
    splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).length,
    1,
  );
  assert.equal(splitter.pendingBytes, 8);
});
