/**
 * Schedules the batch calls of one upstream with plain data and functions, without a clock or
 * messages. Online requests are only counted; each batch call needs a grant. The workspace with
 * the lowest ratio of slot time to weight goes first, and within it the earliest deadline. Slot
 * time is the time that calls occupy a slot of the upstream. Points in time are monotonic
 * milliseconds.
 */

import type { InstanceId, UpstreamName, WorkspaceId } from "../common/ids.ts";
import type { BatchDemand, CapacityTarget } from "./capacity.ts";
import {
  callDurationSmoothing,
  initialCallMilliseconds,
  revocationLimitMilliseconds,
} from "./constants.ts";
import {
  type AdaptiveLimit,
  baselineFirstTokenMilliseconds,
  createAdaptiveLimit,
} from "./adaptive-limit.ts";
import {
  createOnlineReserve,
  type OnlineReserve,
  recordOnlineStarts,
  recordRevocation,
  reservedSlots,
} from "./online-reserve.ts";

/** A grant that has not ended. */
export interface GrantRecord {
  readonly id: string;
  /** Sequence number in the coordinator's run; 0 for grants of an earlier coordinator. */
  readonly number: number;
  readonly instance: InstanceId;
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  readonly grantedAt: number;
  /** When the grant was revoked; it stays recorded until its call has ended. */
  revokedAt: number | undefined;
}

/** Batch demand of an instance, less the grants issued for it. */
export interface DemandRecord {
  readonly workspace: WorkspaceId;
  readonly target: CapacityTarget;
  count: number;
  readonly earliestDeadline: number;
}

/** What an instance has reported about the upstream. */
export interface ClientRecord {
  readonly instance: InstanceId;
  lastReportAt: number;
  /** Online requests in flight. */
  online: number;
  demand: DemandRecord[];
}

/** Use of the upstream by one workspace, for fair sharing. */
export interface Account {
  /** Slot time of calls that have ended without revocation. */
  servedMilliseconds: number;
  /** Whether the workspace had demand or grants when grants were last issued. */
  wasActive: boolean;
}

/** Everything that the coordinator knows about one upstream. */
export interface UpstreamState {
  readonly upstream: UpstreamName;
  adaptiveLimit: AdaptiveLimit;
  onlineReserve: OnlineReserve;
  /** No grants are issued before this point in time. */
  grantsStartAt: number;
  readonly clients: Map<InstanceId, ClientRecord>;
  readonly grants: Map<string, GrantRecord>;
  readonly accounts: Map<WorkspaceId, Account>;
  /** Moving average of the duration of batch calls that were not revoked. */
  averageCallMilliseconds: number;
}

export function createUpstreamState(
  upstream: UpstreamName,
  options: { concurrency: number; onlineReserve: number; now: number },
): UpstreamState {
  return {
    upstream,
    adaptiveLimit: createAdaptiveLimit(options.concurrency, options.now),
    onlineReserve: createOnlineReserve(options.onlineReserve),
    grantsStartAt: options.now,
    clients: new Map(),
    grants: new Map(),
    accounts: new Map(),
    averageCallMilliseconds: initialCallMilliseconds,
  };
}

/** Text that identifies a target, for comparison. */
export function targetKey(target: CapacityTarget): string {
  return target.kind === "model"
    ? `model/${target.model}`
    : `upstream/${target.upstream}`;
}

/** The record of an instance, created if it is missing. */
export function clientOf(
  state: UpstreamState,
  instance: InstanceId,
  now: number,
): ClientRecord {
  let client = state.clients.get(instance);
  if (!client) {
    client = { instance, lastReportAt: now, online: 0, demand: [] };
    state.clients.set(instance, client);
  }
  return client;
}

/** Sets the number of online requests that an instance has in flight. */
export function setOnline(
  state: UpstreamState,
  client: ClientRecord,
  online: number,
  now: number,
): void {
  state.onlineReserve = recordOnlineStarts(
    state.onlineReserve,
    online - client.online,
    now,
  );
  client.online = online;
}

