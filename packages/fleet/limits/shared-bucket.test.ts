import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../../common/ids.ts";
import { SeededRandom } from "../../common/random.ts";
import { mostInWindow } from "../../common/testing/send-windows.ts";
import { type BucketLimit, SharedBucket } from "./shared-bucket.ts";
import { bucketLimitForWindow } from "./window-limit.ts";

const windowMilliseconds = 5_000;
const window = { windowMilliseconds, overage: 0.1 };
const stepMilliseconds = 5;
const reportMilliseconds = 100;

interface Fleet {
  buckets: SharedBucket[];
  admittedAt: number[];
  refused: number;
}

interface Simulation {
  limit: BucketLimit;
  instances: number;
  requestsPerSecond: number;
  seconds: number;
  seed: number;
  startsFull?: boolean;
  /** From this second on, instances hear only from those of their own half. */
  splitAtSecond?: number;
}

/** Simulates instances with random arrivals that exchange their counts once per interval. */
function simulate(options: Simulation): Fleet {
  const generator = new SeededRandom(options.seed);
  const random = () => generator.next();
  const ids = Array.from(
    { length: options.instances },
    (_, index) => `i${index}` as InstanceId,
  );
  const fleet: Fleet = {
    buckets: ids.map(() =>
      new SharedBucket(bucketLimitForWindow(options.limit, window), {
        now: 0,
        startsFull: options.startsFull ?? true,
        random,
      })
    ),
    admittedAt: [],
    refused: 0,
  };
  const isSplit = (now: number) =>
    options.splitAtSecond !== undefined && now >= options.splitAtSecond * 1_000;
  const hears = (left: number, right: number, now: number) =>
    !isSplit(now) || left % 2 === right % 2;
  const arrivalsPerStep = options.requestsPerSecond * stepMilliseconds / 1_000;
  for (let now = 0; now < options.seconds * 1_000; now += stepMilliseconds) {
    if (now % reportMilliseconds === 0) {
      for (const [index, bucket] of fleet.buckets.entries()) {
        for (const [other, peer] of fleet.buckets.entries()) {
          if (other === index || !hears(index, other, now)) continue;
          bucket.recordPeerUsage(ids[other]!, "one", peer.ownUsage());
        }
      }
      for (const [index, bucket] of fleet.buckets.entries()) {
        const heard = ids.filter((_, other) => hears(index, other, now)).length;
        bucket.refresh(now, { members: ids.length, heard });
      }
    }
    let arrivals = Math.floor(arrivalsPerStep) +
      (random() < arrivalsPerStep - Math.floor(arrivalsPerStep) ? 1 : 0);
    for (; arrivals > 0; arrivals--) {
      const bucket = fleet
        .buckets[Math.floor(random() * fleet.buckets.length)]!;
      if (bucket.take(now)) fleet.admittedAt.push(now);
      else fleet.refused += 1;
    }
  }
  return fleet;
}

/** Requests that operators allow in any window: the limit plus 10 % and 20 requests. */
function allowedInWindow({ ratePerSecond, burst }: BucketLimit): number {
  return (ratePerSecond * windowMilliseconds / 1_000 + burst) * 1.1 + 20;
}

for (const instances of [3, 11, 40]) {
  for (const ratePerSecond of [4, 33, 200]) {
    test(`${instances} instances limit a workspace that sends eight times its rate of ${ratePerSecond}/s`, () => {
      const limit = { ratePerSecond, burst: ratePerSecond };
      for (const seed of [1, 2, 3, 4, 5]) {
        const fleet = simulate({
          limit,
          instances,
          requestsPerSecond: ratePerSecond * 8,
          seconds: 20,
          seed,
        });
        const most = mostInWindow(fleet.admittedAt, windowMilliseconds);
        assert.ok(
          most <= allowedInWindow(limit),
          `${most} in a window, seed ${seed}`,
        );
        assert.ok(fleet.admittedAt.length >= ratePerSecond * 20 * 0.8);
      }
    });
  }
}

