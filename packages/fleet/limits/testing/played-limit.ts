/**
 * Plays coordinators that share the limit of one server, in virtual time. Their reports may be late,
 * doubled or lost, and coordinators die and start again.
 */

import type { InstanceId } from "../../../common/ids.ts";
import { SeededRandom } from "../../../common/random.ts";
import {
  type KnownLimit,
  ServerLimits,
  type ServerUsage,
} from "../server-limits.ts";

export interface LimitPlay {
  readonly seed: number;
  readonly coordinators: number;
  readonly limitPerSecond: number;
  /** Demand of the whole fleet, as a multiple of the limit. */
  readonly demandRatio: number;
  readonly lostShare: number;
  readonly doubledShare: number;
  readonly maximumDelayMilliseconds: number;
  readonly restartsPerSecond: number;
  readonly seconds: number;
}

interface Answer {
  readonly kind: "answer";
  readonly deliverAt: number;
  readonly sentAt: number;
  readonly limitPerSecond: number;
}

interface Report {
  readonly kind: "report";
  readonly deliverAt: number;
  readonly sender: number;
  readonly incarnation: string;
  readonly limits: readonly KnownLimit[];
  readonly usages: readonly ServerUsage[];
}

interface Coordinator {
  limits: ServerLimits;
  incarnation: string;
  /** Before this time it is down. */
  startsAt: number;
  inbox: (Report | Answer)[];
  heardAt: Map<number, number>;
}

const stepMilliseconds = 10;
const reportMilliseconds = 50;
const downMilliseconds = 400;
const heardTimeoutMilliseconds = 500;
const answerMilliseconds = 40;
const minimumDemandPerSecond = 2;
const server = { id: "s" as InstanceId, startedAtMilliseconds: 1 };

/** Returns the times of all sends. */
export function playLimit(play: LimitPlay): number[] {
  const generator = new SeededRandom(play.seed);
  const random = () => generator.next();
  const fleet = Array.from(
    { length: play.coordinators },
    (_, index): Coordinator => ({
      limits: new ServerLimits({ random }),
      incarnation: `${index}/0`,
      startsAt: 0,
      inbox: [],
      heardAt: new Map(),
    }),
  );
  const sends: number[] = [];
  const demandPerSecond = Math.max(
    minimumDemandPerSecond,
    play.limitPerSecond * play.demandRatio,
  );
  for (let now = 0; now < play.seconds * 1_000; now += stepMilliseconds) {
    for (const [index, coordinator] of fleet.entries()) {
      if (random() < play.restartsPerSecond * stepMilliseconds / 1_000) {
        coordinator.limits = new ServerLimits({ random });
        coordinator.incarnation = `${index}/${now}`;
        coordinator.startsAt = now + downMilliseconds;
        coordinator.inbox = [];
        coordinator.heardAt.clear();
      }
      if (now < coordinator.startsAt) continue;
      receive(coordinator, now);
      if (now % reportMilliseconds === 0) {
        tick(fleet, index, { now, random, play });
      }
    }
    let arrivals = demandPerSecond * stepMilliseconds / 1_000;
    for (; arrivals > 0; arrivals--) {
      if (random() >= arrivals) break;
      const coordinator = fleet[Math.floor(random() * fleet.length)]!;
      if (now < coordinator.startsAt) continue;
      if (send(coordinator, { now, limitPerSecond: play.limitPerSecond })) {
        sends.push(now);
      }
    }
  }
  return sends;
}

/** Sends a request if the limit allows it; the server's answer states the limit. */
function send(
  { limits, inbox }: Coordinator,
  { now, limitPerSecond }: {
    readonly now: number;
    readonly limitPerSecond: number;
  },
): boolean {
  const budget = limits.budgetOf(server, now);
  if (budget && budget.allowance < 1) return false;
  limits.take(server, now);
  const answeredAt = now + answerMilliseconds;
  inbox.push({
    kind: "answer",
    deliverAt: answeredAt,
    limitPerSecond,
    sentAt: now,
  });
  return true;
}

function receive(coordinator: Coordinator, now: number): void {
  const due = coordinator.inbox.filter(({ deliverAt }) => deliverAt <= now);
  coordinator.inbox = coordinator.inbox.filter(({ deliverAt }) =>
    deliverAt > now
  );
  for (const message of due) {
    if (message.kind === "answer") {
      coordinator.limits.record(server, message.limitPerSecond, {
        sentAt: message.sentAt,
        statedAt: now,
      });
      continue;
    }
    const { sender, incarnation, limits, usages } = message;
    coordinator.heardAt.set(sender, now);
    for (const known of limits) {
      coordinator.limits.recordKnown(known, now, { isDependent: false });
    }
    coordinator.limits.recordPeerUsages(
      `${sender}` as InstanceId,
      incarnation,
      usages,
    );
  }
}

function tick(
  fleet: Coordinator[],
  index: number,
  { now, random, play }: {
    now: number;
    random: () => number;
    play: LimitPlay;
  },
): void {
  const coordinator = fleet[index]!;
  const heard =
    [...coordinator.heardAt.values()].filter((time) =>
      now - time <= heardTimeoutMilliseconds
    ).length;
  coordinator.limits.refresh(now, { members: fleet.length, heard: heard + 1 });
  const report = {
    kind: "report" as const,
    sender: index,
    incarnation: coordinator.incarnation,
    limits: coordinator.limits.known(now),
    usages: coordinator.limits.ownUsages(),
  };
  for (const [other, receiver] of fleet.entries()) {
    if (other === index) continue;
    const copies = random() < play.lostShare
      ? 0
      : random() < play.doubledShare
      ? 2
      : 1;
    for (let copy = 0; copy < copies; copy++) {
      receiver.inbox.push({
        ...report,
        deliverAt: now + random() * play.maximumDelayMilliseconds,
      });
    }
  }
}