export function onlineInFlight(state: UpstreamState): number {
  let online = 0;
  for (const client of state.clients.values()) online += client.online;
  return online;
}

/**
 * Replaces an instance's demand. Grants with a number above `seen`, the last one that the instance
 * had received when it sent the demand, are deducted.
 */
export function replaceDemand(
  state: UpstreamState,
  client: ClientRecord,
  demand: readonly BatchDemand[],
  seen: number,
): void {
  client.demand = demand.map((entry) => ({ ...entry }));
  for (const grant of state.grants.values()) {
    if (grant.instance !== client.instance || grant.number <= seen) continue;
    deductDemand(client, grant.workspace, grant.target);
  }
}

function deductDemand(
  client: ClientRecord,
  workspace: WorkspaceId,
  target: CapacityTarget,
): void {
  const key = targetKey(target);
  const entry = client.demand.find((candidate) =>
    candidate.workspace === workspace && candidate.count > 0 &&
    targetKey(candidate.target) === key
  );
  if (entry) entry.count -= 1;
}

function accountOf(state: UpstreamState, workspace: WorkspaceId): Account {
  let account = state.accounts.get(workspace);
  if (!account) {
    account = { servedMilliseconds: 0, wasActive: false };
    state.accounts.set(workspace, account);
  }
  return account;
}

/** Ends a grant. A revoked call's slot time is not charged to its workspace: its work was lost. */
export function endGrant(state: UpstreamState, id: string, now: number): void {
  const grant = state.grants.get(id);
  if (!grant) return;
  state.grants.delete(id);
  if (grant.revokedAt !== undefined) {
    const revocationMilliseconds = now - grant.revokedAt;
    if (revocationMilliseconds < revocationLimitMilliseconds) {
      state.onlineReserve = recordRevocation(
        state.onlineReserve,
        revocationMilliseconds,
      );
    }
    return;
  }
  const callMilliseconds = Math.max(0, now - grant.grantedAt);
  accountOf(state, grant.workspace).servedMilliseconds += callMilliseconds;
  state.averageCallMilliseconds +=
    (callMilliseconds - state.averageCallMilliseconds) *
    callDurationSmoothing;
}

interface Candidate {
  readonly workspace: WorkspaceId;
  readonly client: ClientRecord;
  readonly demand: DemandRecord;
}

/** The demand with the earliest deadline of each workspace; of equal ones the largest. */
function earliestDemands(state: UpstreamState): Map<WorkspaceId, Candidate> {
  const earliest = new Map<WorkspaceId, Candidate>();
  for (const client of state.clients.values()) {
    for (const demand of client.demand) {
      if (demand.count <= 0) continue;
      const best = earliest.get(demand.workspace);
      if (
        !best || demand.earliestDeadline < best.demand.earliestDeadline ||
        (demand.earliestDeadline === best.demand.earliestDeadline &&
          demand.count > best.demand.count)
      ) {
        const { workspace } = demand;
        earliest.set(workspace, { workspace, client, demand });
      }
    }
  }
  return earliest;
}

export type WeightOf = (workspace: WorkspaceId) => number;

/** Ratio of slot time to weight of each workspace; running calls count at least the average. */
function shareRatios(
  state: UpstreamState,
  weightOf: WeightOf,
  now: number,
): Map<WorkspaceId, number> {
  const usage = new Map<WorkspaceId, number>();
  for (const [workspace, account] of state.accounts) {
    usage.set(workspace, account.servedMilliseconds);
  }
  for (const grant of state.grants.values()) {
    if (grant.revokedAt !== undefined) continue;
    const expectedMilliseconds = Math.max(
      state.averageCallMilliseconds,
      now - grant.grantedAt,
    );
    usage.set(
      grant.workspace,
      (usage.get(grant.workspace) ?? 0) + expectedMilliseconds,
    );
  }
  for (const [workspace, slotMilliseconds] of usage) {
    usage.set(workspace, slotMilliseconds / weightOf(workspace));
  }
  return usage;
}

