import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { systemClock } from "../common/clock.ts";
import { PeerUnavailableError } from "../common/errors.ts";
import type { InstanceId, RequestId } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type { JobResponse } from "../jobs/job-response.ts";
import { HeldBytes } from "../overload/held-bytes.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import { CoordinatorClient } from "./coordinator-client.ts";
import { idleState } from "./testing/idle-state.ts";
import { ForwardedJobCalls } from "./forwarded-job-calls.ts";
import type { ForwardedJobReply } from "./messages.ts";

type Outcome = ForwardedJobReply | "silent";

function reply(status: number): ForwardedJobReply {
  return {
    status,
    contentType: "application/json",
    body: Buffer.from("{}"),
    retryAfterMilliseconds: undefined,
  };
}

/** Submits a job at a dependent whose coordinators answer in turn as given; returns the status. */
async function submit(
  outcomes: readonly Outcome[],
  allowed: readonly string[] = ["a", "b"],
): Promise<number> {
  const remaining = [...outcomes];
  const network = {
    request: (instance: InstanceId) => {
      assert.ok(allowed.includes(instance));
      const outcome = remaining.shift();
      return outcome === undefined || outcome === "silent"
        ? Promise.reject(new PeerUnavailableError("no reply"))
        : Promise.resolve(outcome);
    },
  } as unknown as PeerNetwork;
  const client = new CoordinatorClient({
    network,
    coordinators: () => ["a", "b"] as InstanceId[],
    onStatements: () => {},
    state: () => idleState,
    clock: systemClock,
    logger: silentLogger,
  });
  const calls = new ForwardedJobCalls({
    heldBytes: new HeldBytes({ limitBytes: 1_000_000 }),
    client,
    isAllowedInstance: (instance) => allowed.includes(instance),
    now: systemClock.monotonicNow,
    logger: silentLogger,
  });
  return await new Promise((resolve) => {
    const response = {
      sendBytes: (status: number) => resolve(status),
      fail: ({ status }: { status: number }) => resolve(status),
    } as unknown as JobResponse;
    calls.submit(
      {
        request: {
          id: "job" as RequestId,
          method: "POST",
          host: "h",
          target: "/",
          path: "/",
          apiKey: undefined,
          deadlineMilliseconds: 4_000,
          lastEventId: undefined,
          sharedPromptParts: [],
          forwardedHeaders: [],
        },
        body: Buffer.alloc(0),
        receivedAt: systemClock.monotonicNow(),
      },
      { id: "r" } as unknown as RouteRule,
      undefined,
      response,
    );
  });
}

test("a coordinator's answer to a submission is passed on", async () => {
  for (const status of [202, 429, 503]) {
    assert.equal(await submit([reply(status)]), status);
  }
});

test("a submission that a silent coordinator may have accepted is accepted by the next one", async () => {
  assert.equal(await submit(["silent", reply(202)]), 202);
});

test("after a silent coordinator no refusal promises that the job does not run", async () => {
  for (const status of [429, 503]) {
    assert.equal(await submit(["silent", reply(status)]), 504);
  }
  assert.equal(await submit(["silent", "silent"]), 504);
});

// A body must not reach an instance outside of the regions of its route or workspace.
test("a submission goes only to coordinators that may receive its body", async () => {
  assert.equal(await submit([reply(202)], ["b"]), 202);
  assert.equal(await submit([reply(202)], []), 503);
  assert.equal(await submit(["silent"], ["b"]), 504);
});
