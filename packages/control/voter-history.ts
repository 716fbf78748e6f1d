/**
 * The sets of voters that may still be in use somewhere. An instance that has not read a change
 * of the members takes its evidence from the older set; so a record is in force only when a
 * majority of every such set has applied it.
 */

import {
  freshnessMilliseconds,
  supersededVotersTimeoutMilliseconds,
} from "./constants.ts";
import { majorityOffset } from "./freshness.ts";

interface VoterSet {
  /** Keys of incarnations: what a replaced process had applied says nothing of its successor. */
  readonly voters: readonly string[];
  /** Offset and log time of the record that replaced the set. */
  supersededBy?: number;
  supersededTime?: number;
  supersededAt?: number;
  /** Monotonic time at which its majority was known to have applied that record. */
  majorityAppliedAt?: number;
}

/** A forgotten one only makes a record wait for the freshness window. */
const maximumLeftVoters = 256;

export class VoterHistory {
  #voterSets: VoterSet[] = [];
  #left: readonly string[] = [];
  /** Voters that act no more, because they left in order or a new process replaced them. */
  readonly #ended = new Set<string>();

  /** Every voter of the sets that are still in use. */
  get voters(): ReadonlySet<string> {
    return new Set(this.#voterSets.flatMap((set) => set.voters));
  }

  /** Notes the voters after the record at the offset, which the log accepted at `time`. */
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
    // A replay passes through sets that ended long ago by the log's own time.
    this.#voterSets = this.#voterSets.filter((set) =>
      set.supersededTime === undefined ||
      record.time - set.supersededTime < supersededVotersTimeoutMilliseconds
    );
    this.#voterSets.push({ voters });
  }

  /** Notes a voter that acts no more. It cannot hold anything back. */
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

  /** Notes voters that have left as planned. */
  markLeft(voters: readonly string[]): void {
    if (voters.length === 0) return;
    this.#left = [...this.#left, ...voters].slice(-maximumLeftVoters);
  }

  /** Highest offset that every voter of every set in use has applied, but for those who left. */
  unanimousOffset(appliedOffsetOf: (voter: string) => number): number {
    const left = new Set(this.#left);
    const offsets = [...this.voters].filter((voter) => !left.has(voter))
      .map(appliedOffsetOf);
    return offsets.length === 0 ? -1 : Math.min(...offsets);
  }

  /**
   * Each set is retired by itself: once its majority knows its successor, whoever comes to it
   * later is told of a newer offset and finds no evidence there.
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
