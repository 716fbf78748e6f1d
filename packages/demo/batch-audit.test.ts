/** Tests that the audit of the demo detects lost, duplicated and mismatched results. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { promptDigest } from "../stand-ins/engine/answer.ts";
import { auditBatch, isConsistent, type ResultLine } from "./batch-audit.ts";
import { type BatchItem, createLotTaggingItems } from "./lot-tagging.ts";

const items = createLotTaggingItems({ count: 4, impossibleItems: 1 });

function resultOf(item: BatchItem, answeredItem = item): ResultLine {
  const content = `digest:${promptDigest(answeredItem.body.messages)} lot`;
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

test("a complete batch is consistent, even if an item was executed twice", () => {
  const [first, second, third, fourth] = items;
  assert.ok(first && second && third && fourth);
  const output = [first, second, third].map((item) => resultOf(item));
  const errors = [{ custom_id: fourth.custom_id, error: { code: "failed" } }];
  const audit = auditBatch(items, {
    output,
    errors,
    journal: [...journal, ...journal.slice(0, 1)],
  });
  assert.deepEqual([audit.completed, audit.failed, audit.executedRepeatedly], [
    3,
    1,
    1,
  ]);
  assert.ok(isConsistent(audit));
});

test("lost, duplicated and mismatched results make a batch inconsistent", () => {
  const [first, second, third, fourth] = items;
  assert.ok(first && second && third && fourth);
  const audit = auditBatch(items, {
    output: [resultOf(first), resultOf(first), resultOf(second, third)],
    errors: [{ custom_id: fourth.custom_id }],
    journal,
  });
  assert.deepEqual([audit.lost, audit.duplicated, audit.mismatched], [1, 1, 1]);
  assert.ok(!isConsistent(audit));
});
