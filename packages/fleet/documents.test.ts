import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type {
  InstanceId,
  Offset,
  PartitionNumber,
  StreamName,
  UpstreamName,
  ZoneId,
} from "../common/ids.ts";
import { type Logger, silentLogger } from "../common/logging.ts";
import type { KeyedRecord } from "../store/keyed-store.ts";
import { Blackboard } from "./blackboard.ts";
import { Documents, type StoreFailure } from "./documents.ts";
import { unusedCallerLimits } from "./testing/caller-limits.ts";
import type { UpstreamServer } from "./upstreams.ts";

const source = {
  stream: "documents" as StreamName,
  partition: 0 as PartitionNumber,
};

function record(key: string, value: unknown, offset: number): KeyedRecord {
  return {
    key,
    value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)),
    offset: offset as Offset,
  };
}

function server(id: string, offset: number, state = "ready"): KeyedRecord {
  return record(id, { state }, offset);
}

function createFixture(
  { logger = silentLogger, countMalformedEntry = () => {} }: {
    logger?: Logger;
    countMalformedEntry?: () => void;
  } = {},
) {
  const blackboard = new Blackboard({ initialDurationMilliseconds: 700 });
  let now = 100_000;
  let storeFailure: StoreFailure | undefined;
  const documents = new Documents({
    blackboard,
    logger,
    countMalformedEntry,
    clock: { monotonicNow: () => now, wallNow: () => now },
    lastStoreFailure: () => storeFailure,
    onChange: () => {},
    codec: {
      configurationSource: source,
      serverSource: source,
      decodeConfiguration: ({ value }) => ({
        version: JSON.parse(Buffer.from(value!).toString()).version,
        routes: [],
        services: [],
        workspaces: undefined,
        limits: unusedCallerLimits,
      }),
      decodeEvacuation: ({ key }) =>
        key.startsWith("evacuate/") ? key.slice(9) as ZoneId : undefined,
      decodeServer: ({ key, value }): UpstreamServer => {
        const { state } = JSON.parse(Buffer.from(value!).toString());
        if (!state) throw new Error("no state");
        return {
          id: key as InstanceId,
          service: "s" as UpstreamName,
          host: "127.0.0.1",
          port: 1,
          zone: "z" as ZoneId,
          slots: 8,
          state,
          startedAtMilliseconds: 0,
        };
      },
    },
  });
  return {
    blackboard,
    documents,
    applyRecords: (
      kind: "configuration" | "servers",
      records: KeyedRecord[],
      isSnapshot = false,
    ) => {
      const end = Math.max(0, ...records.map((each) => each.offset + 1));
      documents.applyRecords(kind, records, end as Offset, { isSnapshot });
    },
    advance: (milliseconds: number) => {
      now += milliseconds;
      documents.sweep();
    },
    failStore: ({ forMilliseconds = 0 } = {}) => {
      const beganAt = now;
      now += forMilliseconds;
      storeFailure = { beganAt, lastAt: now };
    },
    readyIds: () =>
      blackboard.upstreams.readyServers("s" as UpstreamName).map(({ id }) => id)
        .join(),
  };
}

test("the version of the configuration never decreases, even if an older one arrives later", () => {
  const { blackboard, applyRecords } = createFixture();
  applyRecords("configuration", [record("config", { version: 7 }, 3)]);
  applyRecords("configuration", [record("config", { version: 5 }, 4)]);
  assert.equal(blackboard.configuration?.version, 7);
});

test("a configuration that cannot be decoded leaves the previous one in force", () => {
  const { blackboard, applyRecords } = createFixture();
  applyRecords("configuration", [record("config", { version: 7 }, 3)]);
  applyRecords("configuration", [{
    key: "config",
    value: Buffer.from("{"),
    offset: 4 as Offset,
  }]);
  assert.equal(blackboard.configuration?.version, 7);
});

test("a server whose entry is removed while the store works is removed at once", () => {
  const { applyRecords, readyIds } = createFixture();
  applyRecords("servers", [server("a", 0), server("b", 1)]);
  applyRecords("servers", [record("a", undefined, 2)]);
  assert.equal(readyIds(), "b");
});

