/**
 * The client of the capacity coordinators, which every instance has. It keeps the online requests,
 * batch grants and batch demand of the instance and reports them to the coordinators. Reports are
 * coalesced per turn of the event loop and repeated in heartbeats.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { Timers } from "../common/timers.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import type { Upstream } from "../control/document.ts";
import { EngineSelection } from "./engine-selection.ts";
import type { BatchDemand, BatchGrant, CapacityTarget } from "./capacity.ts";
import {
  batchLoadWeight,
  clientTimeoutMilliseconds,
  heartbeatsPerOnlineReport,
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

/** What this instance has in flight and has reported at one upstream. */
interface UpstreamUsage {
  readonly upstream: UpstreamName;
  /** Online requests in flight. */
  online: number;
  readonly held: Map<string, HeldGrant>;
  /** Ids of grants that ended since the last report. */
  released: string[];
  /** Times to first token in milliseconds since the last report. */
  firstTokens: number[];
  /** Waiting requests that the upstream itself reported since the last report. */
  reportedWaiting: number | undefined;
  coordinator: InstanceId | undefined;
  /** The demand last sent to the coordinator, as JSON. */
  sentDemand: string;
  /** The load last received from the coordinator. */
  load: UpstreamLoad | undefined;
  /** Monotonic milliseconds. */
  lastActivityAt: number;
  /** Whether a report is due. */
  isDirty: boolean;
  /** Whether the next report must include the demand and all held grants. */
  needsFullReport: boolean;
}

/** Run of a coordinator and the number of the last grant received from it. */
interface LastReceivedGrant {
  run: string;
  number: number;
}

export class CapacityClient {
  readonly #options: CapacityClientOptions;
  readonly #usage = new Map<UpstreamName, UpstreamUsage>();
  readonly #lastReceived = new Map<InstanceId, LastReceivedGrant>();
  #demand: { -readonly [Key in keyof BatchDemand]: BatchDemand[Key] }[] = [];
  #grantHandler: (grant: BatchGrant) => void = () => {};
  #isFlushScheduled = false;
  #heartbeatCount = 0;
  readonly #engineSelection: EngineSelection;

  constructor(options: CapacityClientOptions) {
    this.#options = options;
    this.#engineSelection = new EngineSelection(options.instance);
  }

  trackOnlineRequest(upstream: UpstreamName): () => void {
    const usage = this.#usageOf(upstream);
    usage.online += 1;
    this.#markChanged(usage);
    let isFinished = false;
    return () => {
      if (isFinished) return;
      isFinished = true;
      usage.online -= 1;
      this.#markChanged(usage);
    };
  }

  recordFirstToken(upstream: UpstreamName, milliseconds: number): void {
    const usage = this.#usageOf(upstream);
    usage.firstTokens.push(milliseconds);
    this.#markChanged(usage);
  }

  recordLoadReport(upstream: UpstreamName, waiting: number): void {
    const usage = this.#usageOf(upstream);
    if (waiting === 0 && usage.reportedWaiting === undefined) return;
    usage.reportedWaiting = waiting;
    this.#markChanged(usage);
  }

  loadOf(upstream: UpstreamName): number {
    const usage = this.#usage.get(upstream);
    const { upstreams } = this.#options.control.state.configuration;
    const concurrency = upstreams.get(upstream)?.concurrency ?? 1;
    if (!usage) return 0;
    const { load } = usage;
    if (!load) {
      return (usage.online + batchLoadWeight * usage.held.size) / concurrency;
    }
    const online = Math.max(0, load.online - load.own) + usage.online;
    return (online + batchLoadWeight * load.batch) / load.limit;
  }

  setDemand(demand: readonly BatchDemand[]): void {
    this.#demand = demand.map((entry) => ({ ...entry }));
    this.#markChangedDemand();
  }

  onGrant(handler: (grant: BatchGrant) => void): void {
    this.#grantHandler = handler;
  }

