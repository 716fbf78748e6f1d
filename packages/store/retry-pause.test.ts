import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreFullError, StoreUnavailableError } from "./keyed-store.ts";
import { retryPauseMilliseconds } from "./retry-pause.ts";

test("a full store is asked ever more rarely, another failure at the usual pauses", () => {
  const pausesAfter = (error: Error, growthLimit?: number) =>
    [1, 2, 3, 9, 5_000].map((attempt) =>
      retryPauseMilliseconds(error, {
        attempt,
        baseMilliseconds: 150,
        growthLimit,
      })
    );
  const full = new StoreFullError("full");
  const lost = new StoreUnavailableError("lost", { mayHaveTakenEffect: true });
  assert.deepEqual(pausesAfter(full), [300, 600, 1_200, 4_000, 4_000]);
  assert.deepEqual(pausesAfter(lost), [150, 150, 150, 150, 150]);
  assert.deepEqual(pausesAfter(lost, 4), [150, 300, 450, 600, 600]);
});
