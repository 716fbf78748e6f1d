/** Tests that links delay, cut, freeze and drop answers without losing or reordering other bytes. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { putJson, waitFor } from "../shared/test-support.ts";
import { startFaultProxy } from "./fault-proxy.ts";

async function listen(onConnection: (socket: Socket) => void, port = 0) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    onConnection(socket);
  });
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return { server, port: (server.address() as { port: number }).port };
}

const echo = (socket: Socket) => void socket.pipe(socket);

/** Opens a connection through the proxy; `state` holds the text that it has received. */
function openConnection(port: number) {
  const socket = connect(port, "127.0.0.1");
  const state = { text: "", isClosed: false, error: "" };
  socket.on("data", (bytes) => state.text += bytes.toString());
  socket.on("close", () => state.isClosed = true);
  socket.on(
    "error",
    (error) => state.error = (error as { code?: string }).code ?? "",
  );
  return { socket, state };
}

async function withProxy(
  delayMilliseconds: number,
  action: (
    context: {
      linkPort: number;
      targetPort: number;
      change: (change: object) => Promise<unknown>;
      stopTarget: () => void;
    },
  ) => Promise<void>,
) {
  const target = await listen(echo);
  const proxy = await startFaultProxy({
    port: 0,
    dropTimeoutMilliseconds: 50,
    links: [{
      name: "a->b",
      listenPort: 0,
      targetPort: target.port,
      delayMilliseconds,
    }],
  });
  const url = `http://127.0.0.1:${proxy.port}/links`;
  try {
    await action({
      linkPort: proxy.linkPorts.get("a->b") ?? 0,
      targetPort: target.port,
      change: (change) => putJson(url, { names: "a->*", ...change }),
      stopTarget: () => target.server.close(),
    });
  } finally {
    await proxy.close();
    target.server.close();
  }
}

test("bytes keep their order and arrive after the delay", async () => {
  await withProxy(5, async ({ linkPort }) => {
    const { socket, state } = openConnection(linkPort);
    socket.write("start ");
    await waitFor("the first echo", () => state.text === "start ");
    const startedAt = performance.now();
    socket.write("ping ");
    await waitFor("the second echo", () => state.text.endsWith("ping "));
    const roundTrip = performance.now() - startedAt;
    assert.ok(roundTrip >= 9 && roundTrip < 60, `${roundTrip} ms`);
    const expected = Array.from({ length: 5_000 }, (_, index) => `${index} `);
    for (const part of expected) socket.write(part);
    const expectedText = "start ping " + expected.join("");
    await waitFor("all bytes", () => state.text.length === expectedText.length);
    assert.equal(state.text, expectedText);
    socket.end();
    await waitFor("the close", () => state.isClosed);
    assert.equal(state.error, "");
  });
});

test("a slow reader receives all bytes when they exceed the buffers", async () => {
  await withProxy(1, async ({ linkPort }) => {
    const { socket, state } = openConnection(linkPort);
    const block = Buffer.alloc(16 * 1024 * 1024, "walnut ");
    socket.pause();
    socket.write(block);
    socket.end();
    await delay(100);
    socket.resume();
    await waitFor("the end", () => state.isClosed);
    assert.equal(state.text.length, block.length);
  });
});

test("a cut link closes connections and refuses new ones until it forwards again", async () => {
  await withProxy(0, async ({ linkPort, change }) => {
    const before = openConnection(linkPort);
    before.socket.write("x");
    await waitFor("the echo", () => before.state.text === "x");
    await change({ mode: "cut" });
    await waitFor("the cut", () => before.state.isClosed);
    const during = openConnection(linkPort);
    await waitFor("the refusal", () => during.state.isClosed);
    assert.equal(during.state.error, "ECONNREFUSED");
    await change({ mode: "forward" });
    const after = openConnection(linkPort);
    after.socket.end("y");
    await waitFor("the echo", () => after.state.text === "y");
  });
});

test("a frozen link holds bytes and new connections until it forwards again", async () => {
  await withProxy(1, async ({ linkPort, change }) => {
    const older = openConnection(linkPort);
    older.socket.write("1");
    await waitFor("the echo", () => older.state.text === "1");
    await change({ mode: "freeze" });
    older.socket.write("2");
    const newer = openConnection(linkPort);
    newer.socket.write("3");
    await delay(50);
    assert.deepEqual([older.state.text, newer.state.text], ["1", ""]);
    assert.ok(!older.state.isClosed && !newer.state.isClosed);
    await change({ mode: "forward" });
    await waitFor("held bytes", () => older.state.text === "12");
    await waitFor("held connection", () => newer.state.text === "3");
    older.socket.end();
    newer.socket.end();
    await waitFor("closes", () => older.state.isClosed && newer.state.isClosed);
  });
});

test("dropped answers never arrive, and connections are refused until the target listens", async () => {
  await withProxy(0, async ({ linkPort, targetPort, change, stopTarget }) => {
    await change({ mode: "drop_answers" });
    const dropped = openConnection(linkPort);
    dropped.socket.write("x");
    await waitFor("the close", () => dropped.state.isClosed);
    assert.equal(dropped.state.text, "");
    await change({ mode: "forward" });
    stopTarget();
    await waitFor("a refusal", async () => {
      const { state } = openConnection(linkPort);
      await waitFor("the close", () => state.isClosed);
      return state.error === "ECONNREFUSED";
    });
    const restarted = await listen(echo, targetPort);
    await waitFor("an echo", async () => {
      const { socket, state } = openConnection(linkPort);
      socket.end("back");
      await waitFor("the close", () => state.isClosed);
      return state.text === "back";
    });
    restarted.server.close();
  });
});
