/**
 * Property tests of the reducer: readers of the control stream end with equal states wherever
 * they start, and the reducer agrees with a naive implementation that scans the whole history for
 * each record.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fc from "fast-check";
import { brandAs, type Offset } from "../common/ids.ts";
import type { StoredRecord } from "../log/log-client.ts";
import { decodeRecord } from "../log/record.ts";
import { createCheckpoint, encodeState } from "./checkpoint.ts";
import { createInitialState, type PublishVerdict } from "./reduced-state.ts";
import { applyStoredRecord } from "./reducer.ts";
import { publishId, verifyPublish } from "./signing.ts";
import { ControlStateBuilder } from "./state-builder.ts";
import {
  joinedEntry,
  platformBody,
  publishEntry,
  recordBytes,
  storeRecords,
  teamKeys,
  type TestTeam,
  workspaceBody,
} from "./testing/documents.ts";

const teamArbitrary = fc.constantFrom<TestTeam>("operations", "north", "south");
const memberArbitrary = fc.record({
  instance: fc.constantFrom("a", "b", "c"),
  incarnation: fc.constantFrom("1", "2", "3"),
});
const platformArbitrary = fc.constantFrom(
  platformBody(),
  platformBody({ operations: ["platform", "south"], north: ["north"] }),
  platformBody({ operations: ["platform"], north: ["north"] }),
  { ...platformBody(), partitions: 9 },
);
const sectionArbitrary = fc.uniqueArray(fc.constantFrom("w1", "w2", "w3"), {
  maxLength: 2,
}).map((ids) => ({ workspaces: ids.map(workspaceBody) }));
const publishArbitrary = fc.record({
  team: teamArbitrary,
  // Most publishes are signed by the team in their `team` field.
  signer: fc.oneof(
    { weight: 6, arbitrary: fc.constant(undefined) },
    { weight: 1, arbitrary: teamArbitrary },
  ),
  baseVersion: fc.constantFrom(0, 0, 0, 1, 1, 2),
  target: fc.oneof(
    platformArbitrary.map((body) => ({ section: "platform", body })),
    fc.record({
      section: fc.constantFrom("north", "south"),
      body: sectionArbitrary as fc.Arbitrary<unknown>,
    }),
  ),
  isOwner: fc.constantFrom(true, true, true, false),
}).map(({ team, signer, baseVersion, target: { section, body }, isOwner }) => {
  const owner = section === "platform" ? "operations" : section as TestTeam;
  const author = isOwner ? owner : team;
  return publishEntry(author, section, baseVersion, body, signer ?? author);
});
const entryArbitrary = fc.oneof(
  { weight: 4, arbitrary: publishArbitrary as fc.Arbitrary<unknown> },
  {
    weight: 3,
    arbitrary: memberArbitrary.map((member) =>
      joinedEntry(member.instance, member.incarnation)
    ),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constantFrom("member-leaving", "member-left", "member-evicted"),
      member: memberArbitrary,
    }).map(({ type, member }) => ({ type, ...member })),
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom(null, 7, { type: "not-known-yet" }, {
      type: "member-left",
      instance: 5,
    }),
  },
);
const recordArbitrary = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.tuple(
      fc.constantFrom("w", "x", "y"),
      fc.constantFrom(0, 0, 0, 1, 4),
      fc.array(entryArbitrary, { maxLength: 3 }),
      fc.constantFrom(1, 1, 1, 1, 1, 2),
    ).map(([writer, age, entries, version]) => (index: number) =>
      recordBytes(writer, Math.max(0, index - age), entries, version)
    ),
  },
  {
    weight: 1,
    arbitrary: fc.uint8Array({ maxLength: 9 }).map((bytes) => () =>
      Buffer.from(bytes)
    ),
  },
);
/** A record that may be repeated and may be followed by a checkpoint of a recent state. */
const stepsArbitrary = fc.array(
  fc.record({
    record: recordArbitrary,
    isRepeated: fc.boolean(),
    checkpointAge: fc.option(fc.nat(3), { nil: -1, freq: 2 }),
  }),
  { minLength: 1, maxLength: 25 },
);

