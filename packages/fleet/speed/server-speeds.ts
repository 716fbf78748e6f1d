/**
 * How fast servers work at the moment, compared with their service, and how many requests each of
 * them handles well. Both are learned from the answers to this instance, from what servers state,
 * and from what other instances report.
 */

import type { InstanceId, UpstreamName } from "../../common/ids.ts";
import {
  crowdedShare,
  crowdingMemory,
  crowdingTolerance,
  disagreementSmoothingFactor,
  firstEventWeight,
  lastingMemory,
  lastingWeight,
  limitDecrease,
  limitIncrease,
  limitRecoveryMilliseconds,
  maximumRatio,
  maximumReportedWeight,
  measuredMemory,
  minimumCheckWeight,
  minimumCrowdingWeight,
  minimumLimitShare,
  minimumRatio,
  negligibleDeviation,
  notableWorkTime,
  observationIntervalMilliseconds,
  recoveredWorkTime,
  statedMemory,
  uncrowdedShare,
  untrustedDisagreement,
  usualWeight,
  workTimeLifetimeMilliseconds,
} from "./constants.ts";
import { DecayingMean } from "./decaying-mean.ts";
import { ReferenceTime } from "./reference-time.ts";

/** `measured`: by the answers of the server. `stated`: by the server itself. */
export type SpeedSource = "measured" | "stated";

/** What an instance has observed of a server since its last report. */
export interface SpeedObservation {
  readonly server: InstanceId;
  readonly source: SpeedSource;
  /** Mean time of work as a multiple of the usual time. */
  readonly ratio: number;
  /** Number of samples, by their weight. */
  readonly weight: number;
}

/** A time that an answer took; undefined events for the time to the first one. */
export interface AnswerTime {
  readonly server: InstanceId;
  readonly service: UpstreamName;
  readonly kind: "first_event" | "online_pace" | "batch_pace";
  readonly milliseconds: number;
}

export interface SpeedChange {
  readonly server: InstanceId;
  /** Work time as a multiple of the usual one. */
  readonly workTime: number;
  readonly isSlow: boolean;
  /** The change is one of the long-term mean, and not of the present work time only. */
  readonly isLasting: boolean;
}

/** What is known of a server that differs from the others of its service. */
export interface ServerDeviation {
  readonly server: InstanceId;
  readonly workTime: number;
  readonly concurrencyLimit: number;
  readonly slots: number;
}

export interface ServerSpeedsOptions {
  /** Requests in flight at the server, from all instances. */
  readonly requestsAt?: (server: InstanceId, now: number) => number;
  readonly slotsOf?: (server: InstanceId) => number;
  /** Whether answers are measured. */
  readonly isMeasured?: () => boolean;
}

interface SpeedRecord {
  readonly measured: DecayingMean;
  readonly stated: DecayingMean;
  readonly lasting: DecayingMean;
  /** Work time with at most half of the slots in use, and with nearly all of them. */
  readonly uncrowded: DecayingMean;
  readonly crowded: DecayingMean;
  /** Mean logarithmic difference between what the server states and what answers show. */
  disagreement: number;
  /** Undefined for all slots. */
  limit: number | undefined;
  limitUpdatedAt: number;
  isSlow: boolean;
  isLastinglySlow: boolean;
  /** The work time that was last computed, and when. */
  workTime: number;
  workTimeAt: number;
  readonly unreported: Record<SpeedSource, UnreportedMean>;
}

interface UnreportedMean {
  sum: number;
  weight: number;
  /** The last report named a deviation, whose end has to be reported too. */
  wasDeviating: boolean;
}

const sources: readonly SpeedSource[] = ["measured", "stated"];

export class ServerSpeeds {
  readonly #options: Required<ServerSpeedsOptions>;
  readonly #records = new Map<InstanceId, SpeedRecord>();
  readonly #references = new Map<string, ReferenceTime>();
  #takenAt = Number.NEGATIVE_INFINITY;
  #listener = (_: SpeedChange) => {};

