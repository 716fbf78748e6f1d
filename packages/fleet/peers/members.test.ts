import assert from "node:assert/strict";
import { test } from "node:test";
import fastCheck from "fast-check";
import type { InstanceId, Offset } from "../../common/ids.ts";
import { encodeMember, type Member, MemberTable } from "./members.ts";

const member: Member = {
  instance: "sound" as InstanceId,
  incarnation: "1",
  host: "127.0.0.1",
  port: 7_000,
  zone: "z",
  capacity: 1,
};

function readMembers(malformed: Uint8Array): readonly Member[] {
  const table = new MemberTable();
  const records = [
    { key: "malformed", value: malformed, offset: 1 as Offset },
    { key: "sound", value: encodeMember(member), offset: 2 as Offset },
  ];
  table.applyRecords(records, 3 as Offset, { isSnapshot: true });
  return table.all();
}

// Guards against one malformed record that keeps the member list from being read.
test("a member record of arbitrary bytes names no member, and the others hold", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.uint8Array({ maxLength: 60 }),
      (bytes) => assert.deepEqual(readMembers(bytes), [member]),
    ),
    { seed: 3, examples: [[Uint8Array.of(0xff)], [Uint8Array.of(0xa1)]] },
  );
});

// Guards against an address to which connecting throws.
test("a member record without a valid address names no member", () => {
  for (const change of [{ port: 70_000 }, { port: 0 }, { host: "a\0b" }]) {
    const bytes = encodeMember({ ...member, ...change });
    assert.deepEqual(readMembers(bytes), [member]);
  }
});
