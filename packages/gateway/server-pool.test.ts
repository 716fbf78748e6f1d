import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { createConnectionPool } from "../transport/connection-pool.ts";
import { callHttp, type HttpCall } from "../transport/http-call.ts";
import { ServerPool } from "./server-pool.ts";

// A connection to a server that has gone silent was used for one request after another, each of
// which waited for its own timeout.

const timings = {
  pollWaitMilliseconds: 0,
  suspicionMilliseconds: 0,
  serverSuspicionMilliseconds: 400,
  checkIntervalMilliseconds: 40,
};
let server: Server;
let silentSockets: Set<Socket>;
let openSockets: Set<Socket>;
let requests: string[];
let pool: ServerPool;
let renewals: number;

beforeEach(async () => {
  silentSockets = new Set();
  openSockets = new Set();
  requests = [];
  renewals = 0;
  server = createServer((request, response) => {
    requests.push(request.url!);
    if (silentSockets.has(request.socket)) return;
    setTimeout(
      () => response.end("answer"),
      request.url === "/slow" ? 1_000 : 0,
    );
  });
  server.on("connection", (socket) => openSockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  pool = new ServerPool({
    open: () =>
      createConnectionPool({
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        connectTimeoutMilliseconds: 500,
        idleMilliseconds: 5_000,
      }),
    timings,
    onRenewal: () => renewals += 1,
  });
});

afterEach(async () => {
  await pool.destroy();
  server.close();
  server.closeAllConnections();
});

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function call(path: string, options: Partial<HttpCall> = {}) {
  return callHttp(pool, {
    method: "POST",
    path,
    timeoutMilliseconds: 5_000,
    ...options,
  });
}

test("requests after a late one use new connections, and the late one is not sent again", async () => {
  await Promise.all([call("/first"), call("/second")]);
  await pause(50);
  for (const socket of openSockets) silentSockets.add(socket);
  const stuck = assert.rejects(call("/stuck", { timeoutMilliseconds: 1_500 }));
  await pause(1_000);
  const { body } = await call("/next");
  assert.equal(body.toString(), "answer");
  await stuck;
  assert.deepEqual(requests.slice(2), ["/stuck", "/next"]);
  assert.equal(renewals, 1);
});

test("the connections of a slow server that answers other requests are kept", async () => {
  await Promise.all([call("/first"), call("/second")]);
  await pause(50);
  let isAnswered = false;
  const slow = call("/slow").then(() => isAnswered = true);
  while (!isAnswered) {
    await pause(40);
    await call("/other");
  }
  await slow;
  assert.equal(renewals, 0);
  assert.equal(openSockets.size, 2);
});
