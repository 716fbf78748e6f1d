/**
 * What this instance knows of crashes of servers and of the answers that servers have begun, as the
 * evidence for and against prompt parts. All of it is bounded: only the newest crashes and the
 * parts of the latest answers are kept.
 */

import type { InstanceId, PromptPartId, UpstreamName } from "../common/ids.ts";
import {
  baseRateWindowMilliseconds,
  crashEpisodeMilliseconds,
  crashGroupingMilliseconds,
  evidenceLifetimeMilliseconds,
  maximumBegunParts,
  maximumCrashes,
  maximumSuspectsOfCrash,
} from "./constants.ts";
import { type Crash, type CrashedRun, explain, isIn } from "./crash-causes.ts";
import type { PartCounts } from "./part-odds.ts";
import { WindowCounter } from "./window-counter.ts";

/** A request that ran at a server when it crashed and whose answer had not begun. */
export interface CrashSuspect {
  readonly request: string;
  readonly sharedPromptParts: readonly PromptPartId[];
  /** The part that belongs to the request or its session alone; its repetition has it too. */
  readonly ownPromptPart?: PromptPartId | undefined;
  /** Time from the send of the request to the crash. */
  readonly runMilliseconds: number;
}

export interface CrashReport {
  readonly server: InstanceId;
  /** Start time of the server, which distinguishes its lifetimes. */
  readonly serverStartedAt: number;
  readonly service: UpstreamName;
  readonly suspects: readonly CrashSuspect[];
}

/** Answers that servers have begun. */
export interface BegunReport {
  /** Shared parts of the prompts. */
  readonly parts: readonly PromptPartId[];
  /** Number of answers of each service. */
  readonly counts: readonly (readonly [UpstreamName, number])[];
}

export class CrashEvidence {
  /** The oldest first. */
  readonly #crashes: Crash[] = [];
  /** The crashes that count against a part. */
  readonly #crashesOfPart = new Map<PromptPartId, Set<Crash>>();
  /** When an answer to a request with the part last began, the least recent first. */
  readonly #begunAt = new Map<PromptPartId, number>();
  /** Grows when the evidence for or against a part with crashes changes. */
  #version = 0;
  readonly #begins = new Map<UpstreamName, WindowCounter>();

  /** Adds the suspects of a crash; repeated reports of one crash and suspect have no effect. */
  addCrash(report: CrashReport, now: number): void {
    const crash = this.#crashOf(report, now);
    this.#version += 1;
    for (const suspect of report.suspects) {
      const { request, sharedPromptParts, runMilliseconds } = suspect;
      if (crash.suspects.size >= maximumSuspectsOfCrash) break;
      const ownPart = ownPartOf(suspect);
      crash.suspects.set(request, {
        parts: sharedPromptParts,
        ownPart,
        sentAt: now - runMilliseconds,
      });
      for (const part of [...sharedPromptParts, ownPart]) {
        const crashes = this.#crashesOfPart.get(part) ?? new Set();
        this.#crashesOfPart.set(part, crashes.add(crash));
      }
    }
  }

