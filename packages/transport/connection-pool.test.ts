import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  createConnectionPool,
  isConnectionFailing,
} from "./connection-pool.ts";

const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const repetitions = 20;

/**
 * Ways in which a server ends a response without a content length, and whether the client must
 * treat the response as complete. Guards against a reset being taken for an orderly end.
 */
const endings: Record<string, [(socket: Socket) => void, "whole" | "broken"]> =
  {
    "an orderly end": [(socket) => socket.end(head + "body"), "whole"],
    "an orderly end 3 ms after the data": [(socket) => {
      socket.write(head + "body");
      setTimeout(() => socket.end(), 3);
    }, "whole"],
    "a reset 3 ms after the data": [(socket) => {
      socket.write(head + "body");
      setTimeout(() => socket.resetAndDestroy(), 3);
    }, "broken"],
    "a reset together with the data": [(socket) => {
      socket.write(head + "body");
      socket.resetAndDestroy();
    }, "broken"],
  };

for (const [name, [finish, expected]] of Object.entries(endings)) {
  test(`a response without a content length is ${expected} after ${name}`, async () => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => finish(socket));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const pool = createConnectionPool({
      host: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
      connectTimeoutMilliseconds: 500,
      idleMilliseconds: 1_000,
    });
    const outcomes = new Set<string>();
    for (let repetition = 0; repetition < repetitions; repetition++) {
      outcomes.add(
        await new Promise((resolve) =>
          pool.dispatch({ method: "GET", path: "/" }, {
            onRequestStart: () => {},
            onResponseStart: () => {},
            onResponseData: () => {},
            onResponseEnd: () =>
              resolve(isConnectionFailing() ? "broken" : "whole"),
            onResponseError: () => resolve("broken"),
          })
        ),
      );
    }
    await pool.destroy();
    server.close();
    assert.deepEqual([...outcomes], [expected]);
  });
}
