import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { InstanceId, UpstreamName } from "../common/ids.ts";
import { queueCheckIntervalMilliseconds } from "./constants.ts";
import type { Placer, RoomRequest } from "./placement.ts";
import { QueueWatch } from "./queue-watch.ts";

const server = "s" as InstanceId;
const roomRequest: RoomRequest = {
  server,
  service: "service" as UpstreamName,
  excluded: new Set(),
  objectiveMilliseconds: 300,
  waitTolerance: "in_time",
};

function createWatch({ hasRoomElsewhere = false, mayMove = true } = {}) {
  mock.timers.enable({ apis: ["setInterval"] });
  const seen = { now: 0, questions: 0, roomRequests: 0, moves: 0 };
  const watch: QueueWatch = new QueueWatch({
    placer: {
      makeRoom: () => seen.roomRequests += 1,
      findRoom: () => {
        seen.questions += 1;
        return Promise.resolve({ hasRoomElsewhere, isServerIdle: false });
      },
    } as unknown as Placer,
    server,
    moveAt: 2 * queueCheckIntervalMilliseconds,
    now: () => seen.now,
    roomRequest: () => mayMove ? roomRequest : undefined,
    onRoomRequested: () => {},
    onRoomElsewhere: () => {
      seen.moves += 1;
      watch.stop();
    },
  });
  watch.start();
  const advance = async () => {
    seen.now += queueCheckIntervalMilliseconds;
    mock.timers.tick(queueCheckIntervalMilliseconds);
    for (let turn = 0; turn < 5; turn++) await Promise.resolve();
  };
  return { watch, seen, advance };
}

test("a waiting request moves once, after its time at the first server", async (context) => {
  context.after(() => mock.timers.reset());
  const { seen, advance } = createWatch({ hasRoomElsewhere: true });
  await advance();
  assert.deepEqual([seen.questions, seen.roomRequests], [0, 1]);
  for (let check = 0; check < 4; check++) await advance();
  assert.equal(seen.moves, 1);
  assert.equal(seen.questions, 1);
});

test("a request that may not move only asks for room at its server", async (context) => {
  context.after(() => mock.timers.reset());
  const { watch, seen, advance } = createWatch({ mayMove: false });
  for (let check = 0; check < 5; check++) await advance();
  assert.deepEqual([seen.questions, seen.roomRequests], [0, 5]);
  watch.stop();
  await advance();
  assert.equal(seen.roomRequests, 5);
});
