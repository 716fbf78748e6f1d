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
  maximumCommonCauseChance,
  maximumOwnChance,
  ownPriorChance,
  priorOdds,
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

/** Crashes that something else than the part explains together, and how likely that is. */
interface Explanation {
  readonly crashes: readonly Crash[];
  readonly chance: number;
}

/**
 * The fewest explanations of the crashes if the part is sound, found greedily: each is the own part
 * of a request that is in as many of them as possible. Returns how likely each is.
 */
export function explain(
  part: PromptPartId,
  crashes: readonly Crash[],
  context: CauseContext,
): number[] {
  const chances: number[] = [];
  const unexplained = new Set(separateCrashes(crashes, part));
  const candidates = candidatesOf(part, unexplained, context);
  while (unexplained.size > 0) {
    const best = explainNext(part, unexplained, candidates, context);
    chances.push(best.chance);
    for (const crash of best.crashes) unexplained.delete(crash);
  }
  return chances;
}

/** The crashes that may be due to each other part. */
function candidatesOf(
  part: PromptPartId,
  crashes: ReadonlySet<Crash>,
  { crashesOf, hasBegunBefore }: CauseContext,
): Map<PromptPartId, Set<Crash>> {
  const candidates = new Map<PromptPartId, Set<Crash>>();
  const add = (other: PromptPartId, crash: Crash) => {
    if (other === part || !crashesOf(other)?.has(crash)) return;
    const explained = candidates.get(other) ?? new Set();
    candidates.set(other, explained.add(crash));
  };
  for (const crash of crashes) {
    const runs = [...crash.suspects.values()];
    // Shared parts in place of another shared one are named in the verdict instead.
    const isOwn = runs.some(({ ownPart }) => ownPart === part);
    for (const run of runs) {
      add(run.ownPart, crash);
      if (!isOwn) continue;
      for (const shared of run.parts) {
        if (!hasBegunBefore(shared)) add(shared, crash);
      }
    }
  }
  return candidates;
}

function explainNext(
  part: PromptPartId,
  unexplained: ReadonlySet<Crash>,
  candidates: ReadonlyMap<PromptPartId, ReadonlySet<Crash>>,
  context: CauseContext,
): Explanation {
  let best: Explanation | undefined;
  for (const [other, explained] of candidates) {
    const crashes = [...explained].filter((crash) => unexplained.has(crash));
    if (crashes.length === 0) continue;
    const chance = chanceOf(other, part, crashes, context);
    const isBetter = !best || crashes.length > best.crashes.length ||
      crashes.length === best.crashes.length && chance > best.chance;
    if (isBetter) best = { crashes, chance };
  }
  const crashes = best?.crashes ?? [[...unexplained][0]!];
  const ofServers = crashes.reduce(
    (product, crash) => product * chanceOfServer(part, crash, context),
    1,
  );
  return { crashes, chance: Math.min(1, (best?.chance ?? 0) + ofServers) };
}

/**
 * How likely one of the requests that may explain the crashes does, given the other crashes under
 * the own part, each of which is shared among the requests that it ended.
 */
function chanceOf(
  other: PromptPartId,
  part: PromptPartId,
  crashes: readonly Crash[],
  { crashesOf }: CauseContext,
): number {
  const isShared = crashes.some(({ suspects }) =>
    ![...suspects.values()].some(({ ownPart }) => ownPart === other)
  );
  const ofPart = crashesOf(part);
  const isElsewhere = [...crashesOf(other) ?? []]
    .some((crash) => !ofPart?.has(crash));
  if (isShared) return isElsewhere ? repeatedPartChance : priorOdds;
  const liveRuns = (crash: Crash) =>
    [...crash.suspects.values()]
      .filter((run) => crashesOf(run.ownPart)?.has(crash)).length;
  let chance = ownPriorChance * Math.min(...crashes.map(liveRuns));
  for (const crash of crashesOf(other) ?? []) {
    if (!ofPart?.has(crash)) chance += 1 / Math.max(1, liveRuns(crash));
  }
  return Math.min(maximumOwnChance, chance);
}

export function isIn(
  { parts, ownPart }: CrashedRun,
  part: PromptPartId,
): boolean {
  return ownPart === part || parts.includes(part);
}

/** The server itself, which crashes more often than others, or a cause of several servers. */
function chanceOfServer(
  part: PromptPartId,
  crash: Crash,
  { crashes, crashesOf }: CauseContext,
): number {
  const neighbors =
    crash.neighbors.filter((neighbor) => !wasSentBetween(neighbor, crash, part))
      .length;
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
    Math.min(maximumCommonCauseChance, neighbors * commonCauseChance),
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
