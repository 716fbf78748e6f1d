/**
 * Coordinates the upstreams that this instance owns: applies the reports of all instances, issues
 * and revokes grants, and sends the loads of the upstreams.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import {
  clientTimeoutMilliseconds,
  loadRepeatMilliseconds,
  maximumBroadcastMembers,
  recoveryMilliseconds,
} from "./constants.ts";
import {
  addFirstTokenSamples,
  applyLoadReport,
  reviewLimit,
  setConcurrency,
} from "./adaptive-limit.ts";
import type {
  GrantsBody,
  ReportBody,
  UpstreamLoad,
  UpstreamReport,
} from "./messages.ts";
import {
  clientOf,
  createUpstreamState,
  dropClient,
  endGrant,
  onlineInFlight,
  reconcileHeld,
  replaceDemand,
  revokeExcess,
  scheduleGrants,
  setOnline,
  type UpstreamState,
} from "./scheduler.ts";

export interface CoordinatorOptions {
  instance: InstanceId;
  /** Unique for each run of the coordinator's process. */
  run: string;
  control: ControlView;
  clock: Clock;
  /** Slots of each upstream to reserve for online requests; see online-reserve.ts. */
  onlineReserve: number;
  /** Whether this instance coordinates the upstream. */
  isOwned: (state: ControlState, upstream: UpstreamName) => boolean;
  /** False while an upstream must not receive new batch calls. */
  isAvailable: (upstream: UpstreamName) => boolean;
  sendGrants: (instance: InstanceId, body: GrantsBody) => void;
  sendLoads: (instance: InstanceId, loads: UpstreamLoad[]) => void;
}

interface OwnedUpstream {
  readonly state: UpstreamState;
  /** The load that was last sent, as text for comparison. */
  lastLoad: string;
  loadSentAt: number;
}

