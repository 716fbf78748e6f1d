import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import { VirtualTime } from "../common/testing/virtual-time.ts";
import { Blackboard } from "../fleet/blackboard.ts";
import type {
  Placement,
  PlacementRequest,
  Placer,
} from "../gateway/placement.ts";
import type { CoordinatorClient } from "./coordinator-client.ts";
import { undecidedWaitMilliseconds } from "./constants.ts";
import { RemotePlacer } from "./remote-placer.ts";

const decided = {
  kind: "send",
  server: { id: "s" as InstanceId },
  displacesBatch: false,
} as Placement;
const limited = { kind: "limited", retryAfterMilliseconds: 5 } as Placement;
const request = {
  service: "service" as UpstreamName,
  excluded: new Set(),
  objectiveMilliseconds: 300,
  waitTolerance: "in_time",
  limitedWorkspace: {
    id: "large" as WorkspaceId,
    ratePerSecond: 40,
    burst: 20,
  },
} as unknown as PlacementRequest;

/** A dependent whose coordinators decide from a given time on. */
function createPlacer(
  { decideFrom, areReached, own = limited }: {
    decideFrom: number;
    areReached: boolean;
    own?: Placement;
  },
) {
  const time = new VirtualTime();
  const client = {
    ask: () =>
      Promise.resolve(time.monotonicNow() >= decideFrom ? decided : undefined),
    isUndecidedSince: () => areReached,
    handleLoadChange: () => {},
  } as unknown as CoordinatorClient;
  const placer = new RemotePlacer({
    client,
    fallback: { place: () => Promise.resolve(own) } as unknown as Placer,
    blackboard: new Blackboard({ initialDurationMilliseconds: 700 }),
    zone: "z",
    now: time.monotonicNow,
    timers: time,
  });
  return async () => {
    let placement: Placement | undefined;
    let answeredAt: number | undefined;
    void placer.place(request).then((reply) => {
      placement = reply;
      answeredAt = time.monotonicNow();
    });
    await time.runUntil(5_000);
    return { placement, answeredAt };
  };
}

test("a limited request waits for coordinators that have just started, and is served", async () => {
  const place = createPlacer({ decideFrom: 450, areReached: true });
  const { placement, answeredAt } = await place();
  assert.equal(placement, decided);
  assert.ok(answeredAt! <= 600, `${answeredAt} ms`);
});

test("a limited request is refused at once if no coordinator is reached", async () => {
  const place = createPlacer({ decideFrom: 450, areReached: false });
  const { placement, answeredAt } = await place();
  assert.equal(placement?.kind, "limited");
  assert.equal(answeredAt, 0);
});

test("a limited request does not wait for ever for coordinators that never decide", async () => {
  const place = createPlacer({ decideFrom: 1e9, areReached: true });
  const { placement, answeredAt } = await place();
  assert.equal(placement?.kind, "limited");
  assert.ok(answeredAt! <= undecidedWaitMilliseconds + 100);
});

test("a request that the instance may place by itself does not wait", async () => {
  const place = createPlacer({
    decideFrom: 450,
    areReached: true,
    own: decided,
  });
  const { placement, answeredAt } = await place();
  assert.deepEqual([placement, answeredAt], [decided, 0]);
});
