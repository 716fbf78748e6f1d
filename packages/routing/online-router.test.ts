/**
 * Routing of online requests: which failures are retried, what is reported to capacity, and that
 * no attempt starts once the check of a request has failed.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { CallerError, UpstreamError } from "../common/errors.ts";
import type { UpstreamName } from "../common/ids.ts";
import { SeededRandom } from "../common/random.ts";
import type { Verdict } from "../common/verdict.ts";
import type { Route, Upstream } from "../control/document.ts";
import { UpstreamRouter } from "./online-router.ts";
import type {
  OnlineChatRequest,
  OnlineRouteRequest,
  UpstreamRequest,
  UpstreamResponse,
} from "./upstream-caller.ts";

type Outcome = Verdict | readonly (string | Error)[];

function createRouter(names: readonly string[], outcomes: Outcome[]) {
  const calls: UpstreamRequest[] = [];
  const inFlight = new Map<string, number>();
  const attempts: string[] = [];
  const live = new Set(names);
  const engines = names.map((name) => ({ name }) as Upstream);
  let now = 0;
  const router = new UpstreamRouter({
    caller: {
      async call(request): Promise<UpstreamResponse> {
        calls.push(request);
        await Promise.resolve();
        const outcome = outcomes.shift() ?? ["ok"];
        if (typeof outcome === "string") {
          throw new UpstreamError("upstream_failed", "failed", {
            verdict: outcome,
          });
        }
        return {
          upstream: request.upstream,
          status: 200,
          headers: {},
          body: (async function* () {
            for (const part of outcome) {
              await Promise.resolve();
              if (part instanceof Error) throw part;
              yield Buffer.from(part);
            }
          })(),
        };
      },
    },
    upstreams: {
      find: (name) => engines.find((engine) => engine.name === name),
      enginesOf: () => engines,
      isLive: (name) => live.has(name),
    },
    capacity: {
      trackOnlineRequest(name) {
        inFlight.set(name, (inFlight.get(name) ?? 0) + 1);
        return () => inFlight.set(name, (inFlight.get(name) ?? 0) - 1);
      },
      loadOf: (name) => (inFlight.get(name) ?? 0) / 4,
    },
    random: new SeededRandom(1),
    onAttempt: ({ outcome, isRetry }) => attempts.push(`${outcome} ${isRetry}`),
    clock: { monotonicNow: () => now, wallNow: () => 0 },
  });
  const chat = (changes: Partial<OnlineChatRequest> = {}) =>
    router.chat({
      model: "m",
      body: new Uint8Array(),
      prompt: "p",
      isStreamed: true,
      requestId: "r",
      checkBeforeAttempt: () => {},
      ...changes,
    } as OnlineChatRequest);
  const route = (repeatable: boolean) =>
    router.route({
      route: {
        upstreams: names as readonly UpstreamName[],
        repeatable,
      } as Route,
      method: "POST",
      path: "/",
      headers: {},
      requestId: "r",
      checkBeforeAttempt: () => {},
    } as unknown as OnlineRouteRequest);
  const running = () =>
    [...inFlight.values()].reduce((sum, count) => sum + count, 0);
  return {
    chat,
    route,
    calls,
    attempts,
    live,
    running,
    advance: (milliseconds: number) => now += milliseconds,
  };
}

async function textOf(response: UpstreamResponse): Promise<string> {
  let text = "";
  for await (const chunk of response.body) text += Buffer.from(chunk);
  return text;
}

const truncated = new UpstreamError("upstream_truncated", "cut", {
  verdict: "ran",
});

test("a call that may not be repeated is retried only if it has not run", async () => {
  const first = createRouter(["a", "b"], ["not_run"]);
  assert.equal(await textOf(await first.route(false)), "ok");
  assert.deepEqual(first.attempts, ["upstream_failed false", "answered true"]);
  assert.equal(new Set(first.calls.map((call) => call.upstream)).size, 2);
  for (const verdict of ["unknown", "ran"] as const) {
    const second = createRouter(["a", "b"], [verdict]);
    await assert.rejects(second.route(false), { verdict });
    assert.equal(second.calls.length, 1);
    const failing = createRouter(["a", "b", "c"], [verdict, verdict, verdict]);
    await assert.rejects(failing.route(true), { verdict });
    assert.equal(failing.calls.length, 2);
    const third = createRouter(["a", "b"], [verdict]);
    assert.equal(await textOf(await third.route(true)), "ok");
  }
});

test("a request is retried only until a byte of a response was passed on", async () => {
  const before = createRouter(["a", "b"], [[truncated], ["whole"]]);
  assert.equal(await textOf(await before.chat()), "whole");
  const after = createRouter(["a", "b"], [["one", truncated], ["whole"]]);
  await assert.rejects(textOf(await after.chat()), truncated);
  assert.equal(after.calls.length, 1);
  const whole = createRouter(["a", "b"], [["one", truncated], ["whole"]]);
  assert.equal(await textOf(await whole.chat({ isStreamed: false })), "whole");
  assert.equal(after.running() + before.running() + whole.running(), 0);
});

test("the verdict of an earlier attempt survives later attempts that have not run", async () => {
  const failing = createRouter(["a", "b", "c"], [
    "unknown",
    "not_run",
    "not_run",
  ]);
  await assert.rejects(failing.chat(), { verdict: "unknown" });
  let checks = 0;
  const withdrawn = createRouter(["a", "b"], ["ran"]);
  await assert.rejects(
    withdrawn.chat({
      checkBeforeAttempt: () => {
        if (++checks === 2) {
          throw new CallerError({
            status: 401,
            code: "unknown_key",
            message: "",
          });
        }
      },
    }),
    { code: "unknown_key", verdict: "ran" },
  );
  assert.equal(withdrawn.calls.length, 1);
});

test("the check runs in the turn in which the attempt starts", async () => {
  const router = createRouter(["a"], []);
  const order: string[] = [];
  await router.chat({
    checkBeforeAttempt: () => {
      order.push(`check ${router.calls.length}`);
      queueMicrotask(() => order.push(`turn over ${router.calls.length}`));
    },
  });
  assert.deepEqual(order, ["check 0", "turn over 1"]);
});

test("the end is reported to capacity once, also when the reader stops early", async () => {
  const router = createRouter(["a"], [["1", "2", "3"], ["1", "2"]]);
  const response = await router.chat();
  assert.equal(router.running(), 1);
  for await (const _chunk of response.body) break;
  assert.equal(router.running(), 0);
  const second = await router.chat();
  assert.equal(await textOf(second), "12");
  await second.body[Symbol.asyncIterator]().return?.();
  assert.equal(router.running(), 0);
});

test("the retry budget keeps a failing fleet from receiving three times the load", async () => {
  const outcomes = Array.from({ length: 1_000 }, () => "not_run" as const);
  const router = createRouter(["a", "b", "c", "d"], outcomes);
  for (let request = 0; request < 100; request++) {
    await assert.rejects(router.chat(), { verdict: "not_run" });
  }
  assert.equal(router.calls.length, 100 + 13);
});

test("leaving and backed-off upstreams get no requests while others are available", async () => {
  const router = createRouter(["a", "b", "c"], ["not_run"]);
  await router.chat().then(textOf);
  const [failed] = router.calls;
  router.live.delete(
    ["a", "b", "c"].find((name) => name !== failed?.upstream)!,
  );
  for (let request = 0; request < 20; request++) {
    await router.chat({ prompt: `p${request}` } as Partial<OnlineChatRequest>)
      .then(textOf);
  }
  const used = new Set(router.calls.slice(2).map((call) => call.upstream));
  assert.equal(used.size, 1);
  assert.ok(!used.has(failed!.upstream));
  router.live.clear();
  await assert.rejects(router.chat(), { code: "no_upstream", status: 503 });
});
