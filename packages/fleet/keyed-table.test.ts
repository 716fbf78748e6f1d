import assert from "node:assert/strict";
import { test } from "node:test";
import type { Offset } from "../common/ids.ts";
import { KeyedTable } from "./keyed-table.ts";

function record(key: string, offset: number) {
  return { key, value: new Uint8Array([1]), offset: offset as Offset };
}

function keysOf(table: KeyedTable): string[] {
  return table.recordsSince(0).filter(({ value }) => value)
    .map(({ key }) => key);
}

test("a peer learns of a removal also from an instance that started after it", () => {
  const peer = new KeyedTable();
  peer.replace([record("a", 0), record("b", 1)], 2 as Offset);
  // "a" was removed at offset 5.
  const late = new KeyedTable();
  late.replace([record("b", 7)], 8 as Offset);
  peer.merge(late.recordsSince(peer.position), late.position);
  assert.deepEqual(keysOf(peer), ["b"]);
});
