import assert from "node:assert/strict";
import { test } from "node:test";
import fastCheck from "fast-check";
import type { JobId, RouteId, WorkspaceId } from "../common/ids.ts";
import { tokenReservationMilliseconds } from "./constants.ts";
import { type TokenDemand, WaitingTokens } from "./waiting-tokens.ts";

const nothingRecorded = { waiting: 0, finished: 0, isRecorded: () => false };

function demand(job: string, tokens: number, maximumTokens = 100): TokenDemand {
  return {
    job: job as JobId,
    workspace: "w" as WorkspaceId,
    route: "r" as RouteId,
    tokens,
    maximumTokens,
  };
}

test("jobs that arrive before any of them is recorded do not exceed the limit together", () => {
  const tokens = new WaitingTokens();
  const decisions = Array.from(
    { length: 10 },
    (_, index) => tokens.reserve(demand(`j${index}`, 30), nothingRecorded, 0),
  );
  assert.equal(decisions.filter(({ isAdmitted }) => isAdmitted).length, 3);
});

test("a repeated submission reserves its tokens only once", () => {
  const tokens = new WaitingTokens();
  for (let attempt = 0; attempt < 5; attempt++) {
    const decision = tokens.reserve(demand("j", 60), nothingRecorded, attempt);
    assert.equal(decision.isAdmitted, true);
  }
});

test("a recorded job is admitted again although the limit is reached", () => {
  const tokens = new WaitingTokens();
  const recorded = { waiting: 100, finished: 0, isRecorded: () => true };
  assert.equal(tokens.reserve(demand("j", 60), recorded, 0).isAdmitted, true);
});

test("a limit of 0 admits everything", () => {
  const tokens = new WaitingTokens();
  const recorded = { ...nothingRecorded, waiting: 1e9 };
  const decision = tokens.reserve(demand("j", 1e9, 0), recorded, 0);
  assert.equal(decision.isAdmitted, true);
});

test("a released or expired reservation makes room", () => {
  const tokens = new WaitingTokens();
  tokens.reserve(demand("a", 100), nothingRecorded, 0);
  assert.equal(
    tokens.reserve(demand("b", 1), nothingRecorded, 0).isAdmitted,
    false,
  );
  tokens.release(demand("a", 100));
  assert.equal(
    tokens.reserve(demand("b", 100), nothingRecorded, 0).isAdmitted,
    true,
  );
  const later = tokenReservationMilliseconds + 1;
  assert.equal(
    tokens.reserve(demand("c", 100), nothingRecorded, later).isAdmitted,
    true,
  );
});

test("Retry-After is the time in which the excess is worked off", () => {
  const tokens = new WaitingTokens();
  const recorded = (finished: number) => ({
    waiting: 100,
    finished,
    isRecorded: () => false,
  });
  tokens.reserve(demand("a", 20), recorded(0), 0);
  const decision = tokens.reserve(demand("a", 20), recorded(10), 1_000);
  assert.deepEqual(decision, {
    isAdmitted: false,
    waitingTokens: 100,
    retryAfterMilliseconds: 2_000,
  });
});

test("the waiting tokens never exceed the limit, in any order of submissions, records and results", () => {
  const action = fastCheck.oneof(
    fastCheck.record({
      kind: fastCheck.constant("submit" as const),
      tokens: fastCheck.integer({ min: 1, max: 60 }),
    }),
    fastCheck.record({
      kind: fastCheck.constantFrom("record" as const, "finish" as const),
      index: fastCheck.nat(30),
    }),
  );
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(action, { maxLength: 60 }),
      (actions) => {
        const tokens = new WaitingTokens();
        const accepted: { id: JobId; tokens: number; isRecorded: boolean }[] =
          [];
        let finished = 0;
        for (const [now, step] of actions.entries()) {
          if (step.kind === "submit") {
            const id = `j${now}` as JobId;
            const recordedJobs = accepted.filter((job) => job.isRecorded);
            const decision = tokens.reserve(demand(id, step.tokens), {
              waiting: recordedJobs.reduce((sum, job) => sum + job.tokens, 0),
              finished,
              isRecorded: (job) =>
                recordedJobs.some((entry) => entry.id === job),
            }, now);
            if (decision.isAdmitted) {
              accepted.push({ id, tokens: step.tokens, isRecorded: false });
            }
          } else {
            const job = accepted[step.index % Math.max(1, accepted.length)];
            if (!job) continue;
            if (step.kind === "record") job.isRecorded = true;
            else if (job.isRecorded) {
              finished += job.tokens;
              job.tokens = 0;
            }
          }
          const waiting = accepted.reduce((sum, job) => sum + job.tokens, 0);
          assert.ok(waiting <= 100, `${waiting} tokens wait`);
        }
      },
    ),
  );
});
