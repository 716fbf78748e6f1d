import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, UpstreamName, ZoneId } from "../../common/ids.ts";
import { SeededRandom } from "../../common/random.ts";
import { mostInWindow } from "../../common/testing/send-windows.ts";
import type { UpstreamServer } from "../upstreams.ts";
import {
  boundOfFleet,
  type ColdPolicy,
  defaultColdBounds,
  shareOfSender,
} from "./cold-rate.ts";
import { ColdServers } from "./cold-servers.ts";

const policy: ColdPolicy = { coldMilliseconds: 3_000, requestsPerSecond: 7.1 };
const server: UpstreamServer = {
  id: "s" as InstanceId,
  service: "service" as UpstreamName,
  host: "127.0.0.1",
  port: 1,
  zone: "z" as ZoneId,
  slots: 8,
  state: "ready",
  startedAtMilliseconds: 1,
  coldMilliseconds: 3_000,
};
const restarted = { ...server, startedAtMilliseconds: 2 };
const warm = { ...server, coldMilliseconds: 0 };

function createServers(
  { self = "c0", coordinators = [self], members = coordinators.length, heard }:
    {
      self?: string;
      coordinators?: string[];
      members?: number;
      heard?: number;
    } = {},
): ColdServers {
  const servers = new ColdServers({ policyOf: () => policy });
  servers.connect({
    self: self as InstanceId,
    view: () => ({ members, heard: heard ?? members }),
  });
  servers.setCoordinators(coordinators as InstanceId[], -10_000);
  return servers;
}

const names = (count: number) =>
  Array.from({ length: count }, (_, index) => `c${index}`);

/** Sends whenever it is allowed; returns whether a request was sent. */
function trySend(servers: ColdServers, now: number, to = server): boolean {
  const allowance = servers.allowanceFor(to, now);
  if (allowance?.kind === "refused") return false;
  if (allowance?.sendBudget && allowance.sendBudget.allowance < 1) return false;
  servers.take(to, now);
  return true;
}

test("the bound of the fleet and the share of one sender follow the rate of the service", () => {
  const inContact = { isIsolated: false };
  assert.equal(boundOfFleet(policy, defaultColdBounds), 15);
  assert.equal(shareOfSender(policy, defaultColdBounds, inContact), 7);
  const slow = { ...policy, requestsPerSecond: 0.5 };
  assert.equal(shareOfSender(slow, defaultColdBounds, inContact), 1);
  const none = { ...policy, requestsPerSecond: 0 };
  assert.equal(shareOfSender(none, defaultColdBounds, inContact), 0);
});

// Guards against exceeding the bound by lists that differ, lost contact and late arrivals.
test("a greedy fleet stays within the bound in any second, whatever its instances hear", () => {
  for (let seed = 1; seed <= 60; seed++) {
    const random = new SeededRandom(seed);
    const count = 2 + Math.floor(random.next() * 15);
    const lists = [names(count), names(count).slice(1)];
    const fleet = names(count).map((self) =>
      createServers({
        self,
        coordinators: lists[random.next() < 0.5 ? 0 : 1]!,
        members: count,
        heard: 1 + Math.floor(random.next() * count),
      })
    );
    const dependent = new ColdServers({ policyOf: () => policy });
    dependent.connect({ self: "d" as InstanceId, view: () => undefined });
    fleet.push(dependent);
    for (const servers of fleet) servers.recordEntry(server, undefined, 0);
    const arrivals: number[] = [];
    for (let now = 0; now < 3_000; now += 10) {
      for (const servers of fleet) {
        while (trySend(servers, now)) {
          arrivals.push(now + random.next() * 200);
        }
      }
    }
    const most = mostInWindow(arrivals, 1_000);
    assert.ok(most <= 15, `${most} requests in one second, seed ${seed}`);
  }
});

test("one coordinator of a fleet in contact uses the rate of a cold server", () => {
  const fleet = names(8).map((self) =>
    createServers({ self, coordinators: names(8) })
  );
  for (const servers of fleet) servers.recordEntry(server, undefined, 0);
  const sends = new Map<number, number>();
  for (let now = 0; now < 3_000; now += 10) {
    for (const [index, servers] of fleet.entries()) {
      if (!trySend(servers, now)) continue;
      sends.set(index, (sends.get(index) ?? 0) + 1);
    }
  }
  assert.deepEqual([...sends.values()], [21]);
});

