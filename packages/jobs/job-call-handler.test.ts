import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import type { RouteRule } from "../fleet/configuration.ts";
import type { ReceivedRequest } from "../gateway/caller-request.ts";
import type { JobAccess } from "../gateway/gateway.ts";
import { HeldBytes } from "../overload/held-bytes.ts";
import {
  JobCallHandler,
  type JobCallHandlerOptions,
} from "./job-call-handler.ts";
import type { JobResponse } from "./job-response.ts";

const access: JobAccess = {
  workspace: undefined,
  routeId: undefined,
  host: "h",
  isKeyMissing: false,
};

/** Ends a job that does not exist; returns the status and how the partition was read. */
async function endUnknownJob(changes: Partial<JobAccess>) {
  const reads: string[] = [];
  const partition = {
    job: () => undefined,
    catchUp: () => Promise.resolve(reads.push("end") > 0),
    refresh: () => Promise.resolve(reads.push("recent") > 0),
  };
  const handler = new JobCallHandler({
    partitions: { forJob: () => partition },
    logger: silentLogger,
  } as unknown as JobCallHandlerOptions);
  const received = {
    request: { path: "/" },
    body: Buffer.alloc(0),
    receivedAt: 0,
  } as unknown as ReceivedRequest;
  const status = await new Promise<number>((resolve) =>
    handler.handle(
      { kind: "end", job: "none" as JobId },
      received,
      { ...access, ...changes },
      { fail: (answer) => resolve(answer.status) } as JobResponse,
    )
  );
  return { status, reads };
}

// Guards against a caller without a key who makes each of its calls cost a read of the store.
test("an unknown job is looked for up to the end of its partition, or in a recent copy for a caller without a key", async () => {
  const upToEnd = { status: 404, reads: ["end"] };
  assert.deepEqual(await endUnknownJob({}), upToEnd);
  assert.deepEqual(
    await endUnknownJob({ workspace: "w" as WorkspaceId }),
    upToEnd,
  );
  assert.deepEqual(await endUnknownJob({ routeId: "r" as RouteId }), upToEnd);
  assert.deepEqual(await endUnknownJob({ isKeyMissing: true }), {
    status: 404,
    reads: ["recent"],
  });
});

// Guards against an id that fits in no key of the store and fails after its tokens were reserved.
test("a job whose id is too long is refused as malformed", async () => {
  const handler = new JobCallHandler({
    heldBytes: new HeldBytes({ limitBytes: 1 }),
    logger: silentLogger,
  } as unknown as JobCallHandlerOptions);
  const received = {
    request: { id: "\u00e9".repeat(121), path: "/" },
    body: Buffer.alloc(0),
  } as unknown as ReceivedRequest;
  const status = await new Promise<number>((resolve) =>
    handler.submit(
      received,
      {} as RouteRule,
      undefined,
      { fail: (answer) => resolve(answer.status) } as JobResponse,
    )
  );
  assert.equal(status, 400);
});