  constructor(options: ServerSpeedsOptions = {}) {
    this.#options = {
      requestsAt: () => 0,
      slotsOf: () => 0,
      isMeasured: () => true,
      ...options,
    };
  }

  /** Sets what is called when a server becomes notably slow, or is so no longer. */
  onChange(listener: (change: SpeedChange) => void): void {
    this.#listener = listener;
  }

  /** Records the work time that a server states, in percent of the usual one. */
  recordStated(server: InstanceId, percent: number, now: number): void {
    this.#addOwn(server, "stated", percent / 100, 1, now);
  }

  recordAnswerTime(
    { server, service, kind, milliseconds }: AnswerTime,
    now: number,
  ): void {
    if (!(milliseconds > 0) || !this.#options.isMeasured()) return;
    const key = `${service}/${kind}`;
    let reference = this.#references.get(key);
    if (!reference) {
      reference = new ReferenceTime();
      this.#references.set(key, reference);
    }
    const ratio = reference.add(milliseconds);
    if (ratio === undefined) return;
    const weight = kind === "first_event" ? firstEventWeight : 1;
    this.#addOwn(server, "measured", ratio, weight, now);
  }

  /**
   * Records what another instance has observed; that of a dependent is passed on. Coordinators
   * report deviations only, so that the long-term mean and the limit are learned from the answers
   * to this instance and its dependents alone.
   */
  recordReported(
    observations: readonly SpeedObservation[],
    now: number,
    { isDependent }: { readonly isDependent: boolean },
  ): void {
    for (const { server, source, ratio, weight } of observations) {
      const bounded = Math.min(weight, maximumReportedWeight);
      if (!(bounded > 0)) continue;
      if (isDependent) this.#addOwn(server, source, ratio, bounded, now);
      else this.#add(server, source, ratio, bounded, now);
    }
  }

  /**
   * All that this instance has observed since it was last taken, for its coordinator; nothing
   * before `observationIntervalMilliseconds` have passed, since reports follow each change of the
   * loads.
   */
  takeAllObservations(now: number): SpeedObservation[] {
    if (now - this.#takenAt < observationIntervalMilliseconds) return [];
    this.#takenAt = now;
    return this.#takeObservations(() => true);
  }

  /**
   * What this instance and its dependents have observed since the last call, for the other
   * coordinators: of servers that deviate from the usual time, or did so in the last report, or are
   * believed to do so. Without the latter, nobody would hear that a server is fast again.
   */
  takeDeviations(now: number): SpeedObservation[] {
    return this.#takeObservations(({ server, ratio }, mean) => {
      const isDeviating = Math.abs(ratio - 1) > negligibleDeviation;
      const isReported = isDeviating || mean.wasDeviating ||
        this.workTime(server, now) !== 1;
      mean.wasDeviating = isDeviating;
      return isReported;
    });
  }

  #takeObservations(
    isSelected: (
      observation: SpeedObservation,
      mean: UnreportedMean,
    ) => boolean,
  ): SpeedObservation[] {
    const observations: SpeedObservation[] = [];
    for (const [server, { unreported }] of this.#records) {
      for (const source of sources) {
        const mean = unreported[source];
        const { sum, weight } = mean;
        if (weight === 0) continue;
        const observation = { server, source, ratio: sum / weight, weight };
        if (isSelected(observation, mean)) observations.push(observation);
        mean.sum = 0;
        mean.weight = 0;
      }
    }
    return observations;
  }

  /**
   * Expected time of work at the server, as a multiple of the usual time of its service; 1 unless
   * it differs notably. Without samples it returns to the long-term mean within a second. It is
   * computed at most once in `workTimeLifetimeMilliseconds`, since each decision asks it of all
   * servers.
   */
  workTime(server: InstanceId, now: number): number {
    const record = this.#records.get(server);
    if (!record) return 1;
    if (now - record.workTimeAt < workTimeLifetimeMilliseconds) {
      return record.workTime;
    }
    const workTime = expectedRatio(record, now);
    record.workTimeAt = now;
    record.workTime = Math.abs(workTime - 1) <= negligibleDeviation
      ? 1
      : workTime;
    return record.workTime;
  }

  /** Number of requests that the server handles well at the same time, at most its slots. */
  concurrencyLimit(server: InstanceId, slots: number, now: number): number {
    const record = this.#records.get(server);
    return record ? limitAt(record, slots, now) : slots;
  }

  /** Servers that differ at present, the slowest first; at most as many as given. */
  deviations(maximum: number, now: number): ServerDeviation[] {
    return [...this.#records.keys()]
      .map((server) => {
        const slots = this.#options.slotsOf(server);
        const concurrencyLimit = this.concurrencyLimit(server, slots, now);
        const workTime = this.workTime(server, now);
        return { server, workTime, concurrencyLimit, slots };
      })
      .filter(({ workTime, concurrencyLimit, slots }) =>
        workTime !== 1 || concurrencyLimit < slots
      )
      .sort((left, right) => right.workTime - left.workTime)
      .slice(0, maximum);
  }

  /** Drops what is known of a server that has restarted. */
  forget(server: InstanceId): void {
    this.#records.delete(server);
  }

  /** Drops the records of servers that are no longer known. */
  retain(isKnown: (id: InstanceId) => boolean): void {
    for (const id of this.#records.keys()) {
      if (!isKnown(id)) this.#records.delete(id);
    }
  }

  #addOwn(
    server: InstanceId,
    source: SpeedSource,
    ratio: number,
    weight: number,
    now: number,
  ): void {
    const bounded = boundRatio(source, ratio);
    const record = this.#add(server, source, bounded, weight, now);
    const mean = record.unreported[source];
    mean.sum += bounded * weight;
    mean.weight += weight;
    if (source === "stated") return;
    record.lasting.add(bounded, weight, now);
    this.#updateLimit(server, record, bounded, weight, now);
  }

  #add(
    server: InstanceId,
    source: SpeedSource,
    ratio: number,
    weight: number,
    now: number,
  ): SpeedRecord {
    const record = this.#recordOf(server);
    const bounded = boundRatio(source, ratio);
    record[source].add(bounded, weight, now);
    if (source === "stated") checkStatement(record, bounded, now);
    this.#noteChange(server, record, now);
    return record;
  }

  /**
   * Additive increase, multiplicative decrease: the limit falls while work takes so much longer at
   * a full server than at the same server with few requests that it hardly does more in all.
   * Slowness that does not depend on the load lowers no limit, since the slots left idle by that
   * would be missing elsewhere.
   */
  #updateLimit(
    server: InstanceId,
    record: SpeedRecord,
    ratio: number,
    weight: number,
    now: number,
  ): void {
    const { requestsAt, slotsOf } = this.#options;
    const slots = slotsOf(server);
    if (slots === 0) return;
    const requests = requestsAt(server, now);
    const { crowded, uncrowded } = record;
    if (requests <= slots * uncrowdedShare) {
      return uncrowded.add(ratio, weight, now);
    }
    const limit = limitAt(record, slots, now);
    if (requests < Math.min(limit, slots * crowdedShare)) return;
    if (requests >= slots * crowdedShare) crowded.add(ratio, weight, now);
    const isCrowded = uncrowded.weight(now) >= minimumCrowdingWeight &&
      crowded.weight(now) >= minimumCrowdingWeight &&
      crowded.value > uncrowded.value * crowdingTolerance;
    const next = isCrowded ? limit * limitDecrease : limit + limitIncrease;
    record.limit = Math.max(slots * minimumLimitShare, next);
    record.limitUpdatedAt = now;
  }

  #noteChange(server: InstanceId, record: SpeedRecord, now: number): void {
    const workTime = expectedRatio(record, now);
    const isSlow = isNotable(workTime, record.isSlow);
    if (isSlow !== record.isSlow) {
      record.isSlow = isSlow;
      this.#listener({ server, workTime, isSlow, isLasting: false });
    }
    const lasting = lastingRatio(record, now);
    const isLastinglySlow = isNotable(lasting, record.isLastinglySlow);
    if (isLastinglySlow !== record.isLastinglySlow) {
      record.isLastinglySlow = isLastinglySlow;
      this.#listener({
        server,
        workTime: lasting,
        isSlow: isLastinglySlow,
        isLasting: true,
      });
    }
  }

  #recordOf(server: InstanceId): SpeedRecord {
    let record = this.#records.get(server);
    if (!record) {
      record = {
        measured: new DecayingMean(measuredMemory),
        stated: new DecayingMean(statedMemory),
        lasting: new DecayingMean(lastingMemory),
        uncrowded: new DecayingMean(crowdingMemory),
        crowded: new DecayingMean(crowdingMemory),
        disagreement: 0,
        limit: undefined,
        limitUpdatedAt: 0,
        isSlow: false,
        isLastinglySlow: false,
        workTime: 1,
        workTimeAt: Number.NEGATIVE_INFINITY,
        unreported: {
          measured: { sum: 0, weight: 0, wasDeviating: false },
          stated: { sum: 0, weight: 0, wasDeviating: false },
        },
      };
      this.#records.set(server, record);
    }
    return record;
  }
}