export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #upstreams = new Map<UpstreamName, OwnedUpstream>();
  #lastGrantNumber = 0;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
  }

  /** Adds upstreams that this instance owns now, and drops others and members that have left. */
  applyState(state: ControlState): void {
    const now = this.#options.clock.monotonicNow();
    const { upstreams } = state.configuration;
    for (const upstream of this.#upstreams.keys()) {
      if (!upstreams.has(upstream) || !this.#options.isOwned(state, upstream)) {
        this.#upstreams.delete(upstream);
      }
    }
    for (const { name, concurrency } of upstreams.values()) {
      if (!this.#options.isOwned(state, name)) continue;
      const owned = this.#upstreams.get(name);
      if (owned) {
        const { adaptiveLimit } = owned.state;
        owned.state.adaptiveLimit = setConcurrency(adaptiveLimit, concurrency);
        continue;
      }
      const upstreamState = createUpstreamState(name, {
        concurrency,
        onlineReserve: this.#options.onlineReserve,
        now,
      });
      upstreamState.grantsStartAt = now + recoveryMilliseconds;
      this.#upstreams.set(name, {
        state: upstreamState,
        lastLoad: "",
        loadSentAt: 0,
      });
    }
    for (const { state: upstreamState } of this.#upstreams.values()) {
      for (const instance of [...upstreamState.clients.keys()]) {
        if (!state.members.has(instance)) dropClient(upstreamState, instance);
      }
    }
  }

  /** Applies a report and updates the grants of its upstreams; ignores instances that left. */
  receiveReport(instance: InstanceId, body: ReportBody): void {
    if (!this.#options.control.state.members.has(instance)) return;
    const seen = body.run === this.#options.run ? body.seen : 0;
    for (const report of body.upstreams) {
      const owned = this.#upstreams.get(report.upstream);
      if (owned) this.#applyReport(owned.state, instance, report, seen);
    }
    this.#updateGrants(body.upstreams.map((report) => report.upstream));
  }

  /** Runs the periodic work on all upstreams of this coordinator. */
  tick(): void {
    const now = this.#options.clock.monotonicNow();
    for (const { state } of this.#upstreams.values()) {
      state.adaptiveLimit = reviewLimit(state.adaptiveLimit, now);
      for (const client of [...state.clients.values()]) {
        if (now - client.lastReportAt > clientTimeoutMilliseconds) {
          dropClient(state, client.instance);
        }
      }
    }
    this.#updateGrants([...this.#upstreams.keys()]);
    this.#sendDueLoads(now);
  }

  /** States of the owned upstreams, for metrics and tests. */
  get states(): UpstreamState[] {
    return [...this.#upstreams.values()].map((owned) => owned.state);
  }

  #applyReport(
    state: UpstreamState,
    instance: InstanceId,
    report: UpstreamReport,
    seen: number,
  ): void {
    const now = this.#options.clock.monotonicNow();
    const client = clientOf(state, instance, now);
    client.lastReportAt = now;
    setOnline(state, client, report.online, now);
    for (const id of report.released) endGrant(state, id, now);
    if (report.held) {
      reconcileHeld(state, instance, report.held, {
        seen,
        now,
        lostAfterMilliseconds: clientTimeoutMilliseconds,
      });
    }
    if (report.demand) replaceDemand(state, client, report.demand, seen);
    state.adaptiveLimit = addFirstTokenSamples(
      state.adaptiveLimit,
      report.firstTokens,
    );
    if (report.reportedWaiting !== undefined) {
      const inFlight = onlineInFlight(state) + state.grants.size;
      state.adaptiveLimit = applyLoadReport(
        state.adaptiveLimit,
        inFlight,
        report.reportedWaiting,
      );
    }
  }

  /** Revokes and issues grants; sends one message to each instance concerned. */
  #updateGrants(upstreams: readonly UpstreamName[]): void {
    const { control, run, clock, isAvailable, sendGrants } = this.#options;
    if (!control.isFresh()) return;
    const now = clock.monotonicNow();
    const { workspaces } = control.state.configuration;
    const weightOf = (workspace: WorkspaceId) =>
      workspaces.get(workspace)?.batchWeight ?? 1;
    const bodies = new Map<InstanceId, GrantsBody>();
    const bodyFor = (instance: InstanceId) => {
      const body = bodies.get(instance) ?? { run, grants: [], revoked: [] };
      bodies.set(instance, body);
      return body;
    };
    for (const upstream of upstreams) {
      const state = this.#upstreams.get(upstream)?.state;
      if (!state) continue;
      for (const { id, instance } of revokeExcess(state, now)) {
        bodyFor(instance).revoked.push(id);
      }
      if (!isAvailable(upstream)) continue;
      const nextNumber = () => ++this.#lastGrantNumber;
      const options = { run, nextNumber, weightOf, now };
      for (const grant of scheduleGrants(state, options)) {
        const { number, workspace, target } = grant;
        bodyFor(grant.instance).grants.push({
          number,
          upstream,
          workspace,
          target,
        });
      }
    }
    for (const [instance, body] of bodies) sendGrants(instance, body);
  }

  /** Sends the loads that have changed or are due for repetition. */
  #sendDueLoads(now: number): void {
    const { control, sendLoads } = this.#options;
    const { members } = control.state;
    const messages = new Map<InstanceId, UpstreamLoad[]>();
    for (const owned of this.#upstreams.values()) {
      const { state } = owned;
      const online = onlineInFlight(state);
      const batch = state.grants.size;
      const { limit } = state.adaptiveLimit;
      const load = `${online} ${batch} ${limit}`;
      const isDue = load !== owned.lastLoad ||
        now - owned.loadSentAt >= loadRepeatMilliseconds;
      if (!isDue) continue;
      owned.lastLoad = load;
      owned.loadSentAt = now;
      const receivers = members.size <= maximumBroadcastMembers
        ? members.keys()
        : state.clients.keys();
      for (const instance of receivers) {
        const own = state.clients.get(instance)?.online ?? 0;
        const loads = messages.get(instance) ?? [];
        loads.push({ upstream: state.upstream, online, batch, limit, own });
        messages.set(instance, loads);
      }
    }
    for (const [instance, loads] of messages) sendLoads(instance, loads);
  }
}
