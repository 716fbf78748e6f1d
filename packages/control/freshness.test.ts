/**
 * Tests the rules for freshness, in-force decisions, evictions and schedules. Above all, no
 * instance may act on an old state after a newer record is in force.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type Offset,
  type ZoneId,
} from "../common/ids.ts";
import { freshnessMilliseconds } from "./constants.ts";
import type { Member } from "./control-state.ts";
import { freshUntil, peerEvidenceAt, type PeerReply } from "./freshness.ts";
import { LostZones } from "./lost-zones.ts";
import {
  createPeerGroup,
  majorityOf,
  type Members,
  votersOf,
  watchersOf,
} from "./peer-group.ts";
import { isCheckpointDue, rejoinDelay } from "./schedules.ts";
import { shouldProposeEviction } from "./suspicion.ts";
import { VoterHistory } from "./voter-history.ts";

const id = brandAs<InstanceId>;
const at = brandAs<Offset>;

function createMembers(count: number, zones = 4): Members {
  const members = Array.from({ length: count }, (_, index): Member => ({
    instance: id(`i${index}`),
    incarnation: brandAs<Incarnation>("1"),
    zone: brandAs<ZoneId>(`z${index % zones}`),
    host: "127.0.0.1",
    port: 1,
    metricsUrl: "",
    state: "active",
    joinedAt: at(index),
  }));
  return new Map(members.map((member) => [member.instance, member]));
}

interface EvidenceCase {
  count: number;
  replies: [name: string, sentAt: number, offset: number, age?: number][];
  self?: string;
}

function evidence({ count, replies, self = "i0" }: EvidenceCase): number {
  const group = createPeerGroup(createMembers(count), id(self));
  return peerEvidenceAt({
    self: id(self),
    group,
    appliedOffset: at(5),
    now: 1_000,
    replies: new Map(
      replies.map(([name, sentAt, offset, evidenceAge = 0]): [
        InstanceId,
        PeerReply,
      ] => [id(name), { sentAt, appliedOffset: at(offset), evidenceAge }]),
    ),
    reportedOffsets: new Map(
      replies.map(([name, , offset]) => [id(name), at(offset)]),
    ),
  });
}

test("evidence needs a majority and dates from the oldest request of that majority", () => {
  assert.equal(evidence({ count: 5, replies: [["i1", 900, 5]] }), -Infinity);
  const two = [["i1", 900, 5], ["i2", 800, 4]] as EvidenceCase["replies"];
  assert.equal(evidence({ count: 5, replies: two }), 800);
  assert.equal(evidence({ count: 5, replies: [...two, ["i3", 850, 5]] }), 850);
  assert.equal(evidence({ count: 5, replies: two, self: "other" }), -Infinity);
  assert.equal(freshUntil(800), 800 + freshnessMilliseconds);
});

test("a single peer that reports a newer offset ends the evidence", () => {
  const replies = [["i1", 900, 5], ["i2", 900, 5], ["i3", 100, 6]];
  assert.equal(
    evidence({ count: 5, replies: replies as EvidenceCase["replies"] }),
    -Infinity,
  );
});

test("the evidence of a leaf is as old as the evidence of two of its relays", () => {
  const members = createMembers(40);
  const leaf =
    [...members.keys()].find((instance) =>
      createPeerGroup(members, instance).role === "leaf"
    ) ?? "";
  const relays = createPeerGroup(members, id(leaf)).contacts;
  assert.equal(relays.length, 3);
  const [first = "", second = "", third = ""] = relays;
  const replySentAt900 = (name: string, age: number) =>
    [name, 900, 5, age] as EvidenceCase["replies"][0];
  const evidenceOfLeaf = (...replies: EvidenceCase["replies"]) =>
    evidence({ count: 40, self: leaf, replies });
  assert.equal(evidenceOfLeaf(replySentAt900(first, 100)), -Infinity);
  assert.equal(
    evidenceOfLeaf(replySentAt900(first, 100), replySentAt900(second, 300)),
    600,
  );
  assert.equal(
    evidenceOfLeaf(
      replySentAt900(first, 100),
      replySentAt900(second, Infinity),
      replySentAt900(third, Infinity),
    ),
    -Infinity,
  );
});

test("390 members in 20 zones have 60 relays, and a leaf is watched by its zone's relays", () => {
  const members = createMembers(390, 20);
  assert.equal(votersOf(members).length, 60);
  const roles = [...members.keys()].map((instance) =>
    createPeerGroup(members, instance)
  );
  assert.equal(roles.filter(({ role }) => role === "relay").length, 60);
  assert.equal(Math.max(...roles.map(({ contacts }) => contacts.length)), 59);
  const lost = new Set(
    votersOf(members).filter((name) => members.get(name)?.zone === "z3"),
  );
  const suspect =
    [...members.values()].find(({ zone, instance }) =>
      zone === "z3" && !lost.has(instance)
    )?.instance ?? id("");
  const zones = new LostZones();
  const [oneRelay = id("")] = lost;
  assert.equal(
    zones.membersToContact(members, new Set([suspect]), 0).length,
    0,
  );
  assert.equal(
    zones.membersToContact(members, new Set([oneRelay]), 0).length,
    20,
  );
  // The zone stays watched after the silent relay was replaced by one not reported as silent.
  assert.equal(
    zones.membersToContact(members, new Set([suspect]), 500).length,
    20,
  );
  assert.equal(zones.membersToContact(members, new Set(), 10_400).length, 20);
  assert.equal(zones.membersToContact(members, new Set(), 10_600).length, 0);
  assert.equal(watchersOf(members, suspect, new Set()).length, 3);
  assert.equal(watchersOf(members, suspect, lost).length, 60);
});

/**
 * Five instances apply a record and exchange heartbeats at random times with random delays. No
 * instance may count as fresh without the record once a majority has had it for the freshness
 * window.
 */
