/** Tests that uploads are validated by line, stored whole and visible only to their workspace. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fc from "fast-check";
import { systemClock } from "../../common/clock.ts";
import { CallerError } from "../../common/errors.ts";
import { brandAs, type WorkspaceId } from "../../common/ids.ts";
import { AppendBudget } from "../../log/append-budget.ts";
import { maximumLineBytes } from "../constants.ts";
import {
  chatItems,
  FakeFleet,
  submit,
  workspace,
} from "../testing/fake-fleet.ts";
import { FakeLog } from "../testing/fake-log.ts";
import { carryFile } from "./carry-file.ts";
import { FileStore } from "./file-store.ts";
import { uploadFile } from "./file-upload.ts";
import { LineParser } from "./line-parser.ts";

function parseAll(parts: readonly Uint8Array[]): string[] {
  const parser = new LineParser();
  const lines = parts.flatMap((part) => [...parser.push(part)]);
  const last = parser.finish();
  return [...lines, ...(last ? [last] : [])].map((line) =>
    Buffer.from(line).toString("utf8")
  );
}

test("an upload split at any byte gives the same lines", () => {
  fc.assert(
    fc.property(
      fc.array(fc.string({ unit: "grapheme" }), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
      fc.boolean(),
      (texts, sizes, endsWithLineFeed) => {
        const lines = texts.map((text, line) =>
          JSON.stringify({
            custom_id: `${line}`,
            method: "POST",
            url: "/v1/chat/completions",
            body: { text },
          })
        );
        const bytes = Buffer.from(
          lines.join("\n") + (endsWithLineFeed ? "\n" : ""),
        );
        const parts: Uint8Array[] = [];
        for (let position = 0, index = 0; position < bytes.length; index++) {
          const size = sizes[index % sizes.length]!;
          parts.push(bytes.subarray(position, position + size));
          position += size;
        }
        assert.deepEqual(parseAll(parts), lines);
      },
    ),
    { numRuns: 300, seed: 20_264 },
  );
});

test("an invalid line is refused with its line number and an error code", () => {
  const good = (id: string) =>
    JSON.stringify({ custom_id: id, method: "POST", url: "/x", body: {} });
  const cases: [string, string, number, string?][] = [
    [`${good("a")}\n{"custom_id":\n`, "invalid_json", 2],
    [`${good("a")}\n\n${good("b")}`, "invalid_json", 2],
    [`${good("a")}\n[1]\n`, "invalid_item", 2],
    [`{"custom_id":"a","method":"POST","url":"/x"}`, "invalid_item", 1, "body"],
    [`${good("a")}\n${good("b")}\n${good("a")}`, "duplicate_custom_id", 3],
    [`${good("a")}\n${"x".repeat(maximumLineBytes + 1)}`, "line_too_long", 2],
  ];
  for (const [text, code, line, field] of cases) {
    assert.throws(
      () => parseAll([Buffer.from(text)]),
      (error: CallerError) => {
        assert.equal(error.code, code);
        assert.equal(error.line, line);
        assert.equal(error.status, 400);
        if (field) assert.equal(error.field, field);
        return true;
      },
    );
  }
});

test("a file of many chunks is read back by line, also after it was carried forward", async () => {
  const log = new FakeLog();
  const client = log.client({ paused: undefined });
  const budget = new AppendBudget({
    fleetAppendsPerSecond: () => 100_000,
  });
  const lines = chatItems(6_000).map((item) => JSON.stringify(item));
  const content = async function* () {
    yield await Promise.resolve(Buffer.from(lines.join("\n")));
  };
  log.losesEveryThirdAnswer = true;
  const options = { client, budget, clock: systemClock };
  const completion = await uploadFile({
    ...options,
    workspace,
    filename: "lots.jsonl",
    content: content(),
  });
  assert.equal(completion.lines, 6_000);
  assert.ok(completion.chunks.length > 3);
  for (const record of log.records(completion.file)) {
    assert.ok(record.data.length <= 256 * 1024);
  }
  const files = new FileStore(client);
  const check = async (line: number) => {
    const bytes = await files.readLine(completion.file, line);
    assert.equal(Buffer.from(bytes).toString("utf8"), lines[line]);
  };
  for (const line of [0, 1, 1_999, 2_000, 4_321, 5_999]) await check(line);
  const end = log.records(completion.file).at(-1)!.offset;
  await carryFile(completion, {
    ...options,
    files,
    writer: brandAs("carrier"),
    checkOwnership: () => {},
  });
  log.trimTo(completion.file, end + 1);
  for (const line of [0, 2_000, 5_999]) await check(line);
  const parts: Uint8Array[] = [];
  const found = await new FileStore(client).find(completion.file);
  for await (const part of files.content(found!)) parts.push(part);
  assert.equal(Buffer.concat(parts).toString("utf8"), lines.join("\n") + "\n");
});

test("files, jobs and results are hidden from other workspaces", async (context) => {
  const fleet = new FakeFleet({
    runItem: () => Promise.resolve({ status: 200, body: {} }),
  });
  context.after(() => fleet.dispose());
  const [instance] = fleet.start("a");
  const { service } = instance!;
  const job = await submit(instance!, chatItems(3));
  const other = brandAs<WorkspaceId>("other");
  for (const file of [job.inputFile, job.outputFile, job.errorFile]) {
    assert.ok(await service.getFile(workspace, file));
    assert.equal(await service.getFile(other, file), undefined);
    await assert.rejects(
      service.readFile(other, file),
      (error: CallerError) => error.status === 404,
    );
  }
  assert.equal(await service.getJob(other, job.id), undefined);
  assert.equal(await service.cancelJob(other, job.id), undefined);
  assert.deepEqual(await service.listJobs(other, { limit: 10 }), []);
  await assert.rejects(
    service.createJob({
      workspace: other,
      inputFile: job.inputFile,
      endpoint: "/v1/chat/completions",
      deadline: 1,
      fingerprint: "",
    }),
    (error: CallerError) => error.code === "unknown_file",
  );
});

test("the list of jobs is paged, newest first", async (context) => {
  const fleet = new FakeFleet({
    runItem: () => Promise.resolve({ status: 200, body: {} }),
  });
  context.after(() => fleet.dispose());
  const [instance] = fleet.start("a");
  const ids: string[] = [];
  for (let job = 0; job < 5; job++) {
    ids.unshift((await submit(instance!, chatItems(1))).id);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  const { service } = instance!;
  const first = await service.listJobs(workspace, { limit: 2 });
  const after = first.at(-1)!.id;
  const rest = await service.listJobs(workspace, { after, limit: 10 });
  assert.deepEqual([...first, ...rest].map((job) => job.id), ids);
});
