import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, PartitionNumber, StreamName } from "../common/ids.ts";
import { silentLogger } from "../common/logging.ts";
import { ownerLeaseMilliseconds } from "../fleet/constants.ts";
import { MemoryStoreService } from "../store/testing/memory-keyed-store.ts";
import { PartitionOwnership } from "./partition-ownership.ts";

const partition = 0 as PartitionNumber;

test("an owner whose lease has expired reads the partition again before it starts items under a new one", async () => {
  const service = new MemoryStoreService({ partitions: 1 });
  let now = 0;
  let completeUntil = 0;
  const leases: number[] = [];
  let onLease = () => {};
  const ownership = new PartitionOwnership({
    store: service.client("one"),
    instance: "one" as InstanceId,
    group: "owners",
    stream: "jobs" as StreamName,
    clock: { monotonicNow: () => now, wallNow: () => now },
    logger: silentLogger,
    onPartitionsRevoked: () => Promise.resolve(),
    onPartitionsAssigned: () => {},
    onLeaseAcquired: (_, lease) => {
      leases.push(lease.acquiredAt);
      onLease();
    },
    copyCompleteUntil: () => completeUntil,
    isClaimedByPeer: () => false,
    hasPeerContact: () => true,
  });
  const nextLease = () => new Promise<void>((resolve) => onLease = resolve);
  now = 100;
  let acquired = nextLease();
  ownership.start();
  await acquired;
  assert.equal(ownership.canStartItems(partition), false);
  completeUntil = 100;
  assert.equal(ownership.canStartItems(partition), true);
  acquired = nextLease();
  now += ownerLeaseMilliseconds + 1;
  // The store cannot be reached: the owner continues with what it holds.
  assert.equal(ownership.canStartItems(partition), true);
  await acquired;
  assert.equal(ownership.canStartItems(partition), false);
  completeUntil = now;
  assert.equal(ownership.canStartItems(partition), true);
  assert.deepEqual(leases, [100, now]);
  await ownership.leave();
});
