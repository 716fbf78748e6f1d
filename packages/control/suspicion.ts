/**
 * Decides which members to propose for eviction from the reports of the members that should
 * hear from them. The log decides on the eviction; a wrong proposal costs a rejoin, not safety.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  proposalRankDelayMilliseconds,
  reportValidityMilliseconds,
  silenceThresholdMilliseconds,
  unanimousSilenceThresholdMilliseconds,
} from "./constants.ts";
import { majorityOf } from "./peer-group.ts";

/** What a member last reported, including the instance's own report. */
export interface SilenceReport {
  /** Monotonic time at which the report arrived. */
  readonly receivedAt: number;
  readonly silent: ReadonlySet<InstanceId>;
}

export interface EvictionInput {
  readonly now: number;
  readonly suspect: InstanceId;
  /** Monotonic time at which the suspect was last heard from. */
  readonly lastHeardAt: number;
  /** Members whose reports count, without the suspect. */
  readonly watchers: readonly InstanceId[];
  readonly reports: ReadonlyMap<InstanceId, SilenceReport>;
  /** Place of this instance among the possible proposers, 0 for the first. */
  readonly rank: number;
}

/** Members that were not heard from for too long. */
export function silentMembers(
  watched: readonly InstanceId[],
  lastHeardAt: ReadonlyMap<InstanceId, number>,
  now: number,
  threshold = silenceThresholdMilliseconds,
): InstanceId[] {
  return watched.filter((instance) =>
    now - (lastHeardAt.get(instance) ?? now) >= threshold
  );
}

export function shouldProposeEviction(input: EvictionInput): boolean {
  const { now, suspect, lastHeardAt, watchers, reports, rank } = input;
  const silenceDuration = now - lastHeardAt;
  if (
    silenceDuration <
      silenceThresholdMilliseconds + rank * proposalRankDelayMilliseconds
  ) {
    return false;
  }
  const currentReports = watchers.flatMap((watcher) => {
    const report = reports.get(watcher);
    return report && now - report.receivedAt <= reportValidityMilliseconds
      ? [report]
      : [];
  });
  const agreeingCount =
    currentReports.filter((report) => report.silent.has(suspect)).length;
  if (agreeingCount === 0) return false;
  if (agreeingCount >= majorityOf(watchers.length)) return true;
  return agreeingCount === currentReports.length &&
    silenceDuration >= unanimousSilenceThresholdMilliseconds;
}
