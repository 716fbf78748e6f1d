/** Tests that `--keep` describes a working fleet and that no process remains after its end. */

import assert from "node:assert/strict";
import { execFile, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { CallerClient } from "../client/caller-client.ts";
import { waitFor } from "../stand-ins/shared/test-support.ts";

interface KeptFleet {
  ready: boolean;
  instances: { url: string; metricsUrl: string; pid: number; zone: string }[];
  upstreams: { name: string; pid: number; repeatable: boolean }[];
  log: { url: string; pid: number };
  workspaces: { id: string; key: string }[];
  models: string[];
  document: string;
  publish: string[];
}

const isRunning = (pid: number) => {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
};

test("a kept fleet answers, accepts its publish command and ends on SIGTERM", async () => {
  const main = fileURLToPath(new URL("./main.js", import.meta.url));
  const demo = spawn(
    process.execPath,
    [main, "--keep", "--deployment", "single"],
    { stdio: ["ignore", "pipe", "ignore"] },
  );
  const lines: string[] = [];
  const output = createInterface(demo.stdout);
  output.on("line", (line) => lines.push(line));
  await once(output, "line");
  const fleet = JSON.parse(lines[0] ?? "") as KeptFleet;
  const pids = [...fleet.instances, ...fleet.upstreams, fleet.log]
    .map(({ pid }) => pid);
  try {
    assert.ok(fleet.ready && pids.every(isRunning));
    const chat = (key: string | undefined) =>
      new CallerClient({
        baseUrl: fleet.instances[0]?.url ?? "",
        key: key ?? "",
      }).chatStream({
        model: fleet.models[0],
        messages: [{ role: "user", content: "lot 5" }],
      });
    assert.ok((await chat(fleet.workspaces[0]?.key)).isComplete);
    assert.equal((await chat("no key of this fleet")).status, 401);
    const text = readFileSync(fleet.document, "utf8");
    assert.ok(!fleet.workspaces.some(({ key }) => text.includes(key)));
    const [program = "", ...args] = fleet.publish;
    const { stdout } = await promisify(execFile)(
      program,
      [...args, fleet.document],
    );
    assert.match(stdout, /unchanged/);
  } finally {
    demo.kill("SIGTERM");
  }
  assert.deepEqual(await once(demo, "exit"), [0, null]);
  await waitFor("all processes end", () => !pids.some(isRunning));
  assert.equal(lines.length, 1);
});
