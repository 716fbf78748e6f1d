/** Tests of the stand-in programs: settings, flags, error messages and graceful shutdown. */

import assert from "node:assert/strict";
import { execFile, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const programs = [
  "log-service",
  "engine",
  "plain-service",
  "instance-list",
  "weight-store",
  "fault-proxy",
];

const scriptOf = (program: string) =>
  fileURLToPath(new URL(`./${program}/main.js`, import.meta.url));

function run(program: string, ...args: string[]) {
  return new Promise<{ status: number; output: string; errors: string }>(
    (resolve) => {
      execFile(
        process.execPath,
        [scriptOf(program), ...args],
        (error, output, errors) =>
          resolve({ status: Number(error?.code ?? 0), output, errors }),
      );
    },
  );
}

/** Starts a program on a free port and waits for the log line "listening". */
async function start(program: string, ...args: string[]) {
  const child = spawn(
    process.execPath,
    [scriptOf(program), "--port", "0", ...args],
    { stdio: ["pipe", "ignore", "pipe"] },
  );
  const url = await new Promise<string>((resolve, reject) => {
    createInterface(child.stderr).on("line", (line) => {
      const { message, context } = JSON.parse(line);
      if (message === "listening") resolve(`http://127.0.0.1:${context.port}`);
    });
    child.once("exit", () => reject(new Error(`${program} did not start`)));
  });
  return { child, url };
}

test("invalid flags and settings exit with status 2 and one line that names the field", async () => {
  const directory = mkdtempSync(join(tmpdir(), "rosemaryrudder-test-"));
  const file = join(directory, "settings.yaml");
  writeFileSync(file, "port: 0\nunknownField: 1\n");
  try {
    await Promise.all(programs.map(async (program) => {
      const help = await run(program, "--help");
      assert.equal(help.status, 0);
      assert.match(help.output, /--settings/);
      assert.match(
        (await run(program, "--version")).output,
        /^\d+\.\d+\.\d+$/m,
      );
      const cases = [
        { args: ["--settings", file], pattern: /unknownField/ },
        { args: ["--port", "many"], pattern: /port/ },
        { args: ["--unknown-flag"], pattern: /unknown-flag/ },
        {
          args: ["--settings", join(directory, "none")],
          pattern: /cannot read/,
        },
      ];
      for (const { args, pattern } of cases) {
        const { status, errors } = await run(program, ...args);
        assert.equal(status, 2, errors);
        assert.match(errors, pattern);
        assert.equal(errors.trimEnd().split("\n").length, 1, errors);
      }
    }));
  } finally {
    rmSync(directory, { recursive: true });
  }
});

test("SIGTERM lets a running answer finish, and a closed stdin ends the process", async () => {
  const { child, url } = await start(
    "engine",
    "--minimum-tokens",
    "30",
    "--maximum-tokens",
    "30",
  );
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    body: JSON.stringify({
      model: "walnut-7b",
      stream: true,
      messages: [{ role: "user", content: "a" }],
    }),
  });
  const ended = once(child, "exit");
  child.kill("SIGTERM");
  assert.match(await response.text(), /\[DONE\]/);
  assert.deepEqual(await ended, [0, null]);
  const second = await start("plain-service", "--exit-with-parent");
  const secondEnded = once(second.child, "exit");
  second.child.stdin.end();
  await secondEnded;
});

test("a program whose port is in use exits with status 2 and names EADDRINUSE", async () => {
  const { child, url } = await start("log-service");
  const { status, errors } = await run(
    "log-service",
    "--port",
    new URL(url).port,
  );
  child.kill("SIGKILL");
  assert.equal(status, 2);
  assert.match(errors, /EADDRINUSE/);
});
