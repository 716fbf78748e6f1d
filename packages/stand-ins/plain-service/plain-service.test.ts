/** Tests of the plain service stand-in: executions are counted, also those left unanswered. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { sha256Hex } from "../../common/hashing.ts";
import { putJson, readJournal, waitFor } from "../shared/test-support.ts";
import { startPlainService } from "./plain-service.ts";

test("requests are echoed and counted, and a closed connection is recorded with its outcome", async () => {
  const service = await startPlainService({ port: 0, delayMilliseconds: 2 });
  const url = `http://127.0.0.1:${service.port}`;
  const post = (body: string) =>
    fetch(`${url}/tickets/9?weigh=1`, { method: "POST", body });
  try {
    const echo = await (await post("42 kg")).json();
    assert.deepEqual(
      [echo.method, echo.path, echo.bodyDigest, echo.execution],
      ["POST", "/tickets/9?weigh=1", sha256Hex("42 kg"), 1],
    );
    const faults = [
      "closeBeforeRequest",
      "closeDuringRequest",
      "closeAfterRequest",
    ];
    for (const fault of faults) {
      await putJson(`${url}/faults`, { [fault]: 1 });
      await assert.rejects(post(fault));
    }
    const outcomes = await waitFor("all outcomes", async () => {
      const lines = await readJournal(url);
      return lines.every((line) => line.outcome !== "running") &&
        lines.map((line) => line.outcome);
    });
    assert.deepEqual(
      outcomes,
      ["completed", "rejected", "unanswered", "unanswered"],
    );
    const { executions } = await (await fetch(`${url}/statistics`)).json();
    assert.equal(executions, 3);
  } finally {
    await service.close();
  }
});