/** A server that states that it works faster than usual is not chosen more often for that. */
function boundRatio(source: SpeedSource, ratio: number): number {
  const minimum = source === "stated" ? 1 : minimumRatio;
  return Math.max(minimum, Math.min(maximumRatio, ratio));
}

function expectedRatio(record: SpeedRecord, now: number): number {
  const { measured, stated } = record;
  const measuredWeight = measured.weight(now);
  const statedWeight = stated.weight(now) * trustInStatements(record);
  return (measured.value * measuredWeight + stated.value * statedWeight +
    lastingRatio(record, now) * lastingWeight) /
    (measuredWeight + statedWeight + lastingWeight);
}

/** The long-term mean; the usual time while there are few samples. */
function lastingRatio({ lasting }: SpeedRecord, now: number): number {
  const samples = lasting.weight(now);
  return (lasting.value * samples + usualWeight) / (samples + usualWeight);
}

function isNotable(workTime: number, wasNotable: boolean): boolean {
  return wasNotable
    ? workTime > recoveredWorkTime
    : workTime >= notableWorkTime;
}

function trustInStatements({ disagreement }: SpeedRecord): number {
  return Math.max(0, 1 - disagreement / untrustedDisagreement);
}

/** Compares a statement with what answers show at the same time. */
function checkStatement(
  record: SpeedRecord,
  ratio: number,
  now: number,
): void {
  const { measured } = record;
  if (measured.weight(now) < minimumCheckWeight) return;
  const difference = Math.abs(
    Math.log(ratio / Math.max(1, measured.value)),
  );
  record.disagreement += (difference - record.disagreement) *
    disagreementSmoothingFactor;
}

function limitAt(record: SpeedRecord, slots: number, now: number): number {
  const { limit, limitUpdatedAt } = record;
  if (limit === undefined || limit >= slots) return slots;
  const kept = Math.exp((limitUpdatedAt - now) / limitRecoveryMilliseconds);
  return slots - (slots - limit) * kept;
}
