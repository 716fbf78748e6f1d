/** The command `explain` on files with foreign, incomplete and prefixed lines. */

import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { runOperatorProgram } from "./program.ts";

function line(time: number, message: string, context: object): string {
  return JSON.stringify({ context, message, sequence: "0", time });
}

async function explain(id: string, files: string[]) {
  const folder = mkdtempSync(join(tmpdir(), "explain-"));
  const paths = files.map((content, index) => {
    const path = join(folder, `${index}.log`);
    writeFileSync(path, content);
    return path;
  });
  const printed: string[] = [];
  try {
    const status = await runOperatorProgram({
      args: ["explain", id, ...paths],
      print: (text) => printed.push(text),
    });
    return { status, printed };
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test("prints the lines of several instances about one request, sorted by time", async () => {
  const { status, printed } = await explain("r1", [
    [
      line(2_000, "an attempt failed", { request: "r1", server: "a" }),
      line(1_500, "a request has ended", { request: "r10" }),
      '{"context":{"request":"r1"},"mess',
      "not a log line r1",
    ].join("\n"),
    `  1.000 edge-1 ${line(1_000, "a request was refused", { request: "r1" })}`,
  ]);
  assert.equal(status, 0);
  assert.equal(printed.length, 2);
  assert.match(printed[0]!, /edge-1 a request was refused: request=r1$/);
  assert.match(printed[1]!, /an attempt failed: request=r1 server=a$/);
});

test("reports an id that no line mentions", async () => {
  const { status, printed } = await explain("r2", [""]);
  assert.equal(status, 1);
  assert.deepEqual(printed, ["no line mentions r2"]);
});