test("a server whose entry disappears in a store outage is kept for the grace period", () => {
  const fixture = createFixture();
  fixture.applyRecords("servers", [server("a", 0), server("b", 1)]);
  fixture.failStore({ forMilliseconds: 2_000 });
  fixture.advance(500);
  fixture.applyRecords("servers", [
    record("a", undefined, 2),
    record("b", undefined, 3),
  ]);
  assert.equal(fixture.readyIds(), "a,b");
  fixture.applyRecords("servers", [server("b", 4)]);
  fixture.advance(2_500);
  assert.equal(fixture.readyIds(), "b");
});

test("a server whose entry is removed after a store outage is not used two seconds later", () => {
  const fixture = createFixture();
  fixture.applyRecords("servers", [server("a", 0), server("b", 1)]);
  fixture.failStore({ forMilliseconds: 2_000 });
  fixture.advance(500);
  fixture.applyRecords("servers", [record("a", undefined, 2)]);
  fixture.advance(2_000);
  assert.equal(fixture.readyIds(), "b");
});

// A server whose entry was removed may stop serving after two seconds.
test("a server that leaves after a single failed read is not used two seconds later", () => {
  const fixture = createFixture();
  fixture.applyRecords("servers", [server("a", 0), server("b", 1)]);
  fixture.failStore();
  fixture.advance(100);
  fixture.applyRecords("servers", [record("a", undefined, 2)]);
  fixture.advance(1_900);
  assert.equal(fixture.readyIds(), "b");
});

test("an entry that cannot be decoded removes its server and affects no other", () => {
  const { applyRecords, readyIds } = createFixture();
  applyRecords("servers", [server("a", 0), server("b", 1)]);
  applyRecords("servers", [record("a", { state: 0 }, 2)]);
  assert.equal(readyIds(), "b");
});

test("a draining server takes no new requests", () => {
  const { applyRecords, readyIds } = createFixture();
  applyRecords("servers", [server("a", 0)]);
  applyRecords("servers", [server("a", 1, "draining")]);
  assert.equal(readyIds(), "");
});

test("records from a peer that are older than the known ones change nothing", () => {
  const { applyRecords, readyIds } = createFixture();
  applyRecords("servers", [server("a", 0)]);
  applyRecords("servers", [record("a", undefined, 5)]);
  applyRecords("servers", [server("a", 2)]);
  assert.equal(readyIds(), "");
});

test("a snapshot removes the keys that it lacks, unless it is older than the known records", () => {
  const { applyRecords, readyIds } = createFixture();
  applyRecords(
    "servers",
    [server("a", 0), server("b", 1), server("c", 2)],
    true,
  );
  applyRecords("servers", [server("a", 0)], true);
  assert.equal(readyIds(), "a,b,c");
  applyRecords("servers", [server("c", 7)], true);
  assert.equal(readyIds(), "c");
});

test("a zone is evacuated while its record exists, whatever the value and the source of it", () => {
  const { blackboard, applyRecords } = createFixture();
  const zones = () => blackboard.evacuatedZones.all().map(({ zone }) => zone);
  applyRecords("configuration", [
    record("config", { version: 7 }, 3),
    record("evacuate/north", {}, 4),
  ]);
  assert.deepEqual(zones(), ["north"]);
  // An older record of a peer.
  applyRecords("configuration", [record("evacuate/north", undefined, 2)]);
  assert.deepEqual(zones(), ["north"]);
  applyRecords("configuration", [record("evacuate/south", {}, 5)]);
  // A snapshot from which the first record is missing, as after a tombstone that has expired.
  applyRecords("configuration", [
    record("evacuate/south", {}, 5),
    record("config", { version: 8 }, 6),
  ], true);
  assert.deepEqual(zones(), ["south"]);
  assert.equal(blackboard.configuration?.version, 8);
});

// Guards against a log line for each of the many copies of one malformed entry.
test("an entry that cannot be decoded is counted each time and logged once", () => {
  const reasons: unknown[] = [];
  let count = 0;
  const { applyRecords } = createFixture({
    logger: {
      ...silentLogger,
      warn: (_, context) => reasons.push(context?.["server"]),
    },
    countMalformedEntry: () => count += 1,
  });
  for (const offset of [1, 2, 3]) {
    applyRecords("servers", [record("a", {}, offset)]);
  }
  assert.deepEqual([count, reasons], [3, ["a"]]);
  applyRecords("servers", [server("a", 4), record("a", {}, 5)]);
  assert.deepEqual([count, reasons], [4, ["a", "a"]]);
});