/** Builds a stream of the records, with checkpoints of the current or a slightly older state. */
function buildStream(steps: readonly StepOf<typeof stepsArbitrary>[]) {
  const data: Uint8Array[] = [
    recordBytes("setup", 0, [
      publishEntry("operations", "platform", 0, platformBody()),
    ]),
  ];
  steps.forEach(({ record, isRepeated, checkpointAge }, index) => {
    data.push(record(index));
    if (isRepeated) data.push(record(index));
    if (checkpointAge < 0) return;
    const asOf = Math.max(1, data.length - checkpointAge);
    const state = storeRecords(data.slice(0, asOf))
      .reduce(applyStoredRecord, createInitialState());
    createCheckpoint(state, 700).forEach((part) =>
      data.push(recordBytes(`checkpoint-${index}`, part.part, [part]))
    );
  });
  return storeRecords(data);
}
type StepOf<Steps> = Steps extends fc.Arbitrary<(infer Step)[]> ? Step : never;

test("readers end with equal states wherever they start", () => {
  let restored = 0;
  fc.assert(
    fc.property(stepsArbitrary, (steps) => {
      const stream = buildStream(steps);
      const expected = stream.reduce(applyStoredRecord, createInitialState());
      for (let start = 0; start < stream.length; start++) {
        const builder = new ControlStateBuilder();
        builder.skipTo(brandAs<Offset>(start));
        for (const record of stream.slice(start)) {
          builder.push(record);
          // A record may arrive both from the log and from a peer, and must count once.
          builder.push(record);
        }
        assert.equal(builder.isComplete, hasUsableCheckpoint(stream, start));
        if (!builder.isComplete) continue;
        restored += start > 0 ? 1 : 0;
        assert.deepEqual(encodeState(builder.state), encodeState(expected));
        assert.deepEqual(builder.state, expected);
      }
    }),
    { seed: 20_261, numRuns: 60 },
  );
  assert.ok(restored > 200, `only ${restored} readers used a checkpoint`);
});

/** Whether the stream from `start` has all parts of a checkpoint of the records before it. */
function hasUsableCheckpoint(
  stream: readonly StoredRecord[],
  start: number,
): boolean {
  if (start === 0) return true;
  const held = new Map<string, number>();
  for (const record of stream.slice(start)) {
    const entry = decodeRecord(record.data)?.entries[0] as
      | { type?: string; checkpoint: string; parts: number; asOf: number }
      | null
      | undefined;
    if (entry?.type !== "control-checkpoint") continue;
    const count = (held.get(entry.checkpoint) ?? 0) + 1;
    held.set(entry.checkpoint, count);
    if (count === entry.parts && entry.asOf >= start - 1) return true;
  }
  return false;
}

interface NaiveState {
  members: Record<string, { incarnation: string; leaving: boolean }>;
  versions: Record<string, number>;
  bodies: Record<string, NaiveBody>;
  verdicts: Record<string, string>;
}
interface NaiveBody {
  partitions?: number;
  teams?: { name: string; publicKey: string; sections: string[] }[];
  workspaces?: { id: string }[];
}
type NaiveEntry = ReturnType<typeof publishEntry> & {
  instance: string;
  incarnation: string;
};

function reduceNaively(stream: readonly StoredRecord[]): NaiveState {
  const state: NaiveState = {
    members: {},
    versions: {},
    bodies: {},
    verdicts: {},
  };
  const records = stream.map((stored) => decodeRecord(stored.data));
  const ended = new Set<string>();
  records.forEach((record, at) => {
    if (!record || record.version > 1) return;
    const isDuplicate = records.slice(0, at).some((earlier) =>
      earlier?.writer === record.writer && earlier.sequence >= record.sequence
    );
    if (isDuplicate) return;
    for (const entry of record.entries as (NaiveEntry | null)[]) {
      const { instance, incarnation } = entry ?? {};
      const member = state.members[instance ?? ""];
      const isSame = member && member.incarnation === incarnation;
      if (entry?.type === "section-published") decideNaively(state, entry);
      else if (!entry || typeof instance !== "string") continue;
      else if (entry.type === "member-joined") {
        if (isSame || ended.has(`${instance}/${incarnation}`)) continue;
        if (member) ended.add(`${instance}/${member.incarnation}`);
        state.members[instance] = {
          incarnation: `${incarnation}`,
          leaving: false,
        };
      } else if (entry.type === "member-leaving") {
        if (isSame) member.leaving = true;
      } else if (entry.type.startsWith("member-") && isSame) {
        ended.add(`${instance}/${incarnation}`);
        delete state.members[instance];
      }
    }
  });
  return state;
}

