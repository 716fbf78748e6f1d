import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { ConnectionPool } from "../transport/connection-pool.ts";
import { type AttemptFailure, ServerAttempt } from "./server-attempt.ts";

test("an attempt that gets no connection times out and counts as not run", async () => {
  // A pool that never opens a connection, as to a host that has lost power.
  const pool = { dispatch: () => true } as unknown as ConnectionPool;
  const failure = await new Promise<AttemptFailure>((resolve) => {
    new ServerAttempt({
      pool,
      method: "POST",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      requestId: "r",
      decodeHead: () => assert.fail("there is no answer"),
      headTimeoutMilliseconds: 10_000,
      bodyIdleTimeoutMilliseconds: 10_000,
    }, {
      onHead: () => {},
      onData: () => true,
      onEnd: () => {},
      onFailure: resolve,
    }).start();
  });
  assert.equal(failure.verdict, "not_run");
  assert.equal(failure.isServerFault, true);
});
