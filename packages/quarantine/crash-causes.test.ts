/**
 * Mixes of causes under which servers crash, with ordinary traffic beside them: parts that requests
 * share, requests with a cause of their own, one faulty server, and many servers at once.
 */

import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { SeededRandom } from "../common/random.ts";
import { PlayedFleet, type PlayOptions } from "./testing/played-fleet.ts";

/** Mixes that are played in CI; more are played by hand, see `MIXES` and `FIRST_MIX`. */
const mixes = Number(process.env["MIXES"] ?? 4);
const firstMix = Number(process.env["FIRST_MIX"] ?? 1);
const mixMilliseconds = 20_000;
const settledMilliseconds = 3_000;
const lateSendsAllowed = 3;

interface MixFigures {
  readonly soundRequests: number;
  /** Sound requests that were rejected by the verdict on a part (false positives). */
  readonly rejectedSound: number;
  readonly failedSound: number;
  readonly serverCrashes: number;
  /** Sends of requests with a poisoned part after it should have been found. */
  readonly lateSends: number;
  /** Sends of requests that had ended three servers before (false negatives). */
  readonly forbiddenSends: number;
}

const commonTraffic = {
  instances: 11,
  servers: 8,
  slots: 8,
  requestsPerSecond: 38,
  rareParts: 150,
  repeats: 3,
  milliseconds: mixMilliseconds,
} as const;

/** Requests of one or two kinds that crash their servers, beside faults of the servers. */
function ownCauses(seed: number): PlayOptions {
  const random = mixRandom(seed);
  const share = () => 0.01 + random.next() * 0.04;
  return {
    ...commonTraffic,
    seed,
    crashingShares: random.next() < 0.5 ? [share()] : [share(), share()],
    ...serverFaults(random),
  };
}

/** A shared part that crashes servers, beside requests with a cause of their own. */
function sharedAndOwnCauses(seed: number): PlayOptions {
  const random = mixRandom(seed);
  return {
    ...commonTraffic,
    seed,
    poisonedShare: 0.02 + random.next() * 0.18,
    crashingShares: random.next() < 0.5 ? [] : [random.next() * 0.02],
    ...serverFaults(random),
  };
}

/** The first numbers of neighboring seeds are alike. */
function mixRandom(seed: number): SeededRandom {
  return new SeededRandom(Math.imul(seed, 0x9e3779b1));
}

function serverFaults(random: SeededRandom) {
  return {
    faultyServerCrashesPerSecond: random.next() < 0.3 ? 0.3 : 0,
    massCrashes: random.next() < 0.3
      ? [{ at: random.next() * mixMilliseconds, share: random.next() }]
      : [],
  };
}

async function playMixes(
  mixOf: (seed: number) => PlayOptions,
): Promise<MixFigures[]> {
  const figures = [];
  for (let seed = firstMix; seed < firstMix + mixes; seed++) {
    const fleet = new PlayedFleet(mixOf(seed));
    await fleet.play();
    figures.push({
      soundRequests: fleet.arrivedSound.length,
      rejectedSound: fleet.rejectedSound.length,
      failedSound: fleet.failedSound.length,
      serverCrashes: fleet.serverCrashes,
      lateSends: fleet.lateSends(settledMilliseconds),
      forbiddenSends: fleet.forbiddenSends,
    });
  }
  return figures;
}

/** Checks each mix and reports the figures of all. */
function check(figures: readonly MixFigures[], log: (text: string) => void) {
  const sum = (name: keyof MixFigures) =>
    figures.reduce((total, one) => total + one[name], 0);
  const names = Object.keys(figures[0]!) as (keyof MixFigures)[];
  log(names.map((name) => `${name}=${sum(name)}`).join(" "));
  const broken = {
    rejected:
      figures.filter((one) => one.rejectedSound > 5 + one.soundRequests / 500)
        .length,
    late: figures.filter(({ lateSends }) => lateSends > lateSendsAllowed)
      .length,
    forbidden: figures.filter(({ forbiddenSends }) => forbiddenSends > 0)
      .length,
  };
  log(JSON.stringify(broken));
  assert.deepEqual(broken, { rejected: 0, late: 0, forbidden: 0 });
}

// Guards against verdicts on parts that only were in requests beside the cause, and against
// requests that go on crashing servers since no other request shares their cause.
test("requests that crash servers for a reason of their own are found, not what they share", async (context) => {
  check(await playMixes(ownCauses), (text) => context.diagnostic(text));
});

// Guards against a shared cause that is taken for many causes of single requests.
test("a shared part that crashes servers is found beside requests with their own cause", async (context) => {
  check(
    await playMixes(sharedAndOwnCauses),
    (text) => context.diagnostic(text),
  );
});
