import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { test } from "node:test";
import { listenOn } from "../common/listen.ts";
import {
  type ConnectionPool,
  createConnectionPool,
} from "../transport/connection-pool.ts";
import type { AnswerHead } from "./caller-request.ts";
import { connectionWaitMilliseconds } from "./constants.ts";
import { type AttemptFailure, ServerAttempt } from "./server-attempt.ts";

function decodePlainHead(status: number): AnswerHead {
  return {
    status,
    requestId: undefined,
    hasNotRun: false,
    statement: {
      load: undefined,
      workTimePercent: undefined,
      limitPerSecond: undefined,
      isLeaving: undefined,
      malformed: [],
    },
    hasStamp: true,
    forwardedHeaders: [],
  };
}

const host = "127.0.0.1";

function createPool(port: number): ConnectionPool {
  return createConnectionPool({
    host,
    port,
    connectTimeoutMilliseconds: 1_000,
    idleMilliseconds: 1_000,
  });
}

/** Makes an attempt that gets no answer; returns its failure. */
function failUnanswered(
  pool: ConnectionPool,
  headers: string[] = [],
): Promise<AttemptFailure> {
  return new Promise((resolve) => {
    new ServerAttempt({
      pool,
      method: "POST",
      target: "/",
      headers,
      body: Buffer.alloc(0),
      requestId: "r",
      decodeHead: () => assert.fail("there is no answer"),
      headTimeoutMilliseconds: 10_000,
      bodyIdleTimeoutMilliseconds: 10_000,
    }, {
      onStatement: () => {},
      onConnectionRefused: () => {},
      onHead: () => {},
      onData: () => true,
      onEnd: () => {},
      onFailure: resolve,
    }).start();
  });
}

test("an attempt that gets no connection times out and counts as not run", async () => {
  // A pool that never opens a connection, as to a host that has lost power.
  const pool = { dispatch: () => true } as unknown as ConnectionPool;
  const failure = await failUnanswered(pool);
  assert.equal(failure.verdict, "not_run");
  assert.equal(failure.isServerFault, true);
});

test("a server that falls silent after its reader has paused is still noticed", async () => {
  const server = createServer((_, response) => {
    response.writeHead(200);
    response.write("first");
    setTimeout(() => response.write("second"), 60);
  });
  const pool = createPool(await listenOn(server, { host, port: 0 }));
  const failure = await new Promise<AttemptFailure>((resolve) => {
    const attempt = new ServerAttempt({
      pool,
      method: "POST",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      requestId: "r",
      decodeHead: decodePlainHead,
      headTimeoutMilliseconds: 2_000,
      bodyIdleTimeoutMilliseconds: 150,
    }, {
      onStatement: () => {},
      onConnectionRefused: () => {},
      onHead: () => {},
      onData: () => {
        attempt.pause();
        setTimeout(() => attempt.resume(), 20);
        return true;
      },
      onEnd: () => assert.fail("the answer does not end"),
      onFailure: resolve,
    });
    attempt.start();
  });
  assert.match(failure.reason, /no data arrived for 150 ms/);
  await pool.destroy();
  server.closeAllConnections();
  server.close();
});

// Guards against servers that are avoided for a request, such as one with a name of a workspace
// beyond Latin-1, that the client cannot send to any of them.
test("a request that the client rejects is no failure of the server", async () => {
  const pool = createPool(9);
  const failure = await failUnanswered(pool, ["x-name", "\u20ac"]);
  assert.deepEqual([failure.verdict, failure.isServerFault], [
    "not_run",
    false,
  ]);
  await pool.destroy();
});

/** Keeps the process from handling events, as on a busy machine. */
function pauseProcess(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against servers that are avoided since this process was paused for longer than they may
// be silent, which happens to all servers at once.
for (const pausedBefore of ["connection", "answer", "second chunk"]) {
  test(`a pause of the process before the ${pausedBefore} is no silence of the server`, async () => {
    const silenceMilliseconds = 150;
    const pauseIf = (event: string) => {
      if (event === pausedBefore) pauseProcess(2 * connectionWaitMilliseconds);
    };
    const server = createServer((_, response) => {
      response.write("first");
      response.flushHeaders();
      pauseIf("answer");
      setTimeout(() => {
        response.end("second");
        pauseIf("second chunk");
      }, silenceMilliseconds / 2);
    });
    const pool = createPool(await listenOn(server, { host, port: 0 }));
    let received = "";
    const failure = await new Promise<AttemptFailure | undefined>((resolve) => {
      new ServerAttempt({
        pool,
        method: "POST",
        target: "/",
        headers: [],
        body: Buffer.alloc(0),
        requestId: "r",
        decodeHead: decodePlainHead,
        headTimeoutMilliseconds: silenceMilliseconds,
        bodyIdleTimeoutMilliseconds: silenceMilliseconds,
      }, {
        onStatement: () => {},
        onConnectionRefused: () => {},
        onHead: () => {},
        onData: (chunk) => {
          received += chunk.toString();
          return true;
        },
        onEnd: () => resolve(undefined),
        onFailure: resolve,
      }).start();
      pauseIf("connection");
    });
    await pool.destroy();
    server.closeAllConnections();
    server.close();
    assert.equal(failure, undefined);
    assert.equal(received, "firstsecond");
  });
}