// A server that has just started is slow, so that requests of one moment would wait for each other.
test("the sends to a cold server are spread over the second", () => {
  const servers = createServers();
  servers.recordEntry(server, undefined, 0);
  const sends: number[] = [];
  for (let now = 0; now < 1_000; now += 10) {
    while (trySend(servers, now)) sends.push(now);
  }
  assert.deepEqual(sends, [0, 0, 250, 250, 500, 500, 750]);
});

test("after its cold time a server is opened in steps, to more and more coordinators", () => {
  const fleet = names(8).map((self) =>
    createServers({ self, coordinators: names(8) })
  );
  for (const servers of fleet) servers.recordEntry(server, undefined, 0);
  const at = (now: number) => {
    const allowed = fleet.map((servers) => servers.allowanceFor(server, now))
      .filter((allowance) => allowance?.kind !== "refused");
    return [allowed.length, Math.max(...allowed.map((one) => one?.slots ?? 8))];
  };
  assert.deepEqual([3_000, 3_400, 3_800, 4_200, 4_600].map(at), [
    [2, 2],
    [4, 4],
    [5, 5],
    [7, 7],
    [8, 8],
  ]);
});

test("an entry that says nothing does not make a server cold, unless it names another start", () => {
  const servers = createServers();
  const silent = { ...server, coldMilliseconds: undefined };
  assert.equal(servers.recordEntry(silent, undefined, 0), undefined);
  assert.equal(servers.allowanceFor(silent, 0), undefined);
  const again = { ...silent, startedAtMilliseconds: 2 };
  assert.equal(servers.recordEntry(again, silent, 100)?.source, "restart");
  assert.equal(servers.count(3_099), 1);
  assert.equal(servers.count(3_100), 0);
  const stated = { ...again, startedAtMilliseconds: 3, coldMilliseconds: 0 };
  servers.recordEntry(stated, again, 200);
  assert.equal(servers.allowanceFor(stated, 200), undefined);
});

test("without a rate in the configuration no server is cold", () => {
  const servers = new ColdServers({ policyOf: () => undefined });
  servers.recordEntry(server, undefined, 0);
  servers.recordRefusedConnection(server, 0);
  assert.equal(servers.allowanceFor(server, 0), undefined);
});

// Requests that were sent before the news arrived count in the same second.
test("a warm server that becomes cold gets nothing for one second", () => {
  const servers = createServers();
  servers.recordEntry(warm, undefined, 0);
  servers.recordEntry(server, warm, 500);
  assert.equal(servers.allowanceFor(server, 1_499)?.kind, "refused");
  assert.equal(servers.allowanceFor(server, 1_500)?.kind, "allowed");
});

test("a lifetime does not inherit what was known of the one before", () => {
  const servers = createServers();
  servers.recordEntry(server, undefined, 0);
  while (trySend(servers, 100));
  servers.recordEntry(restarted, server, 200);
  assert.ok(trySend(servers, 200, restarted));
  assert.equal(servers.allowanceFor(server, 200), undefined);
});

test("a server that refuses connections counts as cold until a later entry says otherwise", () => {
  const servers = createServers();
  servers.recordEntry(warm, undefined, 0);
  assert.ok(servers.recordRefusedConnection(warm, 1_000));
  // It may have been written before the server went down.
  servers.recordEntry(warm, warm, 1_800);
  assert.equal(servers.count(1_800), 1);
  servers.recordEntry(warm, warm, 2_300);
  assert.equal(servers.count(2_300), 0);
});

test("a report of a peer is not passed on, one of a dependent is, and late ones shorten nothing", () => {
  const servers = createServers();
  const known = {
    server: server.id,
    serverStartedAt: 1,
    leftMilliseconds: 2_000,
    isPresumed: false,
  };
  servers.recordKnown(server, known, 0, { isDependent: false });
  assert.deepEqual(servers.known(0), []);
  servers.recordKnown(server, known, 0, { isDependent: true });
  assert.deepEqual(servers.known(500), [{ ...known, leftMilliseconds: 1_500 }]);
  const late = { ...known, leftMilliseconds: 10 };
  servers.recordKnown(server, late, 600, { isDependent: true });
  assert.equal(servers.count(1_999), 1);
});

test("an instance that wakes from a freeze and hears nobody spends less than its share", () => {
  const servers = createServers({ coordinators: ["c0"], members: 8, heard: 1 });
  servers.recordEntry(server, undefined, 0);
  let sends = 0;
  for (let now = 2_000; now < 3_000; now += 10) {
    while (trySend(servers, now)) sends += 1;
  }
  assert.equal(sends, 3);
});
