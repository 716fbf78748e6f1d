/**
 * The scheduler of one upstream: plain data and functions without a clock or messages. Online
 * requests are counted, batch calls need a grant. Between workspaces the lowest ratio of served
 * slot time to weight goes first, within a workspace the earliest deadline.
 */

import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { BatchDemand, CapacityTarget } from "./capacity.ts";
import {
  initialSlotMilliseconds,
  slotTimeWeight,
  stuckRevocationMilliseconds,
} from "./constants.ts";
import {
  createLearnedLimit,
  type LearnedLimit,
  usualFirstToken,
} from "./adaptive-limit.ts";
import {
  createOnlineReserve,
  noteOnline,
  noteRevocation,
  type OnlineReserve,
  reservedSlots,
} from "./online-reserve.ts";

export interface GrantRecord {
  readonly id: string;
  /** Number in the coordinator's run; 0 for grants of an earlier coordinator. */
  readonly number: number;
  readonly instance: InstanceId;
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  readonly grantedAt: number;
  /** Monotonic milliseconds, while the end of the revoked call is awaited. */
  revokedAt: number | undefined;
}

export interface DemandRecord {
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  count: number;
  readonly earliestDeadline: number;
}

export interface HolderRecord {
  readonly instance: InstanceId;
  heardAt: number;
  online: number;
  demand: DemandRecord[];
}

export interface Account {
  /** Slot time in milliseconds that ended calls have used. */
  served: number;
  wasActive: boolean;
}

export interface UpstreamState {
  readonly upstream: UpstreamName;
  learned: LearnedLimit;
  reserve: OnlineReserve;
  /** Monotonic milliseconds from which on grants are given. */
  grantsFrom: number;
  readonly holders: Map<InstanceId, HolderRecord>;
  readonly grants: Map<string, GrantRecord>;
  readonly accounts: Map<WorkspaceId, Account>;
  averageSlotMilliseconds: number;
}

export function createUpstreamState(
  upstream: UpstreamName,
  options: { concurrency: number; reserve: number; now: number },
): UpstreamState {
  return {
    upstream,
    learned: createLearnedLimit(options.concurrency, options.now),
    reserve: createOnlineReserve(options.reserve),
    grantsFrom: options.now,
    holders: new Map(),
    grants: new Map(),
    accounts: new Map(),
    averageSlotMilliseconds: initialSlotMilliseconds,
  };
}

export function targetKey(target: CapacityTarget): string {
  return target.kind === "model"
    ? `model/${target.model}`
    : `upstream/${target.upstream}`;
}

export function holderOf(
  state: UpstreamState,
  instance: InstanceId,
  now: number,
): HolderRecord {
  let holder = state.holders.get(instance);
  if (!holder) {
    holder = { instance, heardAt: now, online: 0, demand: [] };
    state.holders.set(instance, holder);
  }
  return holder;
}

export function setOnline(
  state: UpstreamState,
  holder: HolderRecord,
  online: number,
  now: number,
): void {
  state.reserve = noteOnline(state.reserve, online - holder.online, now);
  holder.online = online;
}

export function onlineInFlight(state: UpstreamState): number {
  let online = 0;
  for (const holder of state.holders.values()) online += holder.online;
  return online;
}

/** Replaces an instance's demand; grants it has not seen yet are deducted. */
export function replaceDemand(
  state: UpstreamState,
  holder: HolderRecord,
  demand: readonly BatchDemand[],
  seen: number,
): void {
  holder.demand = demand.map((entry) => ({ ...entry }));
  for (const grant of state.grants.values()) {
    if (grant.instance !== holder.instance || grant.number <= seen) continue;
    deductDemand(holder, grant.workspace, grant.target);
  }
}

function deductDemand(
  holder: HolderRecord,
  workspace: WorkspaceId,
  target: CapacityTarget,
): void {
  const key = targetKey(target);
  const entry = holder.demand.find((candidate) =>
    candidate.workspace === workspace && candidate.count > 0 &&
    targetKey(candidate.target) === key
  );
  if (entry) entry.count -= 1;
}

