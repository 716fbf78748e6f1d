/**
 * Plays online requests and batch jobs on shared servers in virtual time, with the decisions of the
 * product, and checks what the callers of both get.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceId } from "../common/ids.ts";
import { SeededRandom } from "../common/random.ts";
import {
  chooseServer,
  type ServerCandidate,
} from "../gateway/choose-server.ts";
import { chooseBatchServer, slotsKeptFreeFor } from "./choose-batch-server.ts";
import {
  executorIntervalMilliseconds,
  itemRetryMilliseconds,
  resultDeliveryMilliseconds,
} from "./constants.ts";
import { compareUrgency } from "./urgency.ts";

const servers = 50;
const slots = 8;
const tickMilliseconds = 10;
const playedSeconds = 40;
const dueMilliseconds = 18_000;
const onlineMilliseconds = 700;
const averageRunMilliseconds = 6_000;
/** Time in which a server that takes up a run again generates nothing. */
const resumeMilliseconds = 250;
/** Age up to which the view of the loads is outdated. */
const viewLagMilliseconds = 60;
/** The online load changes between these shares of its mean. */
const loadSteps = [0.6, 1.6, 0.8];
const loadStepMilliseconds = 4_000;
const itemsOfJob = 10;
/** Stated targets: shares of the items, and of the online requests begun within their objective. */
const itemsInTimeTarget = 0.9;
const onlineInTimeTarget = 0.99;
const onlineObjectiveMilliseconds = 300;

interface Item {
  readonly arrivesAt: number;
  readonly dueAt: number;
  readonly runMilliseconds: number;
  doneMilliseconds: number;
  startedAt: number;
  retryAt: number;
}

interface OnlineRequest {
  readonly arrivesAt: number;
  leftMilliseconds: number;
  beganAt: number | undefined;
}

interface Server {
  online: OnlineRequest[];
  batch: Item[];
}

interface Load {
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly itemsPerSecond: number;
}

function planItems(random: SeededRandom, itemsPerSecond: number): Item[] {
  const items: Item[] = [];
  for (let at = 0; at < playedSeconds * 1_000;) {
    at += random.nextArrivalMilliseconds(itemsPerSecond / itemsOfJob);
    for (let item = 0; item < itemsOfJob; item++) {
      items.push({
        arrivesAt: at,
        dueAt: at + dueMilliseconds,
        runMilliseconds: averageRunMilliseconds * (0.7 + 0.6 * random.next()),
        doneMilliseconds: 0,
        startedAt: 0,
        retryAt: at,
      });
    }
  }
  return items;
}

function planRequests(
  random: SeededRandom,
  requestsPerSecond: number,
): OnlineRequest[] {
  const requests: OnlineRequest[] = [];
  for (let at = 0; at < playedSeconds * 1_000;) {
    const step = Math.floor(at / loadStepMilliseconds) % loadSteps.length;
    at += random.nextArrivalMilliseconds(requestsPerSecond * loadSteps[step]!);
    requests.push({
      arrivesAt: at,
      leftMilliseconds: onlineMilliseconds,
      beganAt: undefined,
    });
  }
  return requests;
}

function describe(fleet: readonly Server[]): ServerCandidate[] {
  return fleet.map(({ online, batch }, index) => ({
    id: String(index) as InstanceId,
    slots,
    online: online.length,
    batch: batch.length,
    isSameZone: true,
    isAvoided: false,
    failureShare: 0,
  }));
}

const urgencyOf = (item: Item) => ({
  dueAt: item.dueAt,
  remainingMilliseconds: Math.max(
    1,
    averageRunMilliseconds - item.doneMilliseconds,
  ),
});

