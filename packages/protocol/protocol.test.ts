/** Frames survive splitting and malformed input; requests meet their deadlines. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { z } from "zod";
import { brandAs, type Incarnation, type InstanceId } from "../common/ids.ts";
import { maximumFrameBytes } from "./constants.ts";
import { deriveConnectionTimings } from "../transport/connection-timings.ts";
import { encodeFrame, FrameError, FrameReader } from "./frames.ts";
import { definePeerMessage } from "./peer-message.ts";
import { TcpPeerNetwork } from "./peer-network.ts";

const first = brandAs<InstanceId>("first");
const second = brandAs<InstanceId>("second");
const incarnation = brandAs<Incarnation>("1");
const echoMessage = definePeerMessage(
  "test/echo",
  z.object({ text: z.string() }).parse,
  z.object({ text: z.string() }).parse,
);

async function createPair() {
  const left = new TcpPeerNetwork({ instance: first, incarnation });
  const right = new TcpPeerNetwork({ instance: second, incarnation });
  const rightPort = await right.listen();
  left.setPeers(new Map([[second, { host: "127.0.0.1", port: rightPort }]]));
  return { left, right, rightPort };
}

/** A network that reaches a peer through connections that can go silent. */
async function createSilentPair() {
  const { left, right, rightPort } = await createPair();
  right.handle(echoMessage, (body) => body);
  const forwarded = new Set<Socket>();
  const proxy = createServer((socket) => {
    const target = connect(rightPort, "127.0.0.1");
    forwarded.add(target);
    socket.pipe(target).pipe(socket);
    for (const end of [socket, target]) end.on("error", () => end.destroy());
  });
  await new Promise<void>((resolve) => proxy.listen(0, "127.0.0.1", resolve));
  const { port } = proxy.address() as { port: number };
  left.setPeers(new Map([[second, { host: "127.0.0.1", port }]]));
  return {
    ask: (deadlineMilliseconds: number) =>
      left.request(second, echoMessage, { text: "hello" }, {
        deadlineMilliseconds,
      }),
    renewIdleConnections: () => left.renewIdleConnections(),
    silenceOpenConnections: () => {
      for (const target of forwarded) target.unpipe();
    },
    close: async () => {
      await left.close();
      await right.close();
      for (const target of forwarded) target.destroy();
      proxy.close();
    },
  };
}

test("a connection that has gone silent is replaced once its requests have had no reply for the check interval", async () => {
  const pair = await createSilentPair();
  await pair.ask(2_000);
  pair.silenceOpenConnections();
  const { checkIntervalMilliseconds } = deriveConnectionTimings();
  await assert.rejects(pair.ask(checkIntervalMilliseconds + 50));
  await new Promise((resolve) => setTimeout(resolve, 150));
  assert.deepEqual(await pair.ask(2_000), { text: "hello" });
  await pair.close();
});

test("connections without open requests are replaced at once when others were found silent", async () => {
  const pair = await createSilentPair();
  await pair.ask(2_000);
  pair.silenceOpenConnections();
  pair.renewIdleConnections();
  assert.deepEqual(await pair.ask(2_000), { text: "hello" });
  await pair.close();
});

test("frames split at any byte are reassembled", () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.dictionary(fc.string(), fc.oneof(fc.string(), fc.integer())),
        { maxLength: 5 },
      ),
      fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 }),
      (values, sizes) => {
        const bytes = Buffer.concat(values.map((value) => encodeFrame(value)));
        const reader = new FrameReader();
        const decoded: unknown[] = [];
        for (
          let position = 0, chunkIndex = 0;
          position < bytes.length;
          chunkIndex++
        ) {
          const size = sizes[chunkIndex % sizes.length] ?? 1;
          decoded.push(
            ...reader.push(bytes.subarray(position, position + size)),
          );
          position += size;
        }
        assert.deepEqual(
          decoded.map((value) => ({ ...value as object })),
          values.map((v) => ({ ...v })),
        );
      },
    ),
    { seed: 7, numRuns: 100 },
  );
});

test("a large frame waits for its reservation and is then read without a gap", () => {
  let hasRoom = false;
  const reader = new FrameReader({ reserve: () => hasRoom });
  const values = ["x".repeat(200_000), "next"];
  const bytes = Buffer.concat(values.map((value) => encodeFrame(value)));
  assert.deepEqual(reader.push(bytes.subarray(0, 70_000)), []);
  assert.ok(reader.missingBytes >= 200_000);
  hasRoom = true;
  assert.deepEqual(reader.push(Buffer.alloc(0)), []);
  assert.equal(reader.missingBytes, 0);
  assert.deepEqual(reader.push(bytes.subarray(70_000)), values);
});

test("random bytes give values or a FrameError, never another exception", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      try {
        new FrameReader().push(bytes);
      } catch (error) {
        assert.ok(error instanceof FrameError);
      }
    }),
    { seed: 11, numRuns: 2_000 },
  );
});

test("a request gets its reply, a slow handler times out, and a failure keeps its code", async () => {
  const { left, right } = await createPair();
  try {
    right.handle(echoMessage, ({ text }) => {
      if (text === "slow") return new Promise(() => {});
      if (text === "bad") throw new FrameError("refused");
      if (text === "long") return { text: "x".repeat(maximumFrameBytes) };
      return { text };
    });
    const requestEcho = (text: string) =>
      left.request(second, echoMessage, { text }, {
        deadlineMilliseconds: 200,
      });
    assert.deepEqual(await requestEcho("hello"), { text: "hello" });
    await assert.rejects(requestEcho("slow"), { code: "peer_unavailable" });
    await assert.rejects(requestEcho("bad"), { code: "bad_frame" });
    // Guards against a reply that is too long for a frame and raises an error that nothing catches.
    await assert.rejects(requestEcho("long"), { code: "bad_frame" });
  } finally {
    await Promise.all([left.close(), right.close()]);
  }
});

test("a connection that sends malformed frames is closed and the listener keeps serving", async () => {
  const { left, right, rightPort } = await createPair();
  try {
    right.handle(echoMessage, (body) => body);
    const socket = connect(rightPort, "127.0.0.1");
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => {});
    socket.write(Buffer.alloc(64, 0xff));
    await closed;
    const reply = await left.request(second, echoMessage, { text: "on" }, {
      deadlineMilliseconds: 1_000,
    });
    assert.deepEqual(reply, { text: "on" });
  } finally {
    await Promise.all([left.close(), right.close()]);
  }
});
