import assert from "node:assert/strict";
import { test } from "node:test";
import type { Offset, PromptPartId } from "../common/ids.ts";
import type { KeyedEntry } from "../store/keyed-store.ts";
import { claimEntry, verdictEntry, VerdictTable } from "./verdict-records.ts";

// The newest records of the keys must give the same claims on trials as the whole history.

const part = "p" as PromptPartId;
const verdict = verdictEntry({
  part,
  alternatives: [],
  crashes: 3,
  requests: 3,
  odds: 20,
  decidedAt: 0,
});

function claimOf(claimant: string): KeyedEntry {
  return claimEntry({ part, trial: 1, claimant, claimedAt: 1 });
}

function claimantsAfter(entries: readonly KeyedEntry[]): string[] {
  const table = new VerdictTable();
  for (const [offset, entry] of entries.entries()) {
    table.apply({ ...entry, offset: offset as Offset });
  }
  return table.claims(part).map(({ claimant }) => claimant);
}

test("a claim counts also if its verdict was written again afterwards", () => {
  assert.deepEqual(claimantsAfter([claimOf("a"), verdict]), ["a"]);
});

test("the first claim counts also if it was written again after another claim", () => {
  assert.deepEqual(
    claimantsAfter([verdict, claimOf("b"), claimOf("a")]),
    claimantsAfter([verdict, claimOf("a"), claimOf("b"), claimOf("a")]),
  );
});