/**
 * Raises the account of each workspace that becomes active to the lowest ratio among the active
 * workspaces, so that a workspace gains no later advantage from being idle.
 */
function updateActiveAccounts(
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
      account.servedMilliseconds = Math.max(
        account.servedMilliseconds,
        lowest * weightOf(workspace),
      );
    }
    account.wasActive = isActive;
  }
}

/** Issues grants while slots are free; `nextNumber` returns their sequence numbers. */
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
  if (now < state.grantsStartAt) return [];
  const limit = Math.floor(state.adaptiveLimit.limit);
  const reserved = reservedSlots(state.onlineReserve, {
    concurrency: limit,
    firstTokenMilliseconds: baselineFirstTokenMilliseconds(state.adaptiveLimit),
    now,
  });
  let free = limit - reserved - onlineInFlight(state) - state.grants.size;
  if (free < 1) return [];
  const granted: GrantRecord[] = [];
  let candidates = earliestDemands(state);
  if (candidates.size === 0) return [];
  updateActiveAccounts(state, new Set(candidates.keys()), weightOf, now);
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
    const { workspace, client, demand } = best;
    const number = nextNumber();
    const grant: GrantRecord = {
      id: `${run}/${number}`,
      number,
      instance: client.instance,
      workspace,
      target: demand.target,
      grantedAt: now,
      revokedAt: undefined,
    };
    demand.count -= 1;
    state.grants.set(grant.id, grant);
    granted.push(grant);
    const expectedShare = state.averageCallMilliseconds / weightOf(workspace);
    ratios.set(workspace, bestRatio + expectedShare);
    candidates = earliestDemands(state);
  }
  return granted;
}

/**
 * Revokes the newest grants until the others fit into the limit beside the online requests. Grants
 * revoked within `revocationLimitMilliseconds` count as ended, overdue ones still as in use.
 */
export function revokeExcess(
  state: UpstreamState,
  now: number,
): GrantRecord[] {
  const limit = Math.floor(state.adaptiveLimit.limit);
  const unrevoked: GrantRecord[] = [];
  let overdue = 0;
  for (const grant of state.grants.values()) {
    if (grant.revokedAt === undefined) unrevoked.push(grant);
    else if (now - grant.revokedAt >= revocationLimitMilliseconds) overdue += 1;
  }
  const excess = onlineInFlight(state) + unrevoked.length + overdue - limit;
  if (excess <= 0) return [];
  const newest = unrevoked.sort((left, right) =>
    right.grantedAt - left.grantedAt || right.number - left.number
  ).slice(0, excess);
  for (const grant of newest) grant.revokedAt = now;
  return newest;
}

/** Removes the record and the grants of an instance that has left or stopped reporting. */
export function dropClient(state: UpstreamState, instance: InstanceId): void {
  state.clients.delete(instance);
  for (const [id, grant] of state.grants) {
    if (grant.instance === instance) state.grants.delete(id);
  }
}

/**
 * Replaces the recorded grants of an instance with the full list of those it holds. A grant with a
 * number above `seen`, the last one that the instance had received, may still be in transit and is
 * kept for `lostAfterMilliseconds`.
 */
export function reconcileHeld(
  state: UpstreamState,
  instance: InstanceId,
  held: readonly {
    readonly id: string;
    readonly workspace: WorkspaceId;
    readonly target: CapacityTarget;
    readonly heldMilliseconds: number;
  }[],
  options: {
    seen: number;
    now: number;
    lostAfterMilliseconds: number;
  },
): void {
  const { seen, now, lostAfterMilliseconds } = options;
  const heldIds = new Set(held.map((grant) => grant.id));
  for (const [id, grant] of state.grants) {
    if (grant.instance !== instance || heldIds.has(id)) continue;
    const isInTransit = grant.number > seen &&
      now - grant.grantedAt < lostAfterMilliseconds;
    if (!isInTransit) state.grants.delete(id);
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
