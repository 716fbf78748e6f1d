/**
 * Tests the control service with an in-memory log and network: joins, outages, evictions and
 * trimmed streams.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type PartitionNumber,
  type ZoneId,
} from "../common/ids.ts";
import { controlStream } from "./constants.ts";
import { ControlService } from "./control-service.ts";
import { partitionOwner } from "./owners.ts";
import {
  joinedEntry,
  platformBody,
  publishEntry,
  recordBytes,
  workspaceBody,
} from "./testing/documents.ts";
import { DisconnectableLog, MemoryLog } from "./testing/memory-log.ts";
import { MemoryPeerNetworks } from "./testing/memory-peers.ts";

interface FleetNode {
  readonly id: InstanceId;
  readonly log: DisconnectableLog;
  readonly service: ControlService;
}

class Fleet {
  readonly log = new MemoryLog();
  readonly peers = new MemoryPeerNetworks();
  readonly nodes: FleetNode[] = [];

  async add(name: string, zone = "z1"): Promise<FleetNode> {
    const id = brandAs<InstanceId>(name);
    const log = new DisconnectableLog(this.log);
    const network = this.peers.connect(id, () => service.incarnation);
    const service: ControlService = new ControlService({
      identity: {
        instance: id,
        zone: brandAs<ZoneId>(zone),
        host: "127.0.0.1",
        port: 1,
        metricsUrl: "",
      },
      incarnation: brandAs<Incarnation>(`${name}-1`),
      client: log,
      network,
    });
    const node = { id, log, service };
    this.nodes.push(node);
    service.start();
    await service.waitUntilCaughtUp();
    await service.join();
    return node;
  }

  async addAll(count: number, zones = 1): Promise<FleetNode[]> {
    for (let index = 0; index < count; index++) {
      await this.add(`i${index}`, `z${index % zones}`);
    }
    await waitUntil(() =>
      this.nodes.every(({ service }) => service.state.members.size === count)
    );
    return this.nodes;
  }

  publish(
    team: "operations" | "north",
    section: string,
    baseVersion: number,
    body: unknown,
  ) {
    const entry = publishEntry(team, section, baseVersion, body);
    const writer = `tool-${section}-${baseVersion}`;
    return this.log.append(controlStream, recordBytes(writer, 0, [entry]));
  }

  async [Symbol.asyncDispose]() {
    await Promise.all(this.nodes.map(({ service }) => service.stop()));
  }
}

async function waitUntil(
  condition: () => boolean,
  limit = 10_000,
): Promise<number> {
  const startedAt = performance.now();
  while (!condition()) {
    assert.ok(performance.now() - startedAt < limit, `not within ${limit} ms`);
    await sleep(10);
  }
  return performance.now() - startedAt;
}

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Runs a test with a fleet whose services are stopped even if the test fails. */
function fleetTest(name: string, run: (fleet: Fleet) => Promise<void>): void {
  test(name, async () => {
    const fleet = new Fleet();
    try {
      await run(fleet);
    } finally {
      await fleet[Symbol.asyncDispose]();
    }
  });
}