test("no instance is fresh without a record that is in force", () => {
  const step = fc.record({
    wait: fc.nat(250),
    actor: fc.nat(4),
    peer: fc.nat(4),
    kind: fc.oneof(
      { weight: 1, arbitrary: fc.constant("apply") },
      { weight: 9, arbitrary: fc.constant("ask") },
    ),
    delay: fc.nat(800),
  });
  let staleButFresh = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 80, maxLength: 160 }), (steps) => {
      const names = [...createMembers(5).keys()];
      const members = createMembers(5);
      const applied = new Map(names.map((name) => [name, 0]));
      const repliesByInstance = new Map(
        names.map((name) => [name, new Map<InstanceId, PeerReply>()]),
      );
      const pendingReplies: { at: number; deliver: () => void }[] = [];
      let inForceAt = Infinity;
      let now = 0;
      for (const { wait, actor, peer, kind, delay } of steps) {
        now += wait;
        pendingReplies.filter((pending) => pending.at <= now).forEach((
          answer,
        ) => answer.deliver());
        const self = names[actor] ?? id("");
        const other = names[peer] ?? id("");
        if (kind === "apply" && now > 1_500) applied.set(self, 1);
        else if (self !== other) {
          const reply = {
            sentAt: now,
            appliedOffset: at(applied.get(other) ?? 0),
            evidenceAge: 0,
          };
          const deliver = () => repliesByInstance.get(self)?.set(other, reply);
          pendingReplies.push({ at: now + delay, deliver });
        }
        const known = [...applied.values()].filter((offset) => offset === 1);
        if (known.length >= majorityOf(5)) inForceAt = Math.min(inForceAt, now);
        for (const name of names.filter((one) => applied.get(one) === 0)) {
          const receivedReplies = repliesByInstance.get(name) ?? new Map();
          const evidenceAt = peerEvidenceAt({
            self: name,
            group: createPeerGroup(members, name),
            appliedOffset: at(0),
            now,
            replies: receivedReplies,
            reportedOffsets: new Map(
              [...receivedReplies].map(([instance, received]) =>
                [instance, received.appliedOffset] as [InstanceId, Offset]
              ),
            ),
          });
          if (now > freshUntil(evidenceAt) || inForceAt === Infinity) continue;
          staleButFresh += 1;
          assert.ok(
            now <= inForceAt + freshnessMilliseconds,
            `${name} is fresh ${now - inForceAt} ms after the majority applied`,
          );
        }
      }
    }),
    { seed: 20_263, numRuns: 400 },
  );
  assert.ok(
    staleButFresh > 50,
    `only ${staleButFresh} checks met an instance fresh without the record`,
  );
});

