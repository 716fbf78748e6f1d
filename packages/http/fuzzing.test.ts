/** No input crashes the process, and every error response has the documented format. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { findJsonError } from "./bodies/json-error.ts";
import { Fixture, helloRequest, key } from "./testing/fixture.ts";

function isValidJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

/** Valid JSON with one character replaced, removed or appended. */
const damagedJson = fc.tuple(
  fc.json(),
  fc.nat(),
  fc.constantFrom("", '"', "}", "]", ",", ":", "\\", "0", "\n", "\u0001", "t"),
).map(([text, offset, character]) => {
  const position = offset % (text.length + 1);
  return text.slice(0, position) + character + text.slice(position + 1);
});

test("a JSON error is reported at a position at which the text stops being valid", () => {
  fc.assert(
    fc.property(damagedJson, (text) => {
      const position = findJsonError(text);
      assert.equal(position === text.length || !isValidJson(text), true);
      if (isValidJson(text)) assert.equal(position, text.length);
      else assert.ok(position <= text.length);
    }),
    { seed: 3, numRuns: 3_000 },
  );
  const deep = "[".repeat(1_000_000);
  assert.equal(findJsonError(deep), deep.length);
  assert.equal(findJsonError(`"${"a".repeat(3_000_000)}`), 3_000_002 - 1);
  assert.equal(findJsonError('{"a":01}'), 6);
});

test("damaged bodies sent to any endpoint return documented errors", async (context) => {
  const fixture = await Fixture.start(context);
  const paths = ["/v1/chat/completions", "/v1/batches", "/v1/files"];
  const validBodies = fc.constantFrom<unknown>(helloRequest, {
    input_file_id: "f",
    endpoint: "/v1/chat/completions",
    completion_window: "1h",
  });
  const bodies = fc.oneof(
    damagedJson,
    fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
    fc.tuple(validBodies, fc.dictionary(fc.string(), fc.jsonValue()))
      .map(([valid, changes]) =>
        JSON.stringify({ ...valid as object, ...changes })
      ),
    fc.tuple(
      validBodies,
      fc.constantFrom("model", "messages", "stream", "metadata", "deadline"),
      fc.jsonValue(),
    ).map(([valid, field, value]) =>
      JSON.stringify({ ...valid as object, [field]: value })
    ),
    fc.string({ maxLength: 200 }).map((text) =>
      `--b\r\ncontent-disposition: form-data; name="file"; filename="a"\r\n\r\n${text}`
    ),
  );
  const types = fc.constantFrom(
    "application/json",
    "multipart/form-data; boundary=b",
    "multipart/form-data",
    "text/plain",
  );
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...paths),
      bodies,
      types,
      async (path, body, type) => {
        const response = await fixture.fetch(path, {
          method: "POST",
          body: body as BodyInit,
          headers: { "content-type": type },
        });
        const answer = await response.json() as {
          error?: { code: string; not_run: unknown };
        };
        if (response.status === 200) return;
        assert.ok(response.status < 500, JSON.stringify(answer));
        assert.equal(typeof answer.error?.code, "string");
        assert.equal(answer.error?.not_run, true);
      },
    ),
    { seed: 5, numRuns: 600 },
  );
});

test("invalid bytes on a connection get a response or a close, and the server keeps running", async (context) => {
  const fixture = await Fixture.start(context);
  const port = Number(new URL(fixture.url).port);
  const head =
    `POST /v1/files HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\n`;
  const inputs = fc.oneof(
    fc.uint8Array({ maxLength: 100 }).map((bytes) => Buffer.from(bytes)),
    fc.webPath().map((path) =>
      Buffer.from(`GET ${path}% HTTP/1.1\r\nhost: a\r\n\r\n`)
    ),
    fc.string().map((text) =>
      Buffer.from(`GET /scale/${text} HTTP/1.1\r\nhost: ${text}\r\n\r\n`)
    ),
    fc.string().map((text) =>
      Buffer.from(
        `${head}content-type: multipart/form-data; boundary=b\r\ncontent-length: 999\r\n\r\n--b\r\ncontent-disposition: form-data; name="file"; filename="f"\r\n\r\n${text}`,
      )
    ),
    fc.constantFrom(
      "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
      "GET http://a/scale/../x HTTP/1.1\r\nhost: a\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n",
      `${head}transfer-encoding: chunked\r\n\r\nzz\r\n`,
      `${head}upgrade: websocket\r\nconnection: upgrade\r\n\r\n`,
    ).map((text) => Buffer.from(text)),
  );
  await fc.assert(
    fc.asyncProperty(inputs, async (input) => {
      await new Promise<void>((resolve) => {
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => {});
        socket.on("close", () => resolve());
        socket.on("data", () => socket.destroy());
        socket.write(input, () => setTimeout(() => socket.destroy(), 3));
      });
    }),
    { seed: 8, numRuns: 300 },
  );
  assert.equal((await fixture.chat(helloRequest)).status, 200);
});
