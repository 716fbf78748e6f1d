/**
 * Decides which members to propose for eviction from the reports of the members that should
 * hear from them. The log decides on the eviction; a wrong proposal costs a rejoin, not safety.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  lastResortSilenceMilliseconds,
  proposalRankDelayMilliseconds,
  reportMilliseconds,
  silenceMilliseconds,
} from "./constants.ts";
import { majorityOf } from "./peer-group.ts";

/** What a member last reported, including the instance's own report. */
export interface SilenceReport {
  /** Monotonic time at which the report arrived. */
  readonly at: number;
  readonly silent: ReadonlySet<InstanceId>;
}

export interface EvictionInput {
  readonly now: number;
  readonly suspect: InstanceId;
  /** Monotonic time at which the suspect was last heard from. */
  readonly heardAt: number;
  /** Members whose reports count, without the suspect. */
  readonly watchers: readonly InstanceId[];
  readonly reports: ReadonlyMap<InstanceId, SilenceReport>;
  /** Place of this instance among the possible proposers, 0 for the first. */
  readonly rank: number;
}

/** Members that were not heard from for too long. */
export function silentMembers(
  watched: readonly InstanceId[],
  heardAt: ReadonlyMap<InstanceId, number>,
  now: number,
  limit = silenceMilliseconds,
): InstanceId[] {
  return watched.filter((instance) =>
    now - (heardAt.get(instance) ?? now) >= limit
  );
}

export function shouldProposeEviction(input: EvictionInput): boolean {
  const { now, suspect, heardAt, watchers, reports, rank } = input;
  const silence = now - heardAt;
  if (silence < silenceMilliseconds + rank * proposalRankDelayMilliseconds) {
    return false;
  }
  const current = watchers.flatMap((watcher) => {
    const report = reports.get(watcher);
    return report && now - report.at <= reportMilliseconds ? [report] : [];
  });
  const agreeing =
    current.filter((report) => report.silent.has(suspect)).length;
  if (agreeing === 0) return false;
  if (agreeing >= majorityOf(watchers.length)) return true;
  return agreeing === current.length &&
    silence >= lastResortSilenceMilliseconds;
}
