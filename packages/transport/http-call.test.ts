import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { createConnectionPool } from "./connection-pool.ts";
import { callHttp } from "./http-call.ts";

const repetitions = 20;

// The part of a response without a length that had arrived before a reset was once its whole body.
test("a response without a length that is reset is a failed call", async (context) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
      socket.resetAndDestroy();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const pool = createConnectionPool({
    host: "127.0.0.1",
    port: (server.address() as AddressInfo).port,
    connectTimeoutMilliseconds: 500,
    idleMilliseconds: 1_000,
  });
  context.after(async () => {
    await pool.destroy();
    server.close();
  });
  for (let repetition = 0; repetition < repetitions; repetition++) {
    await assert.rejects(callHttp(pool, {
      method: "GET",
      path: "/",
      timeoutMilliseconds: 2_000,
    }));
  }
});
