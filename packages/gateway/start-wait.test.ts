import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../common/random.ts";
import { VirtualTime } from "../common/testing/virtual-time.ts";
import {
  maximumRequestsHeldAtStart,
  startWaitMilliseconds,
} from "./constants.ts";
import { StartWait } from "./start-wait.ts";

/** Plays callers who come back at the same time as an instance whose documents take a while. */
async function play(
  { documentsAfterMilliseconds, requestsPerSecond }: {
    documentsAfterMilliseconds: number;
    requestsPerSecond: number;
  },
) {
  const time = new VirtualTime();
  const random = new SeededRandom(1);
  const wait = new StartWait({ timers: time });
  const seen = { handled: 0, refused: 0, longestWaitMilliseconds: 0 };
  const answered = (arrivedAt: number) => {
    seen.longestWaitMilliseconds = Math.max(
      seen.longestWaitMilliseconds,
      time.monotonicNow() - arrivedAt,
    );
  };
  let areDocumentsThere = false;
  const arrive = () => {
    const arrivedAt = time.monotonicNow();
    const handle = () => {
      seen.handled += 1;
      answered(arrivedAt);
    };
    const refuse = () => {
      seen.refused += 1;
      answered(arrivedAt);
    };
    if (areDocumentsThere) handle();
    else wait.hold({ handle, refuse });
  };
  for (let at = 0; at < 2_000;) {
    at += random.nextArrivalMilliseconds(requestsPerSecond);
    time.after(at, arrive);
  }
  time.after(documentsAfterMilliseconds, () => {
    areDocumentsThere = true;
    wait.end();
  });
  await time.runUntil(3_000);
  return seen;
}

test("callers who come back with the instance are all served", async () => {
  const seen = await play({
    documentsAfterMilliseconds: 400,
    requestsPerSecond: 20,
  });
  assert.equal(seen.refused, 0);
  assert.ok(seen.handled > 20);
  assert.ok(seen.longestWaitMilliseconds <= 400);
});

test("an instance without documents holds no request beyond the time for its start", async () => {
  const seen = await play({
    documentsAfterMilliseconds: 10_000,
    requestsPerSecond: 20,
  });
  assert.equal(seen.handled, 0);
  assert.ok(seen.refused > 20);
  assert.ok(seen.longestWaitMilliseconds <= startWaitMilliseconds);
});

test("no more than the maximum number of requests is held", async () => {
  const seen = await play({
    documentsAfterMilliseconds: 1_000,
    requestsPerSecond: 2 * maximumRequestsHeldAtStart,
  });
  assert.ok(seen.refused > maximumRequestsHeldAtStart / 2);
});
