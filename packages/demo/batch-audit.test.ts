/** The audit at the end of the demo finds lost, doubled and mixed-up results. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { promptDigest } from "../stand-ins/engine/answer.ts";
import { auditBatch, isSound, type ResultLine } from "./batch-audit.ts";
import { type BatchItem, createLotTaggingItems } from "./lot-tagging.ts";

const items = createLotTaggingItems({ count: 4, impossibleItems: 1 });

function resultOf(item: BatchItem, answered = item): ResultLine {
  const content = `digest:${promptDigest(answered.body.messages)} lot`;
  return {
    custom_id: item.custom_id,
    response: {
      status_code: 200,
      body: { choices: [{ message: { content } }] },
    },
  };
}

const journal = items.map(({ body }) => ({
  body: JSON.stringify(body),
  outcome: "completed",
}));

test("a complete batch is sound, and a second execution alone does no harm", () => {
  const [first, second, third, fourth] = items;
  assert.ok(first && second && third && fourth);
  const output = [first, second, third].map((item) => resultOf(item));
  const errors = [{ custom_id: fourth.custom_id, error: { code: "failed" } }];
  const audit = auditBatch(items, {
    output,
    errors,
    journal: [...journal, ...journal.slice(0, 1)],
  });
  assert.deepEqual([audit.done, audit.failed, audit.executedTwice], [3, 1, 1]);
  assert.ok(isSound(audit));
});

test("lost, doubled and foreign results make a batch unsound", () => {
  const [first, second, third, fourth] = items;
  assert.ok(first && second && third && fourth);
  const audit = auditBatch(items, {
    output: [resultOf(first), resultOf(first), resultOf(second, third)],
    errors: [{ custom_id: fourth.custom_id }],
    journal,
  });
  assert.deepEqual([audit.lost, audit.doubled, audit.foreign], [1, 1, 1]);
  assert.ok(!isSound(audit));
});
