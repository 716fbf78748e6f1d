/**
 * Tracks the sets of voters that may still be in use by some instance. An instance that has not
 * applied a change of the members yet takes its evidence from the previous set. Therefore a
 * record is in force only when a majority of every such set has applied it.
 */

import {
  freshnessMilliseconds,
  supersededVotersTimeoutMilliseconds,
} from "./constants.ts";
import { majorityOffset } from "./freshness.ts";

interface VoterSet {
  /**
   * Keys of incarnations rather than instances, because the offset that a replaced process had
   * applied says nothing about its successor.
   */
  readonly voters: readonly string[];
  /** Offset of the record that superseded the set. */
  supersededBy?: number;
  /** Log time of that record. */
  supersededTime?: number;
  /** Monotonic time at which that record was applied here. */
  supersededAt?: number;
  /** Monotonic time since which a majority of the set is known to have applied that record. */
  majorityAppliedAt?: number;
}

/** Limit of `#left`. For a voter that is dropped, records wait for the freshness window. */
const maximumLeftVoters = 256;

export class VoterHistory {
  #voterSets: VoterSet[] = [];
  /** Voters that left as planned, oldest first. */
  #left: readonly string[] = [];
  /** Voters whose process has ended: they left as planned or a new process replaced them. */
  readonly #ended = new Set<string>();

  /** All voters of the sets that are still in use. */
  get voters(): ReadonlySet<string> {
    return new Set(this.#voterSets.flatMap((set) => set.voters));
  }

  /**
   * Adds the voters that result from a record. `time` is the log time of the record, `now` the
   * monotonic time of this instance.
   */
  addVoterSet(
    voters: readonly string[],
    record: { offset: number; time: number; now: number },
  ): void {
    const current = this.#voterSets.at(-1);
    if (current && current.voters.join("\t") === voters.join("\t")) return;
    if (current) {
      current.supersededBy = record.offset;
      current.supersededTime = record.time;
      current.supersededAt = record.now;
    }
    // A replay adds sets that, by the log time, were superseded long ago.
    this.#voterSets = this.#voterSets.filter((set) =>
      set.supersededTime === undefined ||
      record.time - set.supersededTime < supersededVotersTimeoutMilliseconds
    );
    this.#voterSets.push({ voters });
  }

  /** Marks a voter whose process has ended, so that it no longer delays `majorityOffset`. */
  markEnded(voter: string): void {
    this.#ended.add(voter);
  }

  /** Highest offset that a majority of every set in use has applied. */
  majorityOffset(
    now: number,
    reportedOffsetOf: (voter: string) => number,
  ): number {
    const appliedOffsetOf = (voter: string) =>
      this.#ended.has(voter)
        ? Number.POSITIVE_INFINITY
        : reportedOffsetOf(voter);
    this.#dropUnusedSets(now, appliedOffsetOf);
    const offsets = this.#voterSets
      .filter((set) => set.voters.length > 0)
      .map((set) => majorityOffset(set.voters, appliedOffsetOf));
    return offsets.length === 0 ? -1 : Math.min(...offsets);
  }

  /** Marks voters that left as planned, which `unanimousOffset` ignores. */
  markLeft(voters: readonly string[]): void {
    if (voters.length === 0) return;
    this.#left = [...this.#left, ...voters].slice(-maximumLeftVoters);
  }

  /** Highest offset that all voters of all sets in use have applied, except those that left. */
  unanimousOffset(appliedOffsetOf: (voter: string) => number): number {
    const left = new Set(this.#left);
    const offsets = [...this.voters].filter((voter) => !left.has(voter))
      .map(appliedOffsetOf);
    return offsets.length === 0 ? -1 : Math.min(...offsets);
  }

  /**
   * Drops each superseded set on its own, once a majority of it has applied the record that
   * superseded it and the freshness window has passed, or after the timeout. An instance that
   * still uses the set then finds no evidence, because voters report a newer offset to it.
   */
  #dropUnusedSets(
    now: number,
    appliedOffsetOf: (voter: string) => number,
  ): void {
    const isInUse = (set: VoterSet) => {
      const { supersededBy, supersededAt } = set;
      if (supersededBy === undefined || supersededAt === undefined) return true;
      const hasMajorityApplied = set.voters.length === 0 ||
        majorityOffset(set.voters, appliedOffsetOf) >= supersededBy;
      if (hasMajorityApplied) set.majorityAppliedAt ??= now;
      return now - (set.majorityAppliedAt ?? now) <= freshnessMilliseconds &&
        now - supersededAt <= supersededVotersTimeoutMilliseconds;
    };
    if (this.#voterSets.length === 1) return;
    this.#voterSets = this.#voterSets.filter(isInUse);
    const { voters } = this;
    for (const voter of this.#ended) {
      if (!voters.has(voter)) this.#ended.delete(voter);
    }
  }
}
