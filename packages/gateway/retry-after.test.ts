import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../common/random.ts";
import {
  defaultRetryAfterMilliseconds,
  retryAfterDeadlineShare,
} from "./constants.ts";
import { chooseRetryAfter } from "./retry-after.ts";

const remainingMilliseconds = 5_000;
const latest = remainingMilliseconds * retryAfterDeadlineShare;

test("callers that are refused together come back spread over the time that they can wait", () => {
  const source = new SeededRandom(7);
  const slices = 10;
  const callers = 1_000;
  const returning = new Array<number>(slices).fill(0);
  for (let caller = 0; caller < callers; caller++) {
    const at = chooseRetryAfter({
      expectedWaitMilliseconds: 100,
      remainingMilliseconds,
      random: () => source.next(),
    });
    assert.ok(at >= defaultRetryAfterMilliseconds && at <= latest);
    const slice = (at - defaultRetryAfterMilliseconds) /
      (latest - defaultRetryAfterMilliseconds) * slices;
    returning[Math.floor(slice)]! += 1;
  }
  for (const count of returning) {
    assert.ok(count < 1.5 * callers / slices, `${count} came back together`);
  }
});

test("nobody comes back before room is expected", () => {
  const at = chooseRetryAfter({
    expectedWaitMilliseconds: 900,
    remainingMilliseconds,
    random: () => 0,
  });
  assert.equal(at, 900);
});

test("a wait beyond the caller's time is stated as it is", () => {
  const at = chooseRetryAfter({
    expectedWaitMilliseconds: 2_000,
    remainingMilliseconds: 1_000,
    random: () => 0.5,
  });
  assert.equal(at, 2_000);
});
