/**
 * Engine selection by prefix affinity and load, and what it relies on: prefix rates, the retry
 * budget and the circuit breaker of upstreams.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamError } from "../common/errors.ts";
import { brandAs, type UpstreamName } from "../common/ids.ts";
import { SeededRandom } from "../common/random.ts";
import { chooseEngine, selectCandidates } from "./engine-candidates.ts";
import { affinityCandidateCountFor, PrefixRates } from "./prefix-rates.ts";
import { RetryBudget } from "./retry-budget.ts";
import { UpstreamHealth } from "./upstream-health.ts";

const ranked = Array.from({ length: 20 }, (_, index) => `e${index}`);

function createOptions(
  loads: Record<string, number>,
  options: {
    affinityCandidateCount?: number;
    seed?: number;
    excluded?: string[];
  } = {},
) {
  return {
    ranked,
    isAvailable: (name: string) => !options.excluded?.includes(name),
    affinityCandidateCount: options.affinityCandidateCount ?? 2,
    loadOf: (name: string) => loads[name] ?? 0,
    random: new SeededRandom(options.seed ?? 1),
  };
}

test("a prefix stays on its best-ranked engine until that engine is loaded", () => {
  for (let seed = 0; seed < 20; seed++) {
    assert.equal(chooseEngine(createOptions({}, { seed })), "e0");
    assert.equal(chooseEngine(createOptions({ e0: 0.2 }, { seed })), "e1");
    const busy = chooseEngine(createOptions({ e0: 0.9, e1: 0.9 }, { seed }));
    assert.ok(busy !== "e0" && busy !== "e1");
  }
});

test("a full engine is never chosen while another one has free capacity", () => {
  const loads = Object.fromEntries(ranked.map((name) => [name, 1]));
  for (let seed = 0; seed < 20; seed++) {
    const free = { ...loads, e17: 0.9, e18: 0.5 };
    assert.match(chooseEngine(createOptions(free, { seed })) ?? "", /e17|e18/);
    const full = { ...loads, e1: 3, e0: 2 };
    assert.equal(
      (full as Record<string, number>)[
        chooseEngine(createOptions(full, { seed })) ?? ""
      ],
      1,
    );
  }
});

test("candidates are the best-ranked available engines and two distinct random ones", () => {
  for (let seed = 0; seed < 50; seed++) {
    const names = selectCandidates(
      createOptions({}, { seed, excluded: ["e0"] }),
    )
      .map((candidate) => candidate.name);
    assert.deepEqual(names.slice(0, 2), ["e1", "e2"]);
    assert.equal(new Set(names).size, 4);
    assert.ok(!names.includes("e0"));
  }
  assert.equal(
    chooseEngine(createOptions({}, { excluded: ranked })),
    undefined,
  );
});

test("only a frequently requested prefix spreads, over at most 8 engines", () => {
  const rates = new PrefixRates();
  let rate = 0;
  for (let now = 0; now < 60_000; now += 1_000) {
    rate = rates.record("slow", now);
  }
  assert.ok(Math.abs(rate - 1) < 0.2, `rate ${rate}`);
  assert.equal(affinityCandidateCountFor(rate), 2);
  for (let now = 0; now < 60_000; now += 100) rate = rates.record("hot", now);
  assert.ok(Math.abs(rate - 10) < 1, `rate ${rate}`);
  assert.equal(affinityCandidateCountFor(rate), 7);
  assert.equal(affinityCandidateCountFor(1_000), 8);
});

test("the retry budget depends on the requests of the last 10 s", () => {
  let now = 0;
  const budget = new RetryBudget({ monotonicNow: () => now });
  for (let request = 0; request < 50; request++) budget.recordRequest();
  let retries = 0;
  while (budget.tryAcquire()) retries += 1;
  assert.equal(retries, 8);
  now = 11_000;
  while (budget.tryAcquire()) retries += 1;
  assert.equal(retries, 8 + 3);
});

test("a back-off doubles while probes fail and ends with the first success", () => {
  let now = 0;
  const health = new UpstreamHealth({ monotonicNow: () => now });
  const name = brandAs<UpstreamName>("e1");
  const fail = (verdict: string, status?: number) =>
    health.recordFailure(name, { code: "x", verdict, status } as UpstreamError);
  fail("unknown");
  fail("ran", 500);
  fail("unknown");
  assert.equal(health.isAvailable(name), true);
  fail("not_run");
  for (let request = 0; request < 10; request++) fail("not_run");
  assert.equal(health.isAvailable(name), false);
  now = 500;
  assert.equal(health.isAvailable(name), true);
  health.recordRequestStart(name);
  assert.equal(
    health.isAvailable(name),
    false,
    "a second request is admitted during the probe",
  );
  fail("not_run");
  now = 1_400;
  assert.equal(health.isAvailable(name), false);
  now = 1_500;
  assert.equal(health.isAvailable(name), true);
  health.recordRequestStart(name);
  health.recordResponseStart(name);
  assert.equal(health.isAvailable(name), true);
  fail("unknown");
  assert.equal(
    health.isAvailable(name),
    false,
    "a failure after the response began does not renew the back-off",
  );
  health.recordSuccess(name);
  fail("unknown");
  assert.equal(health.isAvailable(name), true);
});
