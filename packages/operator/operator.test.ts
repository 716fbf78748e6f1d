/** Commands of the operators' tool against a log in memory: publishes, conflicts, file edits. */

import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { after, test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { parse } from "yaml";
import { sha256Hex } from "../common/hashing.ts";
import { controlStream } from "../control/constants.ts";
import {
  joinedEntry,
  recordBytes,
  teamKeys,
  type TestTeam,
} from "../control/testing/documents.ts";
import { MemoryLog } from "../control/testing/memory-log.ts";
import { describeDifferences } from "./difference.ts";
import { runOperatorProgram } from "./program.ts";

const directory = mkdtempSync(join(tmpdir(), "rosemaryrudder-operator-"));
after(() => rmSync(directory, { recursive: true, force: true }));

const keyFiles = Object.fromEntries(
  Object.entries(teamKeys).map(([team, { privateKeyPem }]) => {
    const file = join(directory, `${team}.pem`);
    writeFileSync(file, privateKeyPem);
    return [team, file];
  }),
) as Record<TestTeam, string>;

const documentText = `# Document of the walnut association.
sections:
  platform:
    version: 0 # edited by operations
    partitions: 8
    teams:
      - { name: operations, publicKey: "${teamKeys.operations.publicKey}", sections: [platform] }
      - { name: north, publicKey: "${teamKeys.north.publicKey}", sections: [north] }
    upstreams:
      - {name: scale-1,   kind: plain, address: "127.0.0.1:9002", concurrency: 2}
  north:
    version:   0
    workspaces:
      - id: walnut   # lot tagging
        ratePerSecond: 10
        burst: 20
    routes:
      - { id: scale, pathPrefix: /scale, upstreams: [scale-1] }
`;

let fileCount = 0;
function writeDocument(text = documentText): string {
  const file = join(directory, `document-${fileCount++}.yaml`);
  writeFileSync(file, text);
  return file;
}

async function run(log: MemoryLog, ...args: string[]) {
  const lines: string[] = [];
  const status = await runOperatorProgram({
    args: [...args, "--log", "http://127.0.0.1:9"],
    print: (line) => lines.push(line),
    connect: () => log,
  });
  return { status, output: lines.join("\n") };
}

const bothKeys = [
  "--signing-key",
  keyFiles.operations,
  "--signing-key",
  keyFiles.north,
];

test("a publish writes the new versions and nothing else into the file", async () => {
  const log = new MemoryLog();
  const file = writeDocument();
  const first = await run(log, "publish", file, ...bothKeys);
  assert.deepEqual(first, {
    status: 0,
    output: "platform: accepted as version 1\nnorth: accepted as version 1",
  });
  const published = documentText.replace("version: 0", "version: 1")
    .replace("version:   0", "version:   1");
  assert.equal(readFileSync(file, "utf8"), published);
  const again = await run(log, "publish", file, ...bothKeys);
  assert.equal(
    again.output,
    "platform: unchanged at version 1\nnorth: unchanged at version 1",
  );
  assert.equal(log.recordsOf(controlStream).length, 2);
  // The output of `fetch` can be published again.
  const fetched = writeDocument((await run(log, "fetch")).output);
  assert.equal((await run(log, "publish", fetched, ...bothKeys)).status, 0);
  assert.equal(log.recordsOf(controlStream).length, 2);
});

test("a publish whose response was lost takes effect once, even if it is repeated", async () => {
  const log = new MemoryLog();
  log.appendResponsesToDrop = 1;
  const file = writeDocument();
  assert.equal((await run(log, "publish", file, ...bothKeys)).status, 0);
  // Simulates a crash of the tool before it wrote the versions into the file.
  writeFileSync(file, documentText);
  const repeated = await run(log, "publish", file, ...bothKeys);
  assert.equal(repeated.status, 0);
  assert.match(repeated.output, /north: unchanged at version 1/);
  // The publish is also recognized after another team member has published a newer version.
  const newer = writeDocument(
    readFileSync(file, "utf8").replace("burst: 20", "burst: 30"),
  );
  assert.equal((await run(log, "publish", newer, ...bothKeys)).status, 0);
  writeFileSync(file, documentText);
  const late = await run(log, "publish", file, ...bothKeys);
  assert.match(late.output, /north: accepted as version 1/);
  assert.match((await run(log, "fetch")).output, /burst: 30/);
});

test("of two concurrent publishes one wins, and the loser's file stays as it was", async () => {
  const log = new MemoryLog();
  const base = writeDocument();
  await run(log, "publish", base, ...bothKeys);
  const texts = ["burst: 21", "burst: 22"].map((burst) =>
    readFileSync(base, "utf8").replace("burst: 20", burst)
  );
  const files = texts.map(writeDocument);
  const results = await Promise.all(
    files.map((file) => run(log, "publish", file, ...bothKeys)),
  );
  assert.deepEqual(results.map(({ status }) => status).sort(), [0, 1]);
  const loser = results.findIndex(({ status }) => status === 1);
  assert.match(
    results[loser]?.output ?? "",
    /north: refused, conflict: the file is based on version 1 and the current version is 2/,
  );
  assert.equal(readFileSync(files[loser] ?? "", "utf8"), texts[loser]);
});

test("problems are reported with their line, and the section is not published", async () => {
  const log = new MemoryLog();
  const text = documentText.replace("[scale-1]", "[scale-2]")
    .replace("burst:", "bursts:");
  const file = writeDocument(text);
  const { status, output } = await run(log, "publish", file, ...bothKeys);
  assert.equal(status, 1);
  assert.ok(output.includes("platform: accepted"));
  assert.ok(
    output.includes(
      `${file}:16: north.workspaces.0.bursts: is not a known field`,
    ),
    output,
  );
  assert.match(readFileSync(file, "utf8"), /version: {3}0/);
  const references = writeDocument(
    documentText.replace("[scale-1]", "[scale-2]"),
  );
  const validated = await run(new MemoryLog(), "validate", references);
  assert.equal(validated.status, 1);
  assert.match(
    validated.output,
    /:18: north\.routes\.0\.upstreams\.0: upstream 'scale-2' does not exist/,
  );
  const broken = await run(
    log,
    "validate",
    writeDocument("sections:\n  a: {}\n"),
  );
  assert.equal(broken.status, 1);
  assert.match(broken.output, /:2: sections\.a\.version: must be the version/);
});

test("a section is published only with the key of its own team", async () => {
  const log = new MemoryLog();
  const file = writeDocument();
  const none = await run(log, "publish", file, "--signing-key", keyFiles.south);
  assert.equal(none.status, 1);
  assert.equal(log.recordsOf(controlStream).length, 0);
  assert.equal(readFileSync(file, "utf8"), documentText);
  const platform = ["--signing-key", keyFiles.operations];
  assert.deepEqual(await run(log, "publish", file, ...platform), {
    status: 0,
    output: "north: not published, no signing key of team 'north' was given\n" +
      "platform: accepted as version 1",
  });
  const named = await run(
    log,
    "publish",
    file,
    "--section",
    "north",
    ...platform,
  );
  assert.equal(named.status, 1);
});

test("sections are published in an order that keeps the document valid", async () => {
  const log = new MemoryLog();
  const file = writeDocument();
  await run(log, "publish", file, ...bothKeys);
  // The route must be removed before the upstream that it refers to.
  const text = readFileSync(file, "utf8")
    .replace(/ {6}- \{name: scale-1.*\n/, "")
    .replace("upstreams:\n", "upstreams: []\n")
    .replace(/ {4}routes:\n.*\n/, "");
  const removed = writeDocument(text);
  assert.deepEqual(await run(log, "publish", removed, ...bothKeys), {
    status: 0,
    output: "north: accepted as version 2\nplatform: accepted as version 2",
  });
});

test("keys and cancelled jobs are edited in place, and the key itself is not stored", async () => {
  const log = new MemoryLog();
  const file = writeDocument();
  await run(log, "publish", file, ...bothKeys);
  const created = await run(
    log,
    ...["keys", "create", "walnut", "--id", "k1", "--write", file],
  );
  const key = /^key: (\S+)$/m.exec(created.output)?.[1] ?? "";
  const text = readFileSync(file, "utf8");
  assert.ok(key.length > 40 && !text.includes(key));
  assert.ok(text.includes("# lot tagging") && text.includes(sha256Hex(key)));
  assert.deepEqual(parse(created.output.split("\n")[1] ?? ""), [
    { id: "k1", sha256: sha256Hex(key) },
  ]);
  await run(
    log,
    ...["jobs", "cancel", "job-1", "--section", "north", "--write", file],
  );
  const diff = await run(log, "diff", file);
  assert.match(diff.output, /\+ workspaces\.walnut\.keys\.k1: /);
  assert.match(diff.output, /\+ cancelledJobs: "job-1"/);
  assert.equal((await run(log, "publish", file, ...bothKeys)).status, 0);
  await run(
    log,
    ...["keys", "withdraw", "walnut", "--id", "k1", "--write", file],
  );
  assert.ok(!readFileSync(file, "utf8").includes(sha256Hex(key)));
  assert.equal((await run(log, "publish", file, ...bothKeys)).status, 0);
  assert.ok(!(await run(log, "fetch")).output.includes(sha256Hex(key)));
});

test("the command fails if the log does not respond, and says that repeating it is safe", async () => {
  const log = new MemoryLog();
  const file = writeDocument();
  const append = log.append.bind(log);
  log.append = (stream, data) => {
    log.appendResponsesToDrop = 1;
    return append(stream, data);
  };
  await assert.rejects(
    run(log, "publish", file, ...bothKeys, "--timeout", "0.3"),
    /may still take effect/,
  );
  assert.equal(readFileSync(file, "utf8"), documentText);
});

test("members that do not respond are shown, and the exit status is not 0", async () => {
  const log = new MemoryLog();
  await log.append(
    controlStream,
    recordBytes("a", 0, [{
      ...joinedEntry("a"),
      metricsUrl: "http://127.0.0.1:1",
    }]),
  );
  const { status, output } = await run(log, "status", "--json");
  assert.equal(status, 1);
  const { members } = JSON.parse(output) as {
    members: { instance: string; reachable: boolean }[];
  };
  assert.deepEqual(
    members.map(({ instance, reachable }) => ({ instance, reachable })),
    [{ instance: "a", reachable: false }],
  );
});

test("differences identify list items by their ids", () => {
  assert.deepEqual(
    describeDifferences(
      { list: [{ id: "a", n: 1 }, { id: "b", n: 2 }], same: 1 },
      { list: [{ id: "b", n: 3 }, { id: "c", n: 4 }], same: 1 },
    ),
    [
      '- list.a: {"id":"a","n":1}',
      "~ list.b.n: 2 -> 3",
      '+ list.c: {"id":"c","n":4}',
    ],
  );
});

test("the program prints its version and help, and refuses unknown flags", async () => {
  const execute = promisify(execFile);
  const main = fileURLToPath(new URL("./main.js", import.meta.url));
  const call = (...args: string[]) =>
    execute(process.execPath, [main, ...args]);
  assert.match((await call("--version")).stdout, /^\d+\.\d+\.\d+$/m);
  const { stdout } = await call("--help");
  for (const command of ["validate", "publish", "keys", "jobs", "teams"]) {
    assert.ok(stdout.includes(command), `${command} is not in the help`);
  }
  assert.match((await call("keys", "--help")).stdout, /withdraw <workspace>/);
  await assert.rejects(call("publish"), { code: 2 });
  await assert.rejects(call("fetch"), /address of the log is missing/);
  await assert.rejects(call("fetch", "--lg", "x"), { code: 2 });
});
