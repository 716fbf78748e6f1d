/**
 * Decides whether to propose a silent member for eviction, based on the reports of the members
 * that should hear from it. The eviction takes effect only through the log, so a wrong proposal
 * costs a rejoin but never safety.
 */

import type { InstanceId } from "../common/ids.ts";
import {
  proposalRankDelayMilliseconds,
  reportValidityMilliseconds,
  silenceThresholdMilliseconds,
  unanimousSilenceThresholdMilliseconds,
} from "./constants.ts";
import { majorityOf } from "./peer-group.ts";

/** The last report of a member, or of this instance itself, about silent members. */
export interface SilenceReport {
  /** Monotonic time at which the report arrived. */
  readonly receivedAt: number;
  readonly silent: ReadonlySet<InstanceId>;
}

export interface EvictionInput {
  readonly now: number;
  readonly suspect: InstanceId;
  /** Monotonic time at which the last heartbeat or reply of the suspect arrived. */
  readonly lastHeardAt: number;
  /** Members whose reports count; never includes the suspect. */
  readonly watchers: readonly InstanceId[];
  readonly reports: ReadonlyMap<InstanceId, SilenceReport>;
  /** Place of this instance in the ranking of proposers, 0 for the first. */
  readonly rank: number;
}

/** Watched members that were not heard from for at least the threshold in milliseconds. */
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

/**
 * Whether to propose the eviction now: a majority of the watchers must report the suspect as
 * silent or, after a long silence, all watchers with a current report. Members further down the
 * ranking wait longer.
 */
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
