import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { test } from "node:test";
import type { InstanceId, UpstreamName, ZoneId } from "../common/ids.ts";
import type { UpstreamServer } from "../fleet/upstreams.ts";
import { probeTimeoutMilliseconds } from "./constants.ts";
import { CrashDetector } from "./crash-detector.ts";
import type { CrashReport } from "./crash-evidence.ts";

async function listen(): Promise<{ listener: Server; server: UpstreamServer }> {
  const listener = createServer().listen(0, "127.0.0.1");
  await once(listener, "listening");
  const server = {
    id: "server" as InstanceId,
    service: "service" as UpstreamName,
    host: "127.0.0.1",
    port: (listener.address() as AddressInfo).port,
    zone: "zone" as ZoneId,
    slots: 8,
    state: "ready" as const,
    startedAtMilliseconds: 1,
  };
  return { listener, server };
}

async function close(listener: Server): Promise<void> {
  listener.close();
  await once(listener, "close");
}

function createDetector() {
  const reports: CrashReport[] = [];
  const detector = new CrashDetector({
    onCrash: (report) => reports.push(report),
    now: () => performance.now(),
  });
  return { detector, reports };
}

/** Keeps the process from handling events, as on a busy machine. */
function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

test("a server that refuses connections has crashed, one that accepts them has not", async () => {
  const { listener, server } = await listen();
  const { detector, reports } = createDetector();
  assert.equal(await detector.examine(server, undefined), false);
  await close(listener);
  assert.equal(await detector.examine(server, undefined), true);
  assert.deepEqual(reports.map(({ server }) => server), [server.id]);
});

// Guards against a process that handles the timeout of the check before the refusal that arrived
// in time, and so takes a crash for a broken connection.
test("a crash is found although the process handled no event for longer than the timeout", async () => {
  const { listener, server } = await listen();
  await close(listener);
  const { detector, reports } = createDetector();
  const result = detector.examine(server, undefined);
  block(2 * probeTimeoutMilliseconds);
  assert.equal(await result, true);
  assert.equal(reports.length, 1);
});
