/**
 * Guards against a program that ignores SIGTERM until it has started: an instance waits for the
 * log service while it starts, so in an outage of the log it could not be stopped.
 */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { startLogService } from "../stand-ins/log-service/log-service.ts";
import { putJson, waitFor } from "../stand-ins/shared/test-support.ts";

test("SIGTERM ends an instance that is waiting for the log during an outage", async () => {
  const log = await startLogService({ port: 0 });
  const logUrl = `http://127.0.0.1:${log.port}`;
  await putJson(`${logUrl}/faults`, { outage: true });
  const directory = mkdtempSync(join(tmpdir(), "rosemaryrudder-test-"));
  const settings = join(directory, "instance.yaml");
  writeFileSync(
    settings,
    stringify({
      instance: "instance-1",
      zone: "zone-1",
      logUrl,
      callerPort: 0,
      metricsPort: 0,
      peerPort: 0,
    }),
  );
  const main = fileURLToPath(new URL("../instance/main.js", import.meta.url));
  const instance = spawn(process.execPath, [main, "--settings", settings], {
    stdio: "ignore",
  });
  try {
    const refusedReads = async () =>
      (await (await fetch(`${logUrl}/statistics`)).json()).refusedCalls;
    await waitFor(
      "the instance calls the log",
      async () => await refusedReads() > 0,
    );
    const ended = once(instance, "exit");
    instance.kill("SIGTERM");
    assert.deepEqual(await ended, [0, null]);
  } finally {
    instance.kill("SIGKILL");
    rmSync(directory, { recursive: true });
    await log.close();
  }
});
