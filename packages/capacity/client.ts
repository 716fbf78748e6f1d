/**
 * The side of capacity that every instance has: counts its online requests, holds its batch
 * grants and its demand, and reports all of it to the coordinators, coalesced per turn of the
 * event loop and repeated in heartbeats.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { Timers } from "../common/timers.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import type { Upstream } from "../control/document.ts";
import { AskedUpstreams } from "./engine-selection.ts";
import type { BatchDemand, BatchGrant, CapacityTarget } from "./capacity.ts";
import {
  batchLoadWeight,
  holderTimeoutMilliseconds,
  onlineHeartbeatTurns,
} from "./constants.ts";
import {
  grantId,
  type GrantsBody,
  type ReportBody,
  type UpstreamLoad,
  type UpstreamReport,
} from "./messages.ts";
import { targetKey } from "./scheduler.ts";

export interface CapacityClientOptions {
  instance: InstanceId;
  control: ControlView;
  clock: Clock;
  timers: Timers;
  coordinatorOf: (
    state: ControlState,
    upstream: UpstreamName,
  ) => InstanceId | undefined;
  sendReport: (instance: InstanceId, body: ReportBody) => void;
}

interface HeldGrant {
  readonly id: string;
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  readonly receivedAt: number;
  readonly controller: AbortController;
}

/** What this instance has in flight at one upstream. */
interface UpstreamUse {
  readonly upstream: UpstreamName;
  online: number;
  readonly held: Map<string, HeldGrant>;
  /** Grants that ended since the last report. */
  released: string[];
  firstTokens: number[];
  reportedWaiting: number | undefined;
  coordinator: InstanceId | undefined;
  /** The demand that the coordinator knows, as JSON. */
  sentDemand: string;
  load: UpstreamLoad | undefined;
  activeAt: number;
  isDirty: boolean;
  needsFullReport: boolean;
}

interface SeenGrants {
  run: string;
  number: number;
}

export class CapacityClient {
  readonly #options: CapacityClientOptions;
  readonly #uses = new Map<UpstreamName, UpstreamUse>();
  readonly #seen = new Map<InstanceId, SeenGrants>();
  #demand: { -readonly [Key in keyof BatchDemand]: BatchDemand[Key] }[] = [];
  #handler: (grant: BatchGrant) => void = () => {};
  #isFlushScheduled = false;
  #heartbeatTurn = 0;
  readonly #asked: AskedUpstreams;

  constructor(options: CapacityClientOptions) {
    this.#options = options;
    this.#asked = new AskedUpstreams(options.instance);
  }

  trackOnlineRequest(upstream: UpstreamName): () => void {
    const use = this.#useOf(upstream);
    use.online += 1;
    this.#touch(use);
    let isFinished = false;
    return () => {
      if (isFinished) return;
      isFinished = true;
      use.online -= 1;
      this.#touch(use);
    };
  }

  recordFirstToken(upstream: UpstreamName, milliseconds: number): void {
    const use = this.#useOf(upstream);
    use.firstTokens.push(milliseconds);
    this.#touch(use);
  }

  recordLoadReport(upstream: UpstreamName, waiting: number): void {
    const use = this.#useOf(upstream);
    if (waiting === 0 && use.reportedWaiting === undefined) return;
    use.reportedWaiting = waiting;
    this.#touch(use);
  }

  loadOf(upstream: UpstreamName): number {
    const use = this.#uses.get(upstream);
    const { upstreams } = this.#options.control.state.configuration;
    const concurrency = upstreams.get(upstream)?.concurrency ?? 1;
    if (!use) return 0;
    const { load } = use;
    if (!load) {
      return (use.online + batchLoadWeight * use.held.size) / concurrency;
    }
    const online = Math.max(0, load.online - load.own) + use.online;
    return (online + batchLoadWeight * load.batch) / load.limit;
  }

  setDemand(demand: readonly BatchDemand[]): void {
    this.#demand = demand.map((entry) => ({ ...entry }));
    this.#touchDemanded();
  }

  onGrant(handler: (grant: BatchGrant) => void): void {
    this.#handler = handler;
  }

