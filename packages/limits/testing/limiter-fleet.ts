/** A fleet of limiters in virtual time on a virtual network, for tests and measurements. */

import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type Offset,
  type WorkspaceId,
  type ZoneId,
} from "../../common/ids.ts";
import { SeededRandom } from "../../common/random.ts";
import { VirtualTime } from "../../common/testing/virtual-time.ts";
import { emptyConfiguration } from "../../control/configuration.ts";
import { freshnessMilliseconds } from "../../control/constants.ts";
import type { Member } from "../../control/control-state.ts";
import type { Workspace } from "../../control/document.ts";
import { VirtualControlStream } from "../../control/testing/virtual-control.ts";
import {
  VirtualNetwork,
  type VirtualProcess,
} from "../../protocol/testing/virtual-network.ts";
import { transferDeadlineMilliseconds } from "../constants.ts";
import { FleetLimiter } from "../fleet-limiter.ts";

export interface LimiterFleetOptions {
  seed: number;
  members: number;
  latencyMilliseconds?: number;
  /** Probability that the latency of a message is multiplied by 300. */
  slowProbability?: number;
  lossProbability?: number;
  /** Upper bound of the delay with which a slow process applies a record; others take 5 ms. */
  controlDelayMilliseconds?: number;
  /** Probability that a process applies a record with that delay. */
  slowControlProbability?: number;
}

/** A published limit and the period in which instances may act on it. */
interface LimitPeriod {
  readonly from: number;
  until: number;
  readonly rate: number;
  readonly burst: number;
}

interface LimiterProcess {
  readonly process: VirtualProcess;
  readonly limiter: FleetLimiter;
  incarnation: Incarnation;
}

export const workspace = brandAs<WorkspaceId>("walnut");

export class LimiterFleet {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly network: VirtualNetwork;
  readonly control: VirtualControlStream;
  readonly processes = new Map<InstanceId, LimiterProcess>();
  readonly admissions: number[] = [];
  readonly limits: LimitPeriod[] = [];
  refusals = 0;
  #incarnations = 0;

  constructor(options: LimiterFleetOptions) {
    const { latencyMilliseconds = 1, lossProbability = 0 } = options;
    const { controlDelayMilliseconds = 20, slowProbability = 0 } = options;
    const { slowControlProbability = 1 } = options;
    this.random = new SeededRandom(options.seed);
    this.network = new VirtualNetwork({
      time: this.time,
      latency: () =>
        latencyMilliseconds * (0.5 + this.random.next()) *
        (this.random.next() < slowProbability ? 300 : 1),
      isLost: () => this.random.next() < lossProbability,
    });
    this.control = new VirtualControlStream(
      this.time,
      {
        appliedOffset: brandAs<Offset>(0),
        membershipOffset: brandAs<Offset>(0),
        configuration: emptyConfiguration(),
        members: new Map(),
      },
      () =>
        this.random.next() < slowControlProbability
          ? (0.9 + 0.1 * this.random.next()) * controlDelayMilliseconds
          : 5,
    );
    for (let index = 0; index < options.members; index++) {
      this.join(this.name(index), "before");
    }
  }

  name(index: number): InstanceId {
    return brandAs<InstanceId>(`instance-${index}`);
  }

  /**
   * Starts a process that replaces an earlier one of the same name, and publishes that it joined.
   * Its limiter starts before or after that, or replays the stream from its first record.
   */
  join(instance: InstanceId, start: "before" | "after" | "replay"): void {
    this.crash(instance);
    const incarnation = this.#nextIncarnation();
    if (start === "after") this.#publishJoined(instance, incarnation);
    const process = this.network.start(instance, incarnation);
    const view = this.control.open(process, start === "replay");
    const limiter: FleetLimiter = new FleetLimiter({
      instance,
      incarnation: () => entry.incarnation,
      control: view,
      network: process,
      clock: this.time,
      timers: process,
    });
    const entry = { process, limiter, incarnation };
    limiter.start();
    this.processes.set(instance, entry);
    view.applyUpTo(this.control.latest.appliedOffset);
    if (start !== "after") this.#publishJoined(instance, incarnation);
  }

