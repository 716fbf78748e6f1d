import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  Incarnation,
  InstanceId,
  PartitionNumber,
  StreamName,
  ZoneId,
} from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import {
  encodeMember,
  type Member,
  MemberTable,
} from "../fleet/peers/members.ts";
import type { KeyedStore } from "../store/keyed-store.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { Membership } from "./membership.ts";

const stream = "members" as StreamName;

/** A store whose list of the newest records takes longer than an append. */
function withSlowList(store: KeyedStore): KeyedStore {
  return {
    append: (...args) => store.append(...args),
    read: (...args) => store.read(...args),
    readNewest: async (...args) => {
      await sleep(50);
      return await store.readNewest(...args);
    },
    join: (...args) => store.join(...args),
    leave: (...args) => store.leave(...args),
  } as KeyedStore;
}

function createMember(incarnation: string): Member {
  return {
    instance: "one" as InstanceId,
    incarnation: incarnation as Incarnation,
    zone: "z" as ZoneId,
    capacity: 1,
    host: "127.0.0.1",
    port: 1,
  };
}

/** Starts a member; returns whether each change of its list was settled. */
async function start(service: MemoryStoreService, incarnation: string) {
  const settled: boolean[] = [];
  const members = new MemberTable();
  const membership = new Membership({
    store: withSlowList(service.client("one")),
    stream,
    self: createMember(incarnation),
    members,
    onChange: ({ isSettled }) => settled.push(isSettled),
    logger: silentLogger,
  });
  membership.start();
  while (
    members.get("one" as InstanceId)?.incarnation !== incarnation
  ) await sleep(5);
  return { membership, settled };
}

test("an instance that starts again finds its earlier record, however slow the list is", async () => {
  const service = new MemoryStoreService();
  service.append({ stream, partition: 0 as PartitionNumber }, [{
    key: "one",
    value: encodeMember(createMember("first")),
  }]);
  const { membership, settled } = await start(service, "second");
  assert.equal(settled[0], true);
  await membership.leave();
});

test("an instance that starts for the first time waits until the list has settled", async () => {
  const { membership, settled } = await start(
    new MemoryStoreService(),
    "first",
  );
  assert.ok(!settled.includes(true));
  await membership.leave();
});