  receiveGrants(sender: InstanceId, body: GrantsBody): void {
    const seen = this.#seen.get(sender);
    const last = body.grants.at(-1)?.number ?? 0;
    const known = seen?.run === body.run ? seen.number : 0;
    this.#seen.set(sender, {
      run: body.run,
      number: Math.max(known, last),
    });
    for (const { number, upstream, workspace, target } of body.grants) {
      const id = grantId(body.run, number);
      const held: HeldGrant = {
        id,
        workspace,
        target,
        receivedAt: this.#options.clock.monotonicNow(),
        controller: new AbortController(),
      };
      const use = this.#useOf(upstream);
      if (use.held.has(id)) continue;
      use.held.set(id, held);
      if (target.kind === "model") {
        this.#asked.noteGrant(target.model, upstream, held.receivedAt);
      }
      this.#deductDemand(workspace, target);
      this.#handler({
        id,
        upstream,
        workspace,
        target,
        revoked: held.controller.signal,
        release: () => this.#release(use, id),
      });
    }
    for (const id of body.revoked) {
      for (const use of this.#uses.values()) {
        use.held.get(id)?.controller.abort();
      }
    }
    if (body.grants.length > 0) this.#touchDemanded();
  }

  receiveLoads(loads: readonly UpstreamLoad[]): void {
    for (const load of loads) this.#useOf(load.upstream).load = load;
  }

  /** Sends everything to coordinators that have changed. */
  applyState(state: ControlState): void {
    for (const { name } of state.configuration.upstreams.values()) {
      const use = this.#useOf(name);
      const coordinator = this.#options.coordinatorOf(state, name);
      if (coordinator === use.coordinator) continue;
      use.coordinator = coordinator;
      use.needsFullReport = true;
      if (this.#isInUse(use)) this.#touch(use);
    }
    for (const [name, use] of this.#uses) {
      if (state.configuration.upstreams.has(name)) continue;
      if (use.online === 0 && use.held.size === 0) this.#uses.delete(name);
    }
  }

  heartbeat(): void {
    const now = this.#options.clock.monotonicNow();
    this.#heartbeatTurn += 1;
    const isHolding = (upstream: UpstreamName) =>
      (this.#uses.get(upstream)?.held.size ?? 0) > 0;
    if (this.#demand.length > 0 && this.#asked.rotate(isHolding, now)) {
      this.#touchDemanded();
    }
    const isOnlineTurn = this.#heartbeatTurn % onlineHeartbeatTurns === 0;
    for (const use of this.#uses.values()) {
      const isBatch = use.held.size > 0 || this.#demandAt(use).length > 0;
      // Some reports follow the last activity, in case the last one was lost.
      const isRecent = now - use.activeAt < holderTimeoutMilliseconds;
      if (isBatch || (isOnlineTurn && (use.online > 0 || isRecent))) {
        use.needsFullReport = true;
        use.isDirty = true;
      }
    }
    this.#flush();
  }

  /** Aborts all batch calls, as when the instance has lost its membership. */
  revokeAll(): void {
    for (const use of this.#uses.values()) {
      for (const grant of use.held.values()) grant.controller.abort();
    }
  }

  #useOf(upstream: UpstreamName): UpstreamUse {
    let use = this.#uses.get(upstream);
    if (!use) {
      const { control, coordinatorOf, clock } = this.#options;
      use = {
        upstream,
        online: 0,
        held: new Map(),
        released: [],
        firstTokens: [],
        reportedWaiting: undefined,
        coordinator: coordinatorOf(control.state, upstream),
        sentDemand: "[]",
        load: undefined,
        activeAt: clock.monotonicNow(),
        isDirty: false,
        needsFullReport: true,
      };
      this.#uses.set(upstream, use);
    }
    return use;
  }

  #isInUse(use: UpstreamUse): boolean {
    return use.online > 0 || use.held.size > 0 ||
      this.#demandAt(use).length > 0;
  }

  #release(use: UpstreamUse, id: string): void {
    if (!use.held.delete(id)) return;
    use.released.push(id);
    this.#touch(use);
  }

  #touch(use: UpstreamUse): void {
    use.isDirty = true;
    use.activeAt = this.#options.clock.monotonicNow();
    this.#scheduleFlush();
  }

  #touchDemanded(): void {
    for (const { name } of this.#configuredUpstreams()) {
      const use = this.#useOf(name);
      if (JSON.stringify(this.#demandAt(use)) !== use.sentDemand) {
        this.#touch(use);
      }
    }
  }

  #configuredUpstreams(): Iterable<Upstream> {
    return this.#options.control.state.configuration.upstreams.values();
  }

  #demandAt(use: UpstreamUse): BatchDemand[] {
    const upstream = this.#options.control.state.configuration.upstreams.get(
      use.upstream,
    );
    if (!upstream) return [];
    return this.#demand.filter((entry) =>
      entry.count > 0 && this.#isAskedFor(upstream, entry.target)
    );
  }

  #isAskedFor(upstream: Upstream, target: CapacityTarget): boolean {
    if (target.kind === "upstream") return upstream.name === target.upstream;
    if (!upstream.models.includes(target.model)) return false;
    const { control, clock } = this.#options;
    const engines = control.state.configuration.engines.get(target.model) ?? [];
    const now = clock.monotonicNow();
    return this.#asked.isAsked(target.model, engines, upstream.name, now);
  }

  #deductDemand(workspace: WorkspaceId, target: CapacityTarget): void {
    const key = targetKey(target);
    const entry = this.#demand.find((candidate) =>
      candidate.workspace === workspace && candidate.count > 0 &&
      targetKey(candidate.target) === key
    );
    if (entry) entry.count -= 1;
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.#options.timers.defer(() => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  /** Sends one report to each coordinator for whose upstreams something changed. */
  #flush(): void {
    const reports = new Map<InstanceId, UpstreamReport[]>();
    for (const use of this.#uses.values()) {
      if (!use.isDirty || !use.coordinator) continue;
      use.isDirty = false;
      const list = reports.get(use.coordinator) ?? [];
      list.push(this.#reportOf(use));
      reports.set(use.coordinator, list);
    }
    for (const [coordinator, upstreams] of reports) {
      const seen = this.#seen.get(coordinator);
      this.#options.sendReport(coordinator, {
        run: seen?.run ?? "",
        seen: seen?.number ?? 0,
        upstreams,
      });
    }
  }

  #reportOf(use: UpstreamUse): UpstreamReport {
    const now = this.#options.clock.monotonicNow();
    const demand = this.#demandAt(use);
    const demandText = JSON.stringify(demand);
    const isFull = use.needsFullReport;
    const report: UpstreamReport = {
      upstream: use.upstream,
      online: use.online,
      released: use.released,
      firstTokens: use.firstTokens,
    };
    if (isFull || demandText !== use.sentDemand) report.demand = demand;
    if (use.reportedWaiting !== undefined) {
      report.reportedWaiting = use.reportedWaiting;
    }
    if (isFull) {
      report.held = [...use.held.values()].map((grant) => ({
        id: grant.id,
        workspace: grant.workspace,
        target: grant.target,
        heldMilliseconds: now - grant.receivedAt,
      }));
    }
    use.sentDemand = demandText;
    use.released = [];
    use.firstTokens = [];
    use.reportedWaiting = undefined;
    use.needsFullReport = false;
    return report;
  }
}