class Play {
  readonly #random: SeededRandom;
  readonly #fleet: Server[] = Array.from(
    { length: servers },
    () => ({ online: [], batch: [] }),
  );
  readonly #views: ServerCandidate[][] = [];
  readonly #waiting = new Set<Item>();
  itemsInTime = 0;

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  run(items: readonly Item[], requests: readonly OnlineRequest[]): void {
    const end = playedSeconds * 1_000 + dueMilliseconds;
    let nextItem = 0;
    let nextRequest = 0;
    for (let now = 0; now < end; now += tickMilliseconds) {
      for (; (items[nextItem]?.arrivesAt ?? Infinity) <= now; nextItem++) {
        this.#waiting.add(items[nextItem]!);
      }
      this.#views.push(describe(this.#fleet));
      for (
        ;
        (requests[nextRequest]?.arrivesAt ?? Infinity) <= now;
        nextRequest++
      ) this.#place(requests[nextRequest]!, now);
      for (const server of this.#fleet) this.#advance(server, now);
      if (now % executorIntervalMilliseconds === 0) this.#startItems(now);
    }
  }

  #place(request: OnlineRequest, now: number): void {
    const lag = Math.floor(
      this.#random.next() * viewLagMilliseconds / tickMilliseconds,
    );
    const choice = chooseServer(
      this.#views[Math.max(0, this.#views.length - 1 - lag)]!,
      {
        durationMilliseconds: onlineMilliseconds,
        acceptableWaitMilliseconds: onlineObjectiveMilliseconds,
        random: () => this.#random.next(),
      },
    );
    if (choice.kind !== "send") return;
    const server = this.#fleet[Number(choice.server.id)]!;
    server.online.push(request);
    const isFull = server.online.length + server.batch.length > slots;
    if (!choice.displacesBatch && !isFull) return;
    const [leastUrgent] = server.batch.sort((left, right) =>
      compareUrgency(urgencyOf(right), urgencyOf(left), { now })
    );
    if (!leastUrgent) return;
    server.batch = server.batch.filter((item) => item !== leastUrgent);
    leastUrgent.retryAt = now + itemRetryMilliseconds;
    this.#waiting.add(leastUrgent);
  }

  /** Runs the requests of a server for one tick, online ones first. */
  #advance(server: Server, now: number): void {
    for (const request of server.online.slice(0, slots)) {
      request.beganAt ??= now;
      request.leftMilliseconds -= tickMilliseconds;
    }
    const slotsLeft = Math.max(0, slots - server.online.length);
    for (const item of server.batch.slice(0, slotsLeft)) {
      if (now - item.startedAt < resumeMilliseconds) continue;
      item.doneMilliseconds += tickMilliseconds;
    }
    server.online = server.online.filter((request) =>
      request.leftMilliseconds > 0
    );
    server.batch = server.batch.filter((item) => {
      if (item.doneMilliseconds < item.runMilliseconds) return true;
      if (now + resultDeliveryMilliseconds <= item.dueAt) this.itemsInTime += 1;
      return false;
    });
  }

  #startItems(now: number): void {
    const ready = [...this.#waiting]
      .filter((item) => item.retryAt <= now)
      .sort((left, right) =>
        compareUrgency(urgencyOf(left), urgencyOf(right), { now })
      );
    for (const item of ready) {
      const slack = item.dueAt - now - urgencyOf(item).remainingMilliseconds -
        resultDeliveryMilliseconds;
      const server = chooseBatchServer(
        describe(this.#fleet),
        slotsKeptFreeFor(slack),
      );
      if (server === undefined) continue;
      this.#waiting.delete(item);
      item.startedAt = now;
      this.#fleet[Number(server)]!.batch.push(item);
    }
  }
}

function play({ seed, requestsPerSecond, itemsPerSecond }: Load) {
  const random = new SeededRandom(seed);
  const items = planItems(random, itemsPerSecond);
  const requests = planRequests(random, requestsPerSecond);
  const played = new Play(random);
  played.run(items, requests);
  const onlineInTime = requests.filter(({ arrivesAt, beganAt }) =>
    beganAt !== undefined && beganAt - arrivesAt <= onlineObjectiveMilliseconds
  );
  return {
    itemsInTime: played.itemsInTime / items.length,
    onlineInTime: onlineInTime.length / requests.length,
  };
}

const loads = [
  { requestsPerSecond: 300, itemsPerSecond: 34 },
  { requestsPerSecond: 240, itemsPerSecond: 45 },
];

for (const load of loads) {
  test(`with ${load.requestsPerSecond} requests and ${load.itemsPerSecond} items a second on ${servers} servers, both are served in time`, () => {
    for (const seed of [1, 2, 3]) {
      const shares = play({ seed, ...load });
      const message = `${JSON.stringify(shares)}, seed ${seed}`;
      assert.ok(shares.itemsInTime >= itemsInTimeTarget, message);
      assert.ok(shares.onlineInTime >= onlineInTimeTarget, message);
    }
  });
}