function decideNaively(state: NaiveState, entry: NaiveEntry): void {
  const id = publishId(entry);
  if (state.verdicts[id] === "accepted") return;
  const body = JSON.parse(entry.body) as NaiveBody;
  const isFirst = !state.bodies["platform"] && entry.section === "platform";
  const platform = isFirst ? body : state.bodies["platform"];
  const team = platform?.teams?.find(({ name }) => name === entry.team);
  const verdict = () => {
    if (!team) return "not_owner";
    if (!verifyPublish(entry, team.publicKey, entry.signature)) {
      return "bad_signature";
    }
    if (!team.sections.includes(entry.section)) return "not_owner";
    if ((state.versions[entry.section] ?? 0) !== entry.baseVersion) {
      return "conflict";
    }
    const next = { ...state.bodies, [entry.section]: body };
    const ids = Object.values(next).flatMap((one) =>
      (one.workspaces ?? []).map((workspace) => workspace.id)
    );
    const owned = next["platform"]?.teams?.flatMap((one) => one.sections) ?? [];
    const isValid = new Set(ids).size === ids.length &&
      Object.keys(next).every((name) =>
        owned.includes(name) || next[name]?.workspaces?.length === 0
      ) &&
      (isFirst ||
        next["platform"]?.partitions === state.bodies["platform"]?.partitions);
    return isValid ? "accepted" : "invalid";
  };
  state.verdicts[id] = verdict();
  if (state.verdicts[id] !== "accepted") return;
  state.bodies[entry.section] = body;
  state.versions[entry.section] = entry.baseVersion + 1;
}

test("the reducer agrees with the naive implementation", () => {
  const seen = new Map<string, number>();
  fc.assert(
    fc.property(stepsArbitrary, (steps) => {
      const stream = buildStream(steps);
      const state = stream.reduce(applyStoredRecord, createInitialState());
      const naive = reduceNaively(stream);
      const outcomeOf = (verdict: PublishVerdict) => verdict.outcome;
      const verdicts = [...state.verdicts].map(([id, { verdict }]) =>
        [id, outcomeOf(verdict)] as const
      );
      assert.deepEqual(Object.fromEntries(verdicts), naive.verdicts);
      for (const [, outcome] of verdicts) {
        seen.set(outcome, (seen.get(outcome) ?? 0) + 1);
      }
      assert.deepEqual(
        Object.fromEntries(state.configuration.sectionVersions),
        naive.versions,
      );
      assert.deepEqual(
        Object.fromEntries(
          [...state.members].map(([instance, member]) => [instance, {
            incarnation: member.incarnation,
            leaving: member.state === "leaving",
          }]),
        ),
        naive.members,
      );
    }),
    { seed: 20_262, numRuns: 300 },
  );
  assert.deepEqual(
    [...seen.keys()].sort(),
    ["accepted", "bad_signature", "conflict", "invalid", "not_owner"],
    "the generator no longer reaches every verdict",
  );
});

test("a changed body, version or section breaks the signature", () => {
  const entry = publishEntry("north", "north", 1, { workspaces: [] });
  const { publicKey } = teamKeys.north;
  assert.equal(verifyPublish(entry, publicKey, entry.signature), true);
  for (
    const changed of [
      { ...entry, body: `${entry.body} ` },
      { ...entry, baseVersion: 2 },
      { ...entry, section: "south" },
    ]
  ) assert.equal(verifyPublish(changed, publicKey, entry.signature), false);
  assert.equal(verifyPublish(entry, "garbage", entry.signature), false);
});