function accountOf(state: UpstreamState, workspace: WorkspaceId): Account {
  let account = state.accounts.get(workspace);
  if (!account) {
    account = { served: 0, wasActive: false };
    state.accounts.set(workspace, account);
  }
  return account;
}

/** Ends a grant. Slot time of a revoked call is not charged: its work was lost. */
export function endGrant(state: UpstreamState, id: string, now: number): void {
  const grant = state.grants.get(id);
  if (!grant) return;
  state.grants.delete(id);
  if (grant.revokedAt !== undefined) {
    const waited = now - grant.revokedAt;
    if (waited < stuckRevocationMilliseconds) {
      state.reserve = noteRevocation(state.reserve, waited);
    }
    return;
  }
  const used = Math.max(0, now - grant.grantedAt);
  accountOf(state, grant.workspace).served += used;
  state.averageSlotMilliseconds += (used - state.averageSlotMilliseconds) *
    slotTimeWeight;
}

interface Candidate {
  readonly workspace: WorkspaceId;
  readonly holder: HolderRecord;
  readonly demand: DemandRecord;
}

/** The demand with the earliest deadline of each workspace. */
function earliestDemands(state: UpstreamState): Map<WorkspaceId, Candidate> {
  const earliest = new Map<WorkspaceId, Candidate>();
  for (const holder of state.holders.values()) {
    for (const demand of holder.demand) {
      if (demand.count <= 0) continue;
      const best = earliest.get(demand.workspace);
      if (
        !best || demand.earliestDeadline < best.demand.earliestDeadline ||
        (demand.earliestDeadline === best.demand.earliestDeadline &&
          demand.count > best.demand.count)
      ) {
        const { workspace } = demand;
        earliest.set(workspace, { workspace, holder, demand });
      }
    }
  }
  return earliest;
}

export type WeightOf = (workspace: WorkspaceId) => number;

/** Served slot time to weight; running calls count with their expected time at least. */
function shareRatios(
  state: UpstreamState,
  weightOf: WeightOf,
  now: number,
): Map<WorkspaceId, number> {
  const used = new Map<WorkspaceId, number>();
  for (const [workspace, account] of state.accounts) {
    used.set(workspace, account.served);
  }
  for (const grant of state.grants.values()) {
    if (grant.revokedAt !== undefined) continue;
    const running = Math.max(
      state.averageSlotMilliseconds,
      now - grant.grantedAt,
    );
    used.set(grant.workspace, (used.get(grant.workspace) ?? 0) + running);
  }
  for (const [workspace, time] of used) {
    used.set(workspace, time / weightOf(workspace));
  }
  return used;
}

/**
 * Lifts the account of a workspace that had nothing to do to the lowest active ratio, so that
 * idle time earns no claim on the future.
 */
function activate(
  state: UpstreamState,
  demanded: ReadonlySet<WorkspaceId>,
  weightOf: WeightOf,
  now: number,
): void {
  const active = new Set(demanded);
  for (const grant of state.grants.values()) active.add(grant.workspace);
  for (const workspace of active) accountOf(state, workspace);
  const ratios = shareRatios(state, weightOf, now);
  let lowest = Number.POSITIVE_INFINITY;
  for (const [workspace, account] of state.accounts) {
    if (account.wasActive && active.has(workspace)) {
      lowest = Math.min(lowest, ratios.get(workspace) ?? 0);
    }
  }
  for (const [workspace, account] of state.accounts) {
    const isActive = active.has(workspace);
    if (isActive && !account.wasActive && Number.isFinite(lowest)) {
      account.served = Math.max(account.served, lowest * weightOf(workspace));
    }
    account.wasActive = isActive;
  }
}