describe("control service", { concurrency: true }, () => {
  fleetTest("a join whose response was lost adds one member", async (fleet) => {
    fleet.log.appendResponsesToDrop = 1;
    const { service } = await fleet.add("a");
    await waitUntil(() => service.state.appliedOffset === 1);
    assert.equal(service.state.members.size, 1);
    assert.equal(service.state.membershipOffset, 0);
    assert.equal(service.isFresh(), true);
  });

  fleetTest(
    "an incarnation that has ended cannot join again",
    async (fleet) => {
      const { service } = await fleet.add("a");
      await service.leave();
      await waitUntil(() => service.state.members.size === 0);
      await assert.rejects(service.join(), { code: "join_refused" });
      assert.equal(service.statistics.rejoins, 0);
    },
  );

  fleetTest(
    "a log outage ends only the freshness of an instance without peers",
    async (fleet) => {
      const [first, second, isolated] = await fleet.addAll(3);
      assert.ok(first && second && isolated);
      fleet.log.isDown = true;
      fleet.peers.disconnect(isolated.id);
      await waitUntil(() => !isolated.service.isFresh(), 4_000);
      for (let sample = 0; sample < 30; sample++) {
        assert.ok(first.service.isFresh() && second.service.isFresh());
        assert.ok(!isolated.service.isFresh());
        await sleep(50);
      }
      fleet.log.isDown = false;
      await waitUntil(() => isolated.service.isFresh(), 3_000);
    },
  );

  fleetTest(
    "an instance cut off from the log gets records from its peers",
    async (fleet) => {
      const [, , cut] = await fleet.addAll(3);
      assert.ok(cut);
      cut.log.isOffline = true;
      await sleep(50);
      await fleet.publish("operations", "platform", 0, platformBody());
      await fleet.publish("north", "north", 0, {
        workspaces: [workspaceBody("walnut")],
      });
      const { service } = cut;
      await waitUntil(
        () => service.state.configuration.workspaces.size === 1,
        1_000,
      );
      assert.equal(service.statistics.recordsFetched, 2);
      await sleep(2_200);
      assert.ok(service.isFresh(), "not fresh through its peers");
    },
  );

  fleetTest(
    "a record is in force only after a majority had it for the freshness window",
    async (fleet) => {
      const [first, second, third] = await fleet.addAll(3);
      assert.ok(first && second && third);
      await sleep(600);
      for (const node of [second, third]) {
        node.log.isOffline = true;
        fleet.peers.disconnect(node.id);
      }
      await sleep(150);
      const offset = await fleet.publish(
        "operations",
        "platform",
        0,
        platformBody(),
      );
      let isInForce = false;
      void first.service.whenInForce(offset).then(() => isInForce = true);
      // The evidence of the two disconnected instances expires, but the first cannot know that.
      await sleep(2_500);
      assert.equal(isInForce, false);
      second.log.isOffline = false;
      fleet.peers.reconnect(second.id);
      await waitUntil(() => second.service.state.appliedOffset >= offset);
      assert.ok(await waitUntil(() => isInForce, 4_000) > 1_900);
    },
  );

  fleetTest(
    "a record that every member has applied is in force without the freshness window",
    async (fleet) => {
      const [first] = await fleet.addAll(3);
      assert.ok(first);
      await sleep(3_000);
      const offset = await fleet.publish(
        "operations",
        "platform",
        0,
        platformBody(),
      );
      let isInForce = false;
      void first.service.whenInForce(offset).then(() => isInForce = true);
      const elapsed = await waitUntil(() => isInForce, 4_000);
      assert.ok(elapsed < 1_900, `in force after ${elapsed} ms`);
    },
  );

  fleetTest(
    "an unreachable member is evicted and joins again with a new incarnation",
    async (fleet) => {
      const [first, , dead] = await fleet.addAll(3);
      assert.ok(first && dead);
      const partitions = Array.from(
        { length: 32 },
        (_, index) => brandAs<PartitionNumber>(index),
      );
      const owners = () =>
        new Set(
          partitions.map((one) => partitionOwner(first.service.state, one)),
        );
      assert.equal(owners().size, 3);
      dead.log.isOffline = true;
      fleet.peers.disconnect(dead.id);
      const elapsed = await waitUntil(
        () => !first.service.state.members.has(dead.id),
        6_000,
      );
      assert.ok(elapsed > 2_900, `evicted after ${elapsed} ms`);
      assert.ok(!owners().has(dead.id));
      fleet.peers.reconnect(dead.id);
      dead.log.isOffline = false;
      await waitUntil(() => first.service.state.members.has(dead.id), 5_000);
      assert.equal(
        first.service.state.members.get(dead.id)?.incarnation,
        "i2-1+1",
      );
      assert.equal(dead.service.statistics.rejoins, 1);
      const evictions = fleet.nodes.reduce(
        (sum, { service }) => sum + service.statistics.evictionsProposed,
        0,
      );
      assert.ok(evictions <= 2, `${evictions} proposals for one eviction`);
    },
  );

  fleetTest(
    "members are evicted even if half of them are lost at once",
    async (fleet) => {
      const [first, , ...lost] = await fleet.addAll(4);
      assert.ok(first);
      for (const node of lost) {
        node.log.isOffline = true;
        fleet.peers.disconnect(node.id);
      }
      await waitUntil(() => first.service.state.members.size === 2, 6_000);
    },
  );

  fleetTest(
    "above 16 members relays keep the leaves fresh and evict a lost zone",
    async (fleet) => {
      const nodes = await fleet.addAll(20, 3);
      const roles = nodes.map(({ service }) => service.statistics.role);
      assert.equal(roles.filter((role) => role === "relay").length, 9);
      assert.equal(roles.filter((role) => role === "leaf").length, 11);
      await sleep(1_500);
      fleet.log.isDown = true;
      await sleep(2_500);
      for (let sample = 0; sample < 30; sample++) {
        const stale = nodes.filter(({ service }) => !service.isFresh());
        assert.deepEqual(stale.map(({ id }) => id), []);
        await sleep(50);
      }
      fleet.log.isDown = false;
      const lost = nodes.filter((_, index) => index % 3 === 2);
      for (const node of lost) {
        node.log.isOffline = true;
        fleet.peers.disconnect(node.id);
      }
      const [first] = nodes;
      await waitUntil(() => first?.service.state.members.size === 14, 12_000);
    },
  );

  fleetTest(
    "a new instance restores the fleet's checkpoint from a trimmed stream",
    async (fleet) => {
      const platform = platformBody();
      await fleet.publish("operations", "platform", 0, {
        ...platform,
        log: { retentionSeconds: 4 },
      });
      const [first] = await fleet.addAll(2);
      assert.ok(first);
      const written = () =>
        fleet.nodes.reduce(
          (sum, { service }) => sum + service.statistics.checkpointsWritten,
          0,
        );
      await waitUntil(() => written() >= 2, 8_000);
      fleet.log.trim(controlStream, 3);
      const late = await fleet.add("late");
      assert.equal(late.service.state.members.size, 3);
      await waitUntil(() =>
        first.service.state.appliedOffset === late.service.state.appliedOffset
      );
      assert.deepEqual(late.service.state, first.service.state);
      assert.equal(late.service.statistics.role, "full");
    },
  );

  fleetTest(
    "a process stops being a member when another one joins under its instance id",
    async (fleet) => {
      const { service } = await fleet.add("a");
      const other = await fleet.add("b");
      await fleet.log.append(
        controlStream,
        recordBytes("other", 0, [joinedEntry("a", "a-2")]),
      );
      await waitUntil(() => !service.isMember);
      await sleep(1_000);
      assert.equal(service.statistics.rejoins, 0);
      const [replaced] = [...other.service.state.members.values()]
        .filter((member) => member.incarnation === "a-2");
      assert.ok(replaced, "the replaced process has joined again");
    },
  );
});