test("a workspace within its rate is refused about as rarely as with one central bucket", () => {
  for (const ratePerSecond of [2, 10, 50]) {
    const load = {
      limit: { ratePerSecond, burst: ratePerSecond },
      requestsPerSecond: ratePerSecond * 0.6,
      seconds: 60,
      seed: 7,
    };
    const central = simulate({ ...load, instances: 1 });
    const shared = simulate({ ...load, instances: 11 });
    const asked = shared.admittedAt.length + shared.refused;
    assert.ok(
      shared.refused <= central.refused + asked * 0.02,
      `${shared.refused} against ${central.refused} of ${asked} refused at ${ratePerSecond}/s`,
    );
  }
});

test("two halves of the fleet that cannot reach each other stay within the limit together", () => {
  const limit = { ratePerSecond: 33, burst: 33 };
  for (const seed of [1, 2, 3]) {
    const fleet = simulate({
      limit,
      instances: 10,
      requestsPerSecond: 33 * 5,
      seconds: 20,
      seed,
      splitAtSecond: 8,
    });
    const most = mostInWindow(fleet.admittedAt, windowMilliseconds);
    assert.ok(most <= allowedInWindow(limit));
  }
});

test("a restarted instance starts without the burst, since the fleet may have just spent it", () => {
  const bucket = new SharedBucket({ ratePerSecond: 10, burst: 50 }, {
    now: 0,
    startsFull: false,
  });
  bucket.refresh(0, { members: 1, heard: 1 });
  assert.equal(bucket.take(0), false);
  bucket.refresh(1_000, { members: 1, heard: 1 });
  assert.equal(bucket.take(1_000), true);
});

test("two restarted instances together admit about one initial level at first, not one each", () => {
  const limit = { ratePerSecond: 10, burst: 50 };
  const buckets = [0, 1].map(() =>
    new SharedBucket(limit, { now: 0, startsFull: false, initialLevel: 6 })
  );
  let admitted = 0;
  for (let now = 0; now < 100; now += 10) {
    for (const [index, bucket] of buckets.entries()) {
      const other = buckets[1 - index]!;
      bucket.recordPeerUsage("other" as InstanceId, "one", other.ownUsage());
      bucket.refresh(now, { members: 2, heard: 2 });
      if (bucket.take(now)) admitted += 1;
    }
  }
  assert.ok(admitted >= 5 && admitted <= 8, `${admitted} admitted`);
});

test("the first report of a restarted peer is not deducted from the level", () => {
  const bucket = new SharedBucket({ ratePerSecond: 10, burst: 10 }, {
    now: 0,
    startsFull: true,
  });
  const peer = "p" as InstanceId;
  bucket.recordPeerUsage(peer, "one", {
    admitted: 500,
    demandPerSecond: 1,
    level: 0,
  });
  bucket.recordPeerUsage(peer, "two", {
    admitted: 3,
    demandPerSecond: 1,
    level: 0,
  });
  bucket.recordPeerUsage(peer, "two", {
    admitted: 5,
    demandPerSecond: 1,
    level: 0,
  });
  assert.equal(bucket.level, 8);
});

test("a demand slightly above the rate, within the overage of a window, is rarely refused", () => {
  const limit = { ratePerSecond: 30, burst: 30 };
  const fleet = simulate({
    limit,
    instances: 11,
    requestsPerSecond: 31,
    seconds: 40,
    seed: 3,
  });
  assert.ok(
    fleet.refused <= fleet.admittedAt.length * 0.03,
    `${fleet.refused} of ${fleet.admittedAt.length} refused`,
  );
});

test("a copy that starts later takes the level that its peers know", () => {
  const limit = { ratePerSecond: 10, burst: 50 };
  const known = new SharedBucket(limit, { now: 0, startsFull: true });
  const late = new SharedBucket(limit, { now: 0, startsFull: false });
  const peer = "p" as InstanceId;
  known.refresh(0, { members: 2, heard: 2 });
  for (let request = 0; request < 20; request++) known.take(0);
  late.recordPeerUsage(peer, "one", known.ownUsage());
  assert.equal(late.level, 30);
  // Later reports only deduct what the peer has admitted since.
  known.take(0);
  late.recordPeerUsage(peer, "one", known.ownUsage());
  assert.equal(late.level, 29);
});