  /** Lets a running process join again after its eviction. */
  rejoin(instance: InstanceId): void {
    const entry = this.processes.get(instance);
    if (!entry?.process.isRunning) return;
    entry.incarnation = this.#nextIncarnation();
    this.#publishJoined(instance, entry.incarnation);
  }

  #nextIncarnation(): Incarnation {
    return brandAs<Incarnation>(`run-${this.#incarnations++}`);
  }

  #publishJoined(instance: InstanceId, incarnation: Incarnation): void {
    this.publishMember(instance, {
      instance,
      incarnation,
      zone: brandAs<ZoneId>("a"),
      host: "127.0.0.1",
      port: 1,
      metricsUrl: "",
      state: "active",
      joinedAt: this.control.latest.appliedOffset,
    });
  }

  publishMember(instance: InstanceId, member: Member | undefined): void {
    const members = new Map(this.control.latest.members);
    if (member) members.set(instance, member);
    else members.delete(instance);
    this.control.publish({ members });
  }

  leave(instance: InstanceId): void {
    const member = this.control.latest.members.get(instance);
    if (member) this.publishMember(instance, { ...member, state: "leaving" });
  }

  crash(instance: InstanceId): void {
    this.processes.get(instance)?.process.crash();
    this.processes.delete(instance);
  }

  setLimit(rate: number, burst: number): void {
    const now = this.time.monotonicNow();
    const previous = this.limits.at(-1);
    // A fresh instance may act on the previous limit until then.
    if (previous) {
      previous.until = now + freshnessMilliseconds +
        transferDeadlineMilliseconds;
    }
    this.limits.push({ from: now, until: Infinity, rate, burst });
    const workspaces = new Map([[
      workspace,
      { id: workspace, ratePerSecond: rate, burst, batchWeight: 1, keys: [] },
    ]]) as ReadonlyMap<WorkspaceId, Workspace>;
    const { configuration } = this.control.latest;
    this.control.publish({ configuration: { ...configuration, workspaces } });
  }

  async take(instance: InstanceId): Promise<boolean> {
    const decision = await this.processes.get(instance)?.limiter.take(
      workspace,
    );
    if (decision?.admitted) this.admissions.push(this.time.monotonicNow());
    else this.refusals += 1;
    return decision?.admitted ?? false;
  }

  takeAnywhere(): Promise<boolean> {
    return this.take(
      this.random.pick([...this.processes.keys()]) ?? this.name(0),
    );
  }

  /**
   * The largest number of tokens by which the admissions would have overdrawn a single bucket. At
   * each time that bucket has the highest rate and burst on which an instance may act.
   */
  overdraft(): number {
    let level = 0;
    let at = 0;
    let maximumOverdraft = 0;
    const limitTimes = this.limits.flatMap(({ from, until }) => [from, until]);
    const refillTo = (time: number) => {
      const boundaries = [
        ...limitTimes.filter((limitTime) => limitTime > at && limitTime < time),
        time,
      ];
      for (const boundary of boundaries.sort((left, right) => left - right)) {
        const active = this.limits.filter((it) =>
          it.from < boundary && it.until > at
        );
        const rate = Math.max(0, ...active.map((it) => it.rate));
        const burst = Math.max(0, ...active.map((it) => it.burst));
        level = Math.min(burst, level + rate * (boundary - at) / 1_000);
        at = boundary;
      }
    };
    let isFirst = true;
    for (const admission of this.admissions) {
      if (isFirst) {
        isFirst = false;
        at = this.limits[0]!.from;
        level = this.limits[0]!.burst;
      }
      refillTo(admission);
      level -= 1;
      maximumOverdraft = Math.max(maximumOverdraft, -level);
    }
    return maximumOverdraft;
  }
}