/** Gives grants while slots are free; `nextNumber` numbers them. */
export function scheduleGrants(
  state: UpstreamState,
  options: {
    run: string;
    nextNumber: () => number;
    weightOf: WeightOf;
    now: number;
  },
): GrantRecord[] {
  const { run, nextNumber, weightOf, now } = options;
  if (now < state.grantsFrom) return [];
  const limit = Math.floor(state.learned.limit);
  const reserved = reservedSlots(state.reserve, {
    concurrency: limit,
    firstToken: usualFirstToken(state.learned),
    now,
  });
  let free = limit - reserved - onlineInFlight(state) - state.grants.size;
  if (free < 1) return [];
  const granted: GrantRecord[] = [];
  let candidates = earliestDemands(state);
  if (candidates.size === 0) return [];
  activate(state, new Set(candidates.keys()), weightOf, now);
  const ratios = shareRatios(state, weightOf, now);
  for (; free >= 1 && candidates.size > 0; free--) {
    let best: Candidate | undefined;
    let bestRatio = Number.POSITIVE_INFINITY;
    for (const candidate of candidates.values()) {
      const ratio = ratios.get(candidate.workspace) ?? 0;
      if (ratio < bestRatio) {
        best = candidate;
        bestRatio = ratio;
      }
    }
    if (!best) break;
    const { workspace, holder, demand } = best;
    const number = nextNumber();
    const grant: GrantRecord = {
      id: `${run}/${number}`,
      number,
      instance: holder.instance,
      workspace,
      target: demand.target,
      grantedAt: now,
      revokedAt: undefined,
    };
    demand.count -= 1;
    state.grants.set(grant.id, grant);
    granted.push(grant);
    const expected = state.averageSlotMilliseconds / weightOf(workspace);
    ratios.set(workspace, bestRatio + expected);
    candidates = earliestDemands(state);
  }
  return granted;
}

/** Takes back the newest grants until the rest fits beside the online requests. */
export function revokeExcess(
  state: UpstreamState,
  now: number,
): GrantRecord[] {
  const limit = Math.floor(state.learned.limit);
  const standing: GrantRecord[] = [];
  let stuck = 0;
  for (const grant of state.grants.values()) {
    if (grant.revokedAt === undefined) standing.push(grant);
    else if (now - grant.revokedAt >= stuckRevocationMilliseconds) stuck += 1;
  }
  const excess = onlineInFlight(state) + standing.length + stuck - limit;
  if (excess <= 0) return [];
  const newest = standing.sort((left, right) =>
    right.grantedAt - left.grantedAt || right.number - left.number
  ).slice(0, excess);
  for (const grant of newest) grant.revokedAt = now;
  return newest;
}

/** Drops everything of an instance that is gone or silent. */
export function dropHolder(state: UpstreamState, instance: InstanceId): void {
  state.holders.delete(instance);
  for (const [id, grant] of state.grants) {
    if (grant.instance === instance) state.grants.delete(id);
  }
}

/** Brings the grants of an instance in line with the full list of those it holds. */
export function reconcileHeld(
  state: UpstreamState,
  instance: InstanceId,
  held: readonly {
    readonly id: string;
    readonly workspace: WorkspaceId;
    readonly target: CapacityTarget;
    readonly heldMilliseconds: number;
  }[],
  options: { seen: number; now: number; lostAfterMilliseconds: number },
): void {
  const { seen, now, lostAfterMilliseconds } = options;
  const heldIds = new Set(held.map((grant) => grant.id));
  for (const [id, grant] of state.grants) {
    if (grant.instance !== instance || heldIds.has(id)) continue;
    const isOnItsWay = grant.number > seen &&
      now - grant.grantedAt < lostAfterMilliseconds;
    if (!isOnItsWay) state.grants.delete(id);
  }
  for (const grant of held) {
    if (state.grants.has(grant.id)) continue;
    state.grants.set(grant.id, {
      id: grant.id,
      number: 0,
      instance,
      workspace: grant.workspace,
      target: grant.target,
      grantedAt: now - grant.heldMilliseconds,
      revokedAt: undefined,
    });
  }
}
