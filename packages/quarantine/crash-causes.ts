/**
 * How likely a crash would have happened if a given part were sound: the own parts of the requests
 * that it ended, the server itself, and a common cause of several servers may explain it instead.
 * Own parts are weighed by the other crashes that they were in.
 */

import type { InstanceId, PromptPartId, UpstreamName } from "../common/ids.ts";
import {
  baseRateWindowMilliseconds,
  commonCauseChance,
  crashEpisodeMilliseconds,
  maximumOwnChance,
  ownPriorChance,
  repeatedPartChance,
  serverChance,
} from "./constants.ts";

export interface CrashedRun {
  readonly parts: readonly PromptPartId[];
  /** The part that belongs to the request or its session alone, or a name for it. */
  readonly ownPart: PromptPartId;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
}

export interface Crash {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly server: InstanceId;
  readonly serverStartedAt: number;
  readonly service: UpstreamName;
  /** By the id of the request. */
  readonly suspects: Map<string, CrashedRun>;
  /** Crashes of other servers about the same time. */
  readonly neighbors: Crash[];
}

export interface CauseContext {
  /** Crashes since the last answer to a request with the part. */
  readonly crashesOf: (part: PromptPartId) => ReadonlySet<Crash> | undefined;
  readonly hasBegunBefore: (part: PromptPartId) => boolean;
  readonly crashes: readonly Crash[];
}

/** The probability of each of the crashes if the part is sound, those of one episode counted once. */
export function chancesWithout(
  part: PromptPartId,
  crashes: readonly Crash[],
  context: CauseContext,
): number[] {
  return separateCrashes(crashes, part).map((crash) =>
    chanceWithout(part, crash, context)
  );
}

export function isIn(
  { parts, ownPart }: CrashedRun,
  part: PromptPartId,
): boolean {
  return ownPart === part || parts.includes(part);
}

function chanceWithout(
  part: PromptPartId,
  crash: Crash,
  context: CauseContext,
): number {
  let chanceOfNone = 1 - chanceOfServer(part, crash, context);
  const runs = [...crash.suspects.values()];
  const alternatives = new Set(
    runs.map(({ ownPart }) => ownPart).filter((own) => own !== part),
  );
  for (const ownPart of alternatives) {
    chanceOfNone *= 1 - chanceOfOwnPart(ownPart, part, crash, context);
  }
  // Shared parts in place of another shared one are named in the verdict instead.
  const isOwn = runs.some(({ ownPart }) => ownPart === part);
  if (isOwn && isUnderRepeatedPart(crash, part, context)) {
    chanceOfNone *= 1 - repeatedPartChance;
  }
  return 1 - chanceOfNone;
}

/** Grows with the other crashes under the own part, each shared among the requests that it ended. */
function chanceOfOwnPart(
  ownPart: PromptPartId,
  part: PromptPartId,
  crash: Crash,
  { crashesOf }: CauseContext,
): number {
  const counted = crashesOf(ownPart);
  const ofPart = crashesOf(part);
  // The request has been answered since.
  if (!counted?.has(crash)) return 0;
  let chance = ownPriorChance;
  for (const other of counted) {
    if (other === crash) continue;
    if (other.at > crash.at && ofPart?.has(other)) continue;
    const suspects = [...other.suspects.values()]
      .filter((run) => crashesOf(run.ownPart)?.has(other));
    chance += 1 / Math.max(1, suspects.length);
  }
  return Math.min(maximumOwnChance, chance);
}

/** The server itself, which crashes more often than others, or a cause of several servers. */
function chanceOfServer(
  part: PromptPartId,
  crash: Crash,
  { crashes, crashesOf }: CauseContext,
): number {
  const isCorrelated = crash.neighbors.some((neighbor) =>
    !wasSentBetween(neighbor, crash, part)
  );
  const ofPart = crashesOf(part);
  let all = 0;
  let ofServer = 0;
  for (const other of crashes) {
    if (ofPart?.has(other)) continue;
    if (Math.abs(other.at - crash.at) > baseRateWindowMilliseconds) continue;
    all += 1;
    if (other.server === crash.server) ofServer += 1;
  }
  return Math.max(
    serverChance,
    isCorrelated ? commonCauseChance : 0,
    // One crash of the server may be due to chance.
    Math.max(0, ofServer - 1) / (all + 1),
  );
}

/** True if a run with the part was sent after one of the crashes and met the other. */
function wasSentBetween(
  left: Crash,
  right: Crash,
  part: PromptPartId,
): boolean {
  const [first, second] = left.at <= right.at ? [left, right] : [right, left];
  return [...second.suspects.values()].some((run) =>
    run.sentAt > first.at && isIn(run, part)
  );
}

/** True if the crash has a shared part that was in other crashes too and was never answered. */
function isUnderRepeatedPart(
  crash: Crash,
  ownPart: PromptPartId,
  { crashesOf, hasBegunBefore }: CauseContext,
): boolean {
  return [...crash.suspects.values()].some((run) =>
    run.ownPart !== ownPart &&
    run.parts.some((shared) =>
      !hasBegunBefore(shared) && (crashesOf(shared)?.size ?? 0) > 1
    )
  );
}

/** Leaves out crashes that happened together with an earlier one. */
function separateCrashes(
  crashes: readonly Crash[],
  part: PromptPartId,
): Crash[] {
  const separate: Crash[] = [];
  let beganAt = Number.NEGATIVE_INFINITY;
  for (
    const crash of crashes.toSorted((left, right) => left.at - right.at)
  ) {
    const wasSentAfter = [...crash.suspects.values()].some((run) =>
      run.sentAt > beganAt && isIn(run, part)
    );
    if (!wasSentAfter && crash.at - beganAt < crashEpisodeMilliseconds) {
      continue;
    }
    separate.push(crash);
    beganAt = crash.at;
  }
  return separate;
}