test("a record is not in force while the majority of a superseded set may lack it", () => {
  const history = new VoterHistory();
  history.addVoterSet(["a", "b", "c"], { offset: 0, time: 0, now: 0 });
  const grown = ["a", "b", "c", "d", "e", "f", "g", "h"];
  history.addVoterSet(grown, { offset: 10, time: 100, now: 100 });
  const applied = new Map(["c", "d", "e", "f", "g", "h"].map((v) => [v, 20]));
  const appliedOf = (voter: string) => applied.get(voter) ?? 5;
  // Six of eight voters have the record, but a and b are a majority of the superseded set.
  assert.equal(history.majorityOffset(200, appliedOf), 5);
  applied.set("a", 12);
  assert.equal(history.majorityOffset(300, appliedOf), 12);
  assert.equal(history.majorityOffset(2_200, appliedOf), 12);
  assert.equal(history.majorityOffset(2_400, appliedOf), 20);
  // A voter that left as planned does not block a restarted process that never heard from it.
  const restarted = new VoterHistory();
  restarted.addVoterSet(["a", "b"], { offset: 0, time: 0, now: 0 });
  restarted.addVoterSet(["a", "c"], { offset: 10, time: 100, now: 100 });
  const offsetOf = (voter: string) => voter === "b" ? -1 : 20;
  assert.equal(restarted.majorityOffset(5_000, offsetOf), -1);
  restarted.markEnded("b");
  assert.equal(restarted.majorityOffset(5_000, offsetOf), 20);
});

test("an eviction needs the reports of a majority, or of all after a long silence", () => {
  const watchers = ["a", "b", "c", "d"].map(id);
  const report = (when: number, ...silent: string[]) => ({
    receivedAt: when,
    silent: new Set(silent.map(id)),
  });
  const decide = (
    now: number,
    reports: [string, ReturnType<typeof report>][],
    rank = 0,
  ) =>
    shouldProposeEviction({
      now,
      suspect: id("x"),
      lastHeardAt: 0,
      watchers,
      reports: new Map(reports.map(([name, one]) => [id(name), one])),
      rank,
    });
  const three = ["a", "b", "c"].map((name) =>
    [name, report(3_000, "x")] as [string, ReturnType<typeof report>]
  );
  assert.equal(decide(2_999, three), false);
  assert.equal(decide(3_000, three), true);
  assert.equal(decide(3_000, three, 1), false);
  assert.equal(decide(3_500, three, 1), true);
  assert.equal(decide(3_000, three.slice(0, 2)), false);
  assert.equal(decide(9_000, three), false, "old reports do not count");
  const late = report(16_000, "x");
  assert.equal(decide(16_000, [["a", late], ["b", late]]), true);
  assert.equal(decide(16_000, [["a", late], ["b", report(16_000)]]), false);
});

test("a checkpoint is due after a quarter of the retention, later for lower ranks", () => {
  const due = (logNow: number, rank: number) =>
    isCheckpointDue({ logNow, since: 0, retentionMilliseconds: 1_600, rank });
  assert.deepEqual([due(399, 0), due(400, 0), due(499, 1), due(500, 1)], [
    false,
    true,
    false,
    true,
  ]);
  assert.deepEqual([1, 2, 3, 20].map(rejoinDelay), [
    500,
    1_000,
    2_000,
    300_000,
  ]);
});
