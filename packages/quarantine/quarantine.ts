/**
 * Keeps requests away from servers that would crash under them (queries of death). Decides from the
 * crashes that all instances report which prompt part is the cause, has suspected parts tried one
 * request at a time, and rejects requests with a convicted part. Every coordinator receives the
 * same reports and so reaches the same verdicts; the store keeps them for instances that start
 * later.
 */

import type { Clock } from "../common/clock.ts";
import { rankByRendezvous } from "../common/hashing.ts";
import type {
  Incarnation,
  InstanceId,
  PromptPartId,
  UpstreamName,
} from "../common/ids.ts";
import type { Logger } from "../common/logging.ts";
import { systemTimers, type Timers } from "../common/timers.ts";
import type { PeerNetwork } from "../protocol/peer-network.ts";
import type { KeyedRecord } from "../store/keyed-store.ts";
import { ConvictionSchedule } from "./conviction-schedule.ts";
import { BegunParts } from "./begun-parts.ts";
import {
  convictionDelayMilliseconds,
  freshTrialMilliseconds,
  trialTurnMilliseconds,
} from "./constants.ts";
import {
  type BegunReport,
  CrashEvidence,
  type CrashReport,
} from "./crash-evidence.ts";
import { sendCrashReport } from "./crash-reports.ts";
import {
  begunMessage,
  confirmationMessage,
  crashMessage,
  trialMessage,
} from "./messages.ts";
import { askForAnswers } from "./part-confirmation.ts";
import { judgeOwnPart, verdictOnOwnPart } from "./own-parts.ts";
import { PartStandings } from "./part-standings.ts";
import { Trials } from "./trials.ts";
import {
  type TrialClaim,
  type Verdict,
  verdictPartOf,
  VerdictTable,
} from "./verdict-records.ts";
import type { VerdictStore } from "./verdict-store.ts";

export type Judgement =
  | { readonly kind: "clear" }
  /** The request may be sent, if no other with one of the parts is sent before its outcome. */
  | { readonly kind: "trial"; readonly parts: readonly PromptPartId[] }
  /**
   * Another request with a part of this one is on trial, or its verdict is due. With a number of
   * crashes, so many servers crashed under this very request that it must not be sent again.
   */
  | {
    readonly kind: "undecided";
    readonly part: PromptPartId;
    readonly crashes?: number | undefined;
  }
  | { readonly kind: "rejected"; readonly verdict: Verdict };

export interface QuarantineOptions {
  readonly network: PeerNetwork;
  /** All coordinators but this instance. */
  readonly coordinators: () => readonly InstanceId[];
  /** Whether this instance is a coordinator, which receives the reports of all instances. */
  readonly decides: () => boolean;
  readonly store: VerdictStore;
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  /** Called for each crash that is reported, the repeated reports of one crash included. */
  readonly onCrash: (report: CrashReport) => void;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly timers?: Timers;
}

const clear: Judgement = { kind: "clear" };

export class Quarantine {
  readonly #options: Required<QuarantineOptions>;
  readonly #evidence = new CrashEvidence();
  readonly #verdicts = new VerdictTable();
  readonly #begunParts = new BegunParts();
  readonly #trials = new Trials();
  readonly #standings: PartStandings;
  readonly #usedClaims = new WeakSet<TrialClaim>();
  /** Parts about which the other coordinators are being asked. */
  readonly #convictions: ConvictionSchedule;

