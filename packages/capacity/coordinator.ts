/**
 * The coordinators of the upstreams that this instance owns: applies the reports of all
 * instances, gives and revokes grants, and spreads the loads.
 */

import type { Clock } from "../common/clock.ts";
import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { ControlState, ControlView } from "../control/control-state.ts";
import {
  holderTimeoutMilliseconds,
  loadBroadcastMembers,
  loadRepeatMilliseconds,
  rebuildMilliseconds,
} from "./constants.ts";
import {
  addSamples,
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
  createUpstreamState,
  dropHolder,
  endGrant,
  holderOf,
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
  reserve: number;
  isOwn: (state: ControlState, upstream: UpstreamName) => boolean;
  isAvailable: (upstream: UpstreamName) => boolean;
  sendGrants: (instance: InstanceId, body: GrantsBody) => void;
  sendLoads: (instance: InstanceId, loads: UpstreamLoad[]) => void;
}

interface OwnedUpstream {
  readonly state: UpstreamState;
  lastLoad: string;
  loadSentAt: number;
}

export class Coordinator {
  readonly #options: CoordinatorOptions;
  readonly #owned = new Map<UpstreamName, OwnedUpstream>();
  #lastNumber = 0;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
  }

  /** Takes up the upstreams that this instance owns now and drops the others. */
  applyState(state: ControlState): void {
    const now = this.#options.clock.monotonicNow();
    const { upstreams } = state.configuration;
    for (const upstream of this.#owned.keys()) {
      if (!upstreams.has(upstream) || !this.#options.isOwn(state, upstream)) {
        this.#owned.delete(upstream);
      }
    }
    for (const { name, concurrency } of upstreams.values()) {
      if (!this.#options.isOwn(state, name)) continue;
      const owned = this.#owned.get(name);
      if (owned) {
        const { learned } = owned.state;
        owned.state.learned = setConcurrency(learned, concurrency);
        continue;
      }
      const created = createUpstreamState(name, {
        concurrency,
        reserve: this.#options.reserve,
        now,
      });
      created.grantsFrom = now + rebuildMilliseconds;
      this.#owned.set(name, { state: created, lastLoad: "", loadSentAt: 0 });
    }
    for (const { state: owned } of this.#owned.values()) {
      for (const instance of [...owned.holders.keys()]) {
        if (!state.members.has(instance)) dropHolder(owned, instance);
      }
    }
  }

  receiveReport(instance: InstanceId, body: ReportBody): void {
    if (!this.#options.control.state.members.has(instance)) return;
    const seen = body.run === this.#options.run ? body.seen : 0;
    for (const report of body.upstreams) {
      const owned = this.#owned.get(report.upstream);
      if (owned) this.#applyReport(owned.state, instance, report, seen);
    }
    this.#schedule(body.upstreams.map((report) => report.upstream));
  }

  tick(): void {
    const now = this.#options.clock.monotonicNow();
    for (const { state } of this.#owned.values()) {
      state.learned = reviewLimit(state.learned, now);
      for (const holder of [...state.holders.values()]) {
        if (now - holder.heardAt > holderTimeoutMilliseconds) {
          dropHolder(state, holder.instance);
        }
      }
    }
    this.#schedule([...this.#owned.keys()]);
    this.#spreadLoads(now);
  }

  /** States of the owned upstreams, for metrics and tests. */
  get states(): UpstreamState[] {
    return [...this.#owned.values()].map((owned) => owned.state);
  }

  #applyReport(
    state: UpstreamState,
    instance: InstanceId,
    report: UpstreamReport,
    seen: number,
  ): void {
    const now = this.#options.clock.monotonicNow();
    const holder = holderOf(state, instance, now);
    holder.heardAt = now;
    setOnline(state, holder, report.online, now);
    for (const id of report.released) endGrant(state, id, now);
    if (report.held) {
      reconcileHeld(state, instance, report.held, {
        seen,
        now,
        lostAfterMilliseconds: holderTimeoutMilliseconds,
      });
    }
    if (report.demand) replaceDemand(state, holder, report.demand, seen);
    state.learned = addSamples(state.learned, report.firstTokens);
    if (report.reportedWaiting !== undefined) {
      const inFlight = onlineInFlight(state) + state.grants.size;
      state.learned = applyLoadReport(
        state.learned,
        inFlight,
        report.reportedWaiting,
      );
    }
  }

  /** Revokes and grants; each instance concerned gets one message. */
  #schedule(upstreams: readonly UpstreamName[]): void {
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
      const state = this.#owned.get(upstream)?.state;
      if (!state) continue;
      for (const { id, instance } of revokeExcess(state, now)) {
        bodyFor(instance).revoked.push(id);
      }
      if (!isAvailable(upstream)) continue;
      const nextNumber = () => ++this.#lastNumber;
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

  #spreadLoads(now: number): void {
    const { control, sendLoads } = this.#options;
    const { members } = control.state;
    const messages = new Map<InstanceId, UpstreamLoad[]>();
    for (const owned of this.#owned.values()) {
      const { state } = owned;
      const online = onlineInFlight(state);
      const batch = state.grants.size;
      const { limit } = state.learned;
      const load = `${online} ${batch} ${limit}`;
      const isDue = load !== owned.lastLoad ||
        now - owned.loadSentAt >= loadRepeatMilliseconds;
      if (!isDue) continue;
      owned.lastLoad = load;
      owned.loadSentAt = now;
      const receivers = members.size <= loadBroadcastMembers
        ? members.keys()
        : state.holders.keys();
      for (const instance of receivers) {
        const own = state.holders.get(instance)?.online ?? 0;
        const loads = messages.get(instance) ?? [];
        loads.push({ upstream: state.upstream, online, batch, limit, own });
        messages.set(instance, loads);
      }
    }
    for (const [instance, loads] of messages) sendLoads(instance, loads);
  }
}
