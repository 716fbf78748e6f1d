import assert from "node:assert/strict";
import { test } from "node:test";
import type { PromptPartId } from "../common/ids.ts";
import type { Timers } from "../common/timers.ts";
import { ConvictionSchedule } from "./conviction-schedule.ts";

const part = "part" as PromptPartId;

/** Plays checks in virtual time, in which each timer fires a little early. */
async function play(
  { dueAt, confirmations }: { dueAt: number; confirmations: boolean[] },
): Promise<number | undefined> {
  let now = 0;
  let convictedAt: number | undefined;
  const queue: { at: number; run: () => void }[] = [];
  const schedule = new ConvictionSchedule({
    waitOf: () =>
      convictedAt === undefined ? Math.max(0, dueAt - now) : undefined,
    confirm: () => Promise.resolve(confirmations.shift() ?? true),
    convict: () => convictedAt = now,
    timers: {
      after: (milliseconds: number, run: () => void) =>
        queue.push({ at: now + Math.max(0.1, milliseconds - 0.5), run }),
    } as unknown as Timers,
    now: () => now,
  });
  schedule.check(part, dueAt);
  schedule.check(part, dueAt);
  assert.equal(queue.length, 1);
  for (let turn = 0; turn < 20 && queue.length > 0; turn++) {
    const { at, run } = queue.shift()!;
    now = at;
    run();
    for (let step = 0; step < 5; step++) await Promise.resolve();
  }
  return convictedAt;
}

test("a timer that fires early does not leave a part without a verdict", async () => {
  const convictedAt = await play({ dueAt: 250, confirmations: [true] });
  assert.ok(convictedAt !== undefined && convictedAt >= 250);
});

test("a part whose check was not answered is checked again", async () => {
  assert.notEqual(
    await play({ dueAt: 250, confirmations: [false, false, true] }),
    undefined,
  );
});