  constructor(options: QuarantineOptions) {
    this.#options = { timers: systemTimers, ...options };
    this.#convictions = new ConvictionSchedule({
      waitOf: (part) => this.#convictionWait(part),
      confirm: (part) => this.#confirm(part),
      convict: (part) => this.#convict(part),
      timers: this.#options.timers,
      now: options.clock.monotonicNow,
    });
    this.#standings = new PartStandings({
      evidence: this.#evidence,
      isConvicted: (part) => this.#verdicts.get(part) !== undefined,
      now: options.clock.monotonicNow,
    });
    const { network } = options;
    network.handle(crashMessage, (report) => {
      this.#addCrash(report);
      return null;
    });
    network.handle(trialMessage, ({ request, parts }) => {
      this.#trials.begin(request, parts, options.clock.monotonicNow());
      return null;
    });
    network.handle(confirmationMessage, ({ part }) => {
      const begunAt = this.#evidence.lastBegunAt(part);
      return {
        begunAgoMilliseconds: begunAt === undefined
          ? undefined
          : options.clock.monotonicNow() - begunAt,
      };
    });
    network.handle(begunMessage, (report) => {
      this.addBegins(report, { isRelayed: false });
      return null;
    });
  }

  get verdicts(): readonly Verdict[] {
    return this.#verdicts.all();
  }

  /** Decides on a request with these shared parts. */
  judge(
    parts: readonly PromptPartId[],
    ownPart?: PromptPartId,
  ): Judgement {
    const now = this.#options.clock.monotonicNow();
    const own = judgeOwnPart(this.#evidence, ownPart, now);
    if (own.kind === "rejected") {
      return {
        kind: "rejected",
        verdict: verdictOnOwnPart(ownPart!, own, this.#options.clock),
      };
    }
    if (own.kind === "held") {
      return { kind: "undecided", part: ownPart!, crashes: own.crashes };
    }
    const shared = this.#judgeShared(parts, own.kind !== "clear");
    if (own.kind !== "trial") return shared;
    if (shared.kind !== "clear" && shared.kind !== "trial") return shared;
    const suspected = shared.kind === "trial" ? shared.parts : [];
    return { kind: "trial", parts: [...suspected, ownPart!] };
  }

  /** `hasCrashed`: servers crashed under this very request. */
  #judgeShared(
    parts: readonly PromptPartId[],
    hasCrashed: boolean,
  ): Judgement {
    const suspected = parts.filter((part) =>
      this.#verdicts.get(part) !== undefined ||
      this.#standings.of(part) !== "clear"
    );
    if (suspected.length === 0) return clear;
    // One part is in charge of the trials for release, so that several parts share their number.
    const [leading] = suspected
      .filter((part) => this.#isRejected(part, parts)).sort();
    if (leading !== undefined) {
      return !hasCrashed && this.#takeReleaseTrial(leading)
        ? { kind: "trial", parts: suspected }
        : { kind: "rejected", verdict: this.#verdicts.get(leading)! };
    }
    const waitsFor = suspected.find((part) =>
      this.#mustWait(part) || hasCrashed && this.#prefersOthers(part)
    );
    return waitsFor === undefined
      ? { kind: "trial", parts: suspected }
      : { kind: "undecided", part: waitsFor };
  }

  /** True while a trial of the part is left to a request that has not crashed a server. */
  #prefersOthers(part: PromptPartId): boolean {
    const lastCrashAt = this.#evidence.crashTimes(part).at(-1);
    const now = this.#options.clock.monotonicNow();
    return lastCrashAt !== undefined &&
      now - lastCrashAt < freshTrialMilliseconds;
  }

  #isRejected(part: PromptPartId, parts: readonly PromptPartId[]): boolean {
    const alternatives = this.#verdicts.get(part)?.alternatives;
    return alternatives !== undefined &&
      (alternatives.length === 0 ||
        alternatives.some((other) => parts.includes(other)));
  }

  /** Called when a request that was judged a trial is sent. */
  beginTrial(request: string, parts: readonly PromptPartId[]): void {
    const { network, coordinators, clock } = this.#options;
    this.#trials.begin(request, parts, clock.monotonicNow());
    for (const coordinator of coordinators()) {
      network.send(coordinator, trialMessage, { request, parts });
    }
  }

  /** Called when a server has begun its answer to a request with these parts. */
  recordBegin(
    parts: readonly PromptPartId[],
    service: UpstreamName,
    { isTrial, ownPart }: {
      readonly isTrial: boolean;
      readonly ownPart?: PromptPartId | undefined;
    },
  ): void {
    const { network, coordinators } = this.#options;
    // Own parts are reported only if others may have counted a crash against them.
    const cleared = ownPart && (isTrial || this.#evidence.hasCrashes(ownPart))
      ? [...parts, ownPart]
      : parts;
    this.addBegins(
      { parts: cleared, counts: [[service, 1]] },
      { isRelayed: true },
    );
    if (!isTrial) return;
    for (const coordinator of coordinators()) {
      // The answer itself is counted with the next report.
      network.send(coordinator, begunMessage, { parts: cleared, counts: [] });
    }
  }

  /** Adds what another instance reported; `isRelayed` passes it on in this instance's reports. */
  addBegins(
    report: BegunReport,
    { isRelayed }: { readonly isRelayed: boolean },
  ): void {
    const now = this.#options.clock.monotonicNow();
    const { parts } = report;
    this.#evidence.addBegins(report, now);
    if (isRelayed) this.#begunParts.add(report, now);
    for (const part of parts) {
      this.#trials.endAll(part);
      if (this.#verdicts.get(part)) {
        this.#release(part, "a server has answered");
      }
    }
    for (const verdict of this.#verdicts.all()) {
      if (!verdict.alternatives.some((other) => parts.includes(other))) {
        continue;
      }
      this.#setAlternatives(
        verdict,
        this.#evidence.hasCrashes(verdict.part)
          ? this.#evidence.alternativesOf(verdict.part)
          : verdict.alternatives.filter((other) => !parts.includes(other)),
      );
    }
  }

  /** The answers that have begun since the last call, for the next report. */
  takeBegins(): BegunReport {
    return this.#begunParts.take(this.#options.clock.monotonicNow());
  }

  /** Reports a crash that this instance has noticed to all coordinators. */
  reportCrash(report: CrashReport): void {
    const { logger, coordinators } = this.#options;
    logger.info("a server crashed", {
      server: report.server,
      requests: report.suspects.map(({ request }) => request).join(" "),
      promptParts: [
        ...new Set(
          report.suspects.flatMap(({ sharedPromptParts }) => sharedPromptParts),
        ),
      ].join(" "),
    });
    this.#addCrash(report);
    for (const coordinator of coordinators()) {
      void sendCrashReport(coordinator, report, this.#options);
    }
  }

  /** Applies records of verdicts from the store. */
  applyRecords(
    records: readonly KeyedRecord[],
    { isSnapshot }: { readonly isSnapshot: boolean },
  ): void {
    for (const record of records) {
      try {
        const removed = this.#verdicts.apply(record);
        if (removed) this.#forget(removed);
      } catch (error) {
        this.#options.logger.error("a verdict cannot be decoded", {
          key: record.key,
          reason: String(error),
        });
      }
    }
    if (isSnapshot) this.#forgetRemoved(records);
  }

  /** Forgets verdicts that were removed while this instance did not read the store. */
  #forgetRemoved(snapshot: readonly KeyedRecord[]): void {
    const stored = new Set(snapshot.map(({ key }) => verdictPartOf(key)));
    for (const { part } of this.#verdicts.all()) {
      if (stored.has(part) || this.#options.store.isWriting(part)) continue;
      this.#verdicts.delete(part);
      this.#forget(part);
    }
  }

  #forget(part: PromptPartId): void {
    this.#evidence.clear(part);
    this.#options.logger.info("a prompt part is no longer quarantined", {
      part,
    });
  }

  /** Lifts the verdict on a part; resolves to false if there is none. */
  async lift(part: PromptPartId): Promise<boolean> {
    if (!this.#verdicts.get(part)) return false;
    await this.#options.store.remove(part, this.#verdicts.removalEntries(part));
    if (this.#verdicts.delete(part)) this.#forget(part);
    return true;
  }

  #addCrash(report: CrashReport): void {
    const { clock, onCrash } = this.#options;
    const now = clock.monotonicNow();
    onCrash(report);
    this.#evidence.addCrash(report, now);
    const parts = new Set(
      report.suspects.flatMap(({ sharedPromptParts }) => sharedPromptParts),
    );
    for (const suspect of report.suspects) {
      const { request, sharedPromptParts, ownPromptPart } = suspect;
      this.#trials.end(request, sharedPromptParts);
      if (ownPromptPart) this.#trials.end(request, [ownPromptPart]);
      this.#updateVerdicts(sharedPromptParts);
    }
    if (parts.size === 0) return;
    this.#trials.defer(
      parts,
      now + this.#turnOf(report) * trialTurnMilliseconds,
      now,
    );
    for (const part of parts) {
      this.#convictions.check(part, convictionDelayMilliseconds);
    }
  }

  /** The place of this instance in the order in which the next trial may be started. */
  #turnOf({ server, serverStartedAt }: CrashReport): number {
    const { instance, coordinators } = this.#options;
    return rankByRendezvous(
      `${server}/${serverStartedAt}`,
      [instance, ...coordinators()],
    ).indexOf(instance);
  }

  #mustWait(part: PromptPartId): boolean {
    const now = this.#options.clock.monotonicNow();
    if (this.#trials.mustWait(part, now)) return true;
    if (
      this.#verdicts.get(part) || this.#standings.of(part) !== "convicted"
    ) return false;
    // The standing also rises without a crash, by answers that begin on other parts.
    this.#convictions.check(part, 0);
    return true;
  }

  /**
   * Time until the part may be convicted, which a timer that fires early or a later crash may have
   * left; undefined if it is not to be convicted.
   */
  #convictionWait(part: PromptPartId): number | undefined {
    const { clock, decides } = this.#options;
    if (!decides() || this.#verdicts.get(part)) return undefined;
    const lastCrashAt = this.#evidence.crashTimes(part).at(-1);
    const isConvicted = lastCrashAt !== undefined &&
      this.#standings.assess(part).standing === "convicted";
    return isConvicted
      ? Math.max(
        0,
        lastCrashAt + convictionDelayMilliseconds - clock.monotonicNow(),
      )
      : undefined;
  }

  /** Resolves to true if most coordinators reply and none knows of an answer on the part. */
  async #confirm(part: PromptPartId): Promise<boolean> {
    const { isHeard, beganAt } = await askForAnswers(part, this.#options);
    const [firstCrashAt] = this.#evidence.crashTimes(part);
    const hasBegun = beganAt !== undefined && firstCrashAt !== undefined &&
      beganAt > firstCrashAt;
    if (hasBegun) {
      this.addBegins({ parts: [part], counts: [] }, { isRelayed: false });
    }
    return isHeard && !hasBegun;
  }

  #convict(part: PromptPartId): void {
    const { clock, logger, store } = this.#options;
    const counts = this.#evidence.countsOf(
      part,
      () => false,
      clock.monotonicNow(),
    );
    const verdict: Verdict = {
      part,
      alternatives: this.#evidence.alternativesOf(part),
      crashes: counts.crashes,
      requests: counts.requests,
      odds: Math.round(this.#standings.assess(part).odds),
      decidedAt: clock.wallNow(),
    };
    logger.warn("a prompt part is quarantined since servers crash under it", {
      ...verdict,
      alternatives: verdict.alternatives.join(" "),
      servers: this.#evidence.serversOf(part).join(" "),
      otherCrashedRuns: counts.otherCrashedRuns,
      otherBegins: counts.otherBegins,
    });
    this.#verdicts.set(verdict);
    store.write(verdict);
    for (const other of this.#verdicts.all()) {
      const isExplained = this.#evidence.isExplainedByOthers(
        other.part,
        (part) => this.#verdicts.get(part) !== undefined,
      );
      if (isExplained) this.#release(other.part, "other parts explain it");
    }
  }

  /** Updates what else may have caused the crashes after a further request crashed its server. */
  #updateVerdicts(crashedParts: readonly PromptPartId[]): void {
    for (const part of crashedParts) {
      const verdict = this.#verdicts.get(part);
      if (!verdict || verdict.alternatives.length === 0) continue;
      const alternatives = this.#evidence.alternativesOf(part);
      this.#setAlternatives(
        verdict,
        alternatives.length === 0
          ? []
          : [...new Set([...verdict.alternatives, ...alternatives])],
      );
    }
  }

  #setAlternatives(
    verdict: Verdict,
    alternatives: readonly PromptPartId[],
  ): void {
    if (alternatives.length === verdict.alternatives.length) return;
    const updated = { ...verdict, alternatives };
    this.#verdicts.set(updated);
    this.#options.store.write(updated);
  }

  #release(part: PromptPartId, reason: string): void {
    const { store, logger } = this.#options;
    const entries = this.#verdicts.removalEntries(part);
    this.#verdicts.delete(part);
    this.#evidence.clear(part);
    logger.warn("a quarantined prompt part is released", { part, reason });
    store.release(part, entries);
  }

  /**
   * Takes the trial for the release of a part, if one is due and this instance has won it; a trial
   * that nobody has claimed yet is claimed for a later request.
   */
  #takeReleaseTrial(part: PromptPartId): boolean {
    const { clock, store, instance, incarnation } = this.#options;
    const claimant = `${instance}/${incarnation}`;
    const last = this.#verdicts.claims(part).at(-1);
    if (last?.claimant === claimant && !this.#usedClaims.has(last)) {
      this.#usedClaims.add(last);
      return true;
    }
    const dueAt = this.#verdicts.nextTrialAt(part);
    if (dueAt !== undefined && clock.wallNow() >= dueAt) {
      store.claim({
        part,
        trial: (last?.trial ?? 0) + 1,
        claimant,
        claimedAt: clock.wallNow(),
      });
    }
    return false;
  }
}