  receiveGrants(sender: InstanceId, body: GrantsBody): void {
    const lastReceived = this.#lastReceived.get(sender);
    const newestNumber = body.grants.at(-1)?.number ?? 0;
    const lastNumber = lastReceived?.run === body.run ? lastReceived.number : 0;
    this.#lastReceived.set(sender, {
      run: body.run,
      number: Math.max(lastNumber, newestNumber),
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
      const usage = this.#usageOf(upstream);
      if (usage.held.has(id)) continue;
      usage.held.set(id, held);
      if (target.kind === "model") {
        this.#engineSelection.recordGrant(
          target.model,
          upstream,
          held.receivedAt,
        );
      }
      this.#deductDemand(workspace, target);
      this.#grantHandler({
        id,
        upstream,
        workspace,
        target,
        revoked: held.controller.signal,
        release: () => this.#release(usage, id),
      });
    }
    for (const id of body.revoked) {
      for (const usage of this.#usage.values()) {
        usage.held.get(id)?.controller.abort();
      }
    }
    if (body.grants.length > 0) this.#markChangedDemand();
  }

  receiveLoads(loads: readonly UpstreamLoad[]): void {
    for (const load of loads) this.#usageOf(load.upstream).load = load;
  }

  /**
   * Schedules full reports to new coordinators, and forgets upstreams that are neither configured
   * nor in use.
   */
  applyState(state: ControlState): void {
    for (const { name } of state.configuration.upstreams.values()) {
      const usage = this.#usageOf(name);
      const coordinator = this.#options.coordinatorOf(state, name);
      if (coordinator === usage.coordinator) continue;
      usage.coordinator = coordinator;
      usage.needsFullReport = true;
      if (this.#isInUse(usage)) this.#markChanged(usage);
    }
    for (const [name, usage] of this.#usage) {
      if (state.configuration.upstreams.has(name)) continue;
      if (usage.online === 0 && usage.held.size === 0) this.#usage.delete(name);
    }
  }

  heartbeat(): void {
    const now = this.#options.clock.monotonicNow();
    this.#heartbeatCount += 1;
    const hasGrants = (upstream: UpstreamName) =>
      (this.#usage.get(upstream)?.held.size ?? 0) > 0;
    if (
      this.#demand.length > 0 &&
      this.#engineSelection.replaceUnproductive(hasGrants, now)
    ) {
      this.#markChangedDemand();
    }
    const isOnlineReportDue =
      this.#heartbeatCount % heartbeatsPerOnlineReport === 0;
    for (const usage of this.#usage.values()) {
      const hasBatchUse = usage.held.size > 0 ||
        this.#demandFor(usage).length > 0;
      // Reports continue for a while after the last activity, in case the last one was lost.
      const wasRecentlyActive =
        now - usage.lastActivityAt < clientTimeoutMilliseconds;
      if (
        hasBatchUse ||
        (isOnlineReportDue && (usage.online > 0 || wasRecentlyActive))
      ) {
        usage.needsFullReport = true;
        usage.isDirty = true;
      }
    }
    this.#flush();
  }

  /** Revokes all grants of this instance, because it is no longer a member. */
  revokeAll(): void {
    for (const usage of this.#usage.values()) {
      for (const grant of usage.held.values()) grant.controller.abort();
    }
  }

  #usageOf(upstream: UpstreamName): UpstreamUsage {
    let usage = this.#usage.get(upstream);
    if (!usage) {
      const { control, coordinatorOf, clock } = this.#options;
      usage = {
        upstream,
        online: 0,
        held: new Map(),
        released: [],
        firstTokens: [],
        reportedWaiting: undefined,
        coordinator: coordinatorOf(control.state, upstream),
        sentDemand: "[]",
        load: undefined,
        lastActivityAt: clock.monotonicNow(),
        isDirty: false,
        needsFullReport: true,
      };
      this.#usage.set(upstream, usage);
    }
    return usage;
  }

  #isInUse(usage: UpstreamUsage): boolean {
    return usage.online > 0 || usage.held.size > 0 ||
      this.#demandFor(usage).length > 0;
  }

  #release(usage: UpstreamUsage, id: string): void {
    if (!usage.held.delete(id)) return;
    usage.released.push(id);
    this.#markChanged(usage);
  }

  /** Records activity and schedules a report. */
  #markChanged(usage: UpstreamUsage): void {
    usage.isDirty = true;
    usage.lastActivityAt = this.#options.clock.monotonicNow();
    this.#scheduleFlush();
  }

  /** Schedules a report for each upstream whose demand differs from the one last sent. */
  #markChangedDemand(): void {
    for (const { name } of this.#configuredUpstreams()) {
      const usage = this.#usageOf(name);
      if (JSON.stringify(this.#demandFor(usage)) !== usage.sentDemand) {
        this.#markChanged(usage);
      }
    }
  }

  #configuredUpstreams(): Iterable<Upstream> {
    return this.#options.control.state.configuration.upstreams.values();
  }

  /** The part of the demand that is reported for this upstream. */
  #demandFor(usage: UpstreamUsage): BatchDemand[] {
    const upstream = this.#options.control.state.configuration.upstreams.get(
      usage.upstream,
    );
    if (!upstream) return [];
    return this.#demand.filter((entry) =>
      entry.count > 0 && this.#isSelectedFor(upstream, entry.target)
    );
  }

  /** Whether demand for the target is reported for this upstream. */
  #isSelectedFor(upstream: Upstream, target: CapacityTarget): boolean {
    if (target.kind === "upstream") return upstream.name === target.upstream;
    if (!upstream.models.includes(target.model)) return false;
    const { control, clock } = this.#options;
    const engines = control.state.configuration.engines.get(target.model) ?? [];
    const now = clock.monotonicNow();
    return this.#engineSelection.isSelected(
      target.model,
      engines,
      upstream.name,
      now,
    );
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

  /** Sends one report to each coordinator that has upstreams with changes. */
  #flush(): void {
    const reports = new Map<InstanceId, UpstreamReport[]>();
    for (const usage of this.#usage.values()) {
      if (!usage.isDirty || !usage.coordinator) continue;
      usage.isDirty = false;
      const upstreamReports = reports.get(usage.coordinator) ?? [];
      upstreamReports.push(this.#createReport(usage));
      reports.set(usage.coordinator, upstreamReports);
    }
    for (const [coordinator, upstreams] of reports) {
      const lastReceived = this.#lastReceived.get(coordinator);
      this.#options.sendReport(coordinator, {
        run: lastReceived?.run ?? "",
        seen: lastReceived?.number ?? 0,
        upstreams,
      });
    }
  }

  /** Creates the report of an upstream and clears what was collected for it. */
  #createReport(usage: UpstreamUsage): UpstreamReport {
    const now = this.#options.clock.monotonicNow();
    const demand = this.#demandFor(usage);
    const demandText = JSON.stringify(demand);
    const isFull = usage.needsFullReport;
    const report: UpstreamReport = {
      upstream: usage.upstream,
      online: usage.online,
      released: usage.released,
      firstTokens: usage.firstTokens,
    };
    if (isFull || demandText !== usage.sentDemand) report.demand = demand;
    if (usage.reportedWaiting !== undefined) {
      report.reportedWaiting = usage.reportedWaiting;
    }
    if (isFull) {
      report.held = [...usage.held.values()].map((grant) => ({
        id: grant.id,
        workspace: grant.workspace,
        target: grant.target,
        heldMilliseconds: now - grant.receivedAt,
      }));
    }
    usage.sentDemand = demandText;
    usage.released = [];
    usage.firstTokens = [];
    usage.reportedWaiting = undefined;
    usage.needsFullReport = false;
    return report;
  }
}
