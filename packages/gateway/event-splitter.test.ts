import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fastCheck from "fast-check";
import { dataOf, EventCounter, EventSplitter } from "./event-splitter.ts";

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

// Guards against texts that are cut off at a character that other formats take for a line end.
test("the data of an event is whole, whatever characters it holds", () => {
  const character = fastCheck.oneof(
    fastCheck.constantFrom("\u2028", "\u2029", "\u0085", "\r", "a", ":", " "),
    fastCheck.string({ unit: "binary", minLength: 1, maxLength: 1 }),
  );
  const line = fastCheck.array(character).map((characters) =>
    characters.join("").replaceAll("\n", "").replace(/\r+$/, "")
  );
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(line, { minLength: 1, maxLength: 3 }),
      fastCheck.constantFrom("\n", "\r\n"),
      (lines, lineEnd) => {
        const text = [
          "id: 7",
          ...lines.map((value) => `data: ${value}`),
          "",
          "",
        ]
          .join(lineEnd);
        const [event, ...others] = new EventSplitter().push(Buffer.from(text));
        assert.deepEqual(others, []);
        assert.equal(event!.id, 7);
        assert.equal(dataOf(event!), lines.join("\n"));
      },
    ),
    { seed: 5, examples: [[["one\u2028two\u2029three"], "\n"]] },
  );
});

test("events are counted as they are split, without holding their bytes", () => {
  const chunk = fastCheck.string({
    unit: fastCheck.constantFrom("\n", "\r", "a"),
    maxLength: 6,
  });
  fastCheck.assert(fastCheck.property(fastCheck.array(chunk), (chunks) => {
    const splitter = new EventSplitter();
    const counter = new EventCounter();
    for (const text of chunks) {
      const bytes = Buffer.from(text);
      assert.equal(counter.push(bytes), splitter.push(bytes).length);
      assert.equal(counter.isInsideEvent, splitter.pendingBytes > 0);
    }
  }));
});