  /** Records that answers have begun, which clears the parts of their requests. */
  addBegins({ parts, counts }: BegunReport, now: number): void {
    for (const [service, count] of counts) {
      const counter = this.#begins.get(service) ??
        new WindowCounter(baseRateWindowMilliseconds);
      this.#begins.set(service, counter);
      counter.add(count, now);
    }
    for (const part of parts) {
      if (this.#crashesOfPart.delete(part)) this.#version += 1;
      this.#begunAt.delete(part);
      this.#begunAt.set(part, now);
    }
    for (const part of this.#begunAt.keys()) {
      if (this.#begunAt.size <= maximumBegunParts) break;
      this.#begunAt.delete(part);
    }
  }

  /** Forgets the crashes that count against the part. */
  clear(part: PromptPartId): void {
    this.#version += 1;
    this.#crashesOfPart.delete(part);
  }

  /** Changes when the evidence for or against a part with crashes changes. */
  get version(): number {
    return this.#version;
  }

  countCrashes(part: PromptPartId): number {
    return this.#crashesOfPart.get(part)?.size ?? 0;
  }

  /** True if a crash counts against the part; false for nearly all parts. */
  hasCrashes(part: PromptPartId): boolean {
    return this.#crashesOfPart.has(part);
  }

  /**
   * When the crashes that count against the part were reported, the oldest first; monotonic
   * milliseconds.
   */
  crashTimes(part: PromptPartId): number[] {
    return [...this.#crashesOfPart.get(part) ?? []].map(({ at }) => at)
      .sort((left, right) => left - right);
  }

  /** When an answer to a request with the part last began; undefined if none is known. */
  lastBegunAt(part: PromptPartId): number | undefined {
    return this.#begunAt.get(part);
  }

  /** A crash that a request with a convicted part explains does not count against other requests. */
  countsOf(
    part: PromptPartId,
    isConvicted: (part: PromptPartId) => boolean,
    now: number,
  ): PartCounts {
    const crashes = [...this.#crashesOfPart.get(part) ?? []]
      .filter((crash) => !isExplained(crash, isConvicted, part));
    const services = new Set(crashes.map(({ service }) => service));
    const requests = new Set(
      crashes.flatMap(({ suspects }) =>
        [...suspects.values()]
          .filter((run) => isIn(run, part))
          .map(({ ownPart }) => ownPart)
      ),
    );
    return {
      crashes: crashes.length,
      explanations: this.#explain(part, crashes),
      requests: requests.size,
      isSingledOut: crashes.length > 0 &&
        this.alternativesOf(part).length === 0,
      hasBegunBefore: this.#begunAt.has(part),
      otherCrashedRuns: this.#countOtherRuns(part, services, isConvicted, now),
      otherBegins: [...services].reduce(
        (sum, service) => sum + (this.#begins.get(service)?.count(now) ?? 0),
        0,
      ),
    };
  }

  /** The chances of what else explains the crashes that count against the part. */
  explanationsOf(part: PromptPartId): number[] {
    return this.#explain(part, [
      ...this.#crashesOfPart.get(part) ?? [],
    ]);
  }

  #explain(part: PromptPartId, crashes: readonly Crash[]): number[] {
    return explain(part, crashes, {
      crashesOf: (other) => this.#crashesOfPart.get(other),
      hasBegunBefore: (other) => this.#begunAt.has(other),
      crashes: this.#crashes,
    });
  }

  /**
   * Other parts that may have caused the crashes in place of the given one: those of the suspects on
   * which servers have never begun an answer, and that were in most of the crashes. Empty if one of
   * the crashes has no other explanation.
   */
  alternativesOf(part: PromptPartId): PromptPartId[] {
    const crashes = [...this.#crashesOfPart.get(part) ?? []];
    const others = crashes.map(({ suspects }) =>
      new Set(
        [...suspects.values()].flatMap(({ parts }) => parts)
          .filter((other) => other !== part && !this.#begunAt.has(other)),
      )
    );
    const counts = new Map<PromptPartId, number>();
    for (const other of others.flatMap((set) => [...set])) {
      counts.set(other, (counts.get(other) ?? 0) + 1);
    }
    const alternatives = [...counts]
      .filter(([, count]) => count * 2 > crashes.length)
      .map(([other]) => other);
    const isExplained = others.every((set) =>
      alternatives.some((other) => set.has(other))
    );
    return isExplained ? alternatives : [];
  }

  /**
   * True if each crashed request with the part has another convicted part, under which a server has
   * also crashed without this one.
   */
  isExplainedByOthers(
    part: PromptPartId,
    isConvicted: (part: PromptPartId) => boolean,
  ): boolean {
    const runs = this.#crashedRunsOf(part);
    return runs.length > 0 &&
      runs.every(({ parts }) =>
        parts.some((other) =>
          other !== part && isConvicted(other) &&
          this.#crashedRunsOf(other).some((run) => !run.parts.includes(part))
        )
      );
  }

  /** Servers that crashed under the part, for the logs. */
  serversOf(part: PromptPartId): InstanceId[] {
    return [...this.#crashesOfPart.get(part) ?? []]
      .map(({ server }) => server);
  }

  #crashedRunsOf(part: PromptPartId): CrashedRun[] {
    return [...this.#crashesOfPart.get(part) ?? []]
      .flatMap(({ suspects }) => [...suspects.values()])
      .filter((run) => isIn(run, part));
  }

  #crashOf(
    { server, serverStartedAt, service }: CrashReport,
    now: number,
  ): Crash {
    this.#expire(now);
    // A server that has started again may be used before its new start time is known.
    const known = this.#crashes.findLast((crash) =>
      crash.server === server && crash.serverStartedAt === serverStartedAt &&
      now - crash.at <= crashGroupingMilliseconds
    );
    if (known) return known;
    const crash: Crash = {
      at: now,
      server,
      serverStartedAt,
      service,
      suspects: new Map(),
      neighbors: this.#crashes.filter((other) =>
        other.server !== server && now - other.at < crashEpisodeMilliseconds
      ),
    };
    for (const neighbor of crash.neighbors) neighbor.neighbors.push(crash);
    this.#crashes.push(crash);
    return crash;
  }

  #countOtherRuns(
    part: PromptPartId,
    services: ReadonlySet<UpstreamName>,
    isConvicted: (part: PromptPartId) => boolean,
    now: number,
  ): number {
    const counted = this.#crashesOfPart.get(part);
    let runs = 0;
    for (const crash of this.#crashes) {
      if (!services.has(crash.service) || counted?.has(crash)) continue;
      if (isExplained(crash, isConvicted)) continue;
      if (now - crash.at <= baseRateWindowMilliseconds) {
        runs += crash.suspects.size;
      }
    }
    return runs;
  }

  #expire(now: number): void {
    for (;;) {
      const [oldest] = this.#crashes;
      if (!oldest) return;
      const isOld = now - oldest.at > evidenceLifetimeMilliseconds;
      if (!isOld && this.#crashes.length < maximumCrashes) return;
      this.#crashes.shift();
      const runs = [...oldest.suspects.values()];
      const expired = runs.flatMap(({ parts, ownPart }) => [...parts, ownPart]);
      for (const neighbor of oldest.neighbors) {
        neighbor.neighbors.splice(neighbor.neighbors.indexOf(oldest), 1);
      }
      for (const part of new Set(expired)) {
        const crashes = this.#crashesOfPart.get(part);
        crashes?.delete(oldest);
        if (crashes?.size === 0) this.#crashesOfPart.delete(part);
      }
    }
  }
}

/** True if a request without the given part, or any request, has a convicted part. */
function isExplained(
  { suspects }: Crash,
  isConvicted: (part: PromptPartId) => boolean,
  part?: PromptPartId,
): boolean {
  return [...suspects.values()].some(({ parts }) =>
    (part === undefined || !parts.includes(part)) && parts.some(isConvicted)
  );
}

/** A request without parts is known by its id. */
function ownPartOf({ ownPromptPart, request }: CrashSuspect): PromptPartId {
  return ownPromptPart ?? `request/${request}` as PromptPartId;
}
