/**
 * Determines the holders of each workspace by rendezvous hashing and updates them when members
 * join or leave. Hashing every workspace with every member takes about half a second at 860
 * workspaces and 390 members. So only members that joined are hashed, and a complete ranking is
 * made only if too few candidates remain.
 */

import { hashNumber } from "../common/hashing.ts";
import type { InstanceId, WorkspaceId } from "../common/ids.ts";
import { maximumHolders } from "./constants.ts";
import { holderCount } from "./holders.ts";

const maximumCandidates = 2 * maximumHolders;

interface Candidate {
  readonly instance: InstanceId;
  readonly score: number;
}

interface Ranking {
  /** Members with the highest scores, in descending order. */
  candidates: Candidate[];
  /** Whether every member is a candidate. */
  isComplete: boolean;
  /** Number of the member change for which the ranking was made. */
  generation: number;
}

function compare(left: Candidate, right: Candidate): number {
  return right.score - left.score || (left.instance < right.instance ? -1 : 1);
}

export class HolderIndex {
  #members: readonly InstanceId[] = [];
  readonly #rankings = new Map<WorkspaceId, Ranking>();
  #generation = 0;
  #added: InstanceId[] = [];
  #removed = new Set<InstanceId>();

  setMembers(members: readonly InstanceId[]): void {
    const before = new Set(this.#members);
    const after = new Set(members);
    this.#added = members.filter((member) => !before.has(member));
    this.#removed = new Set(this.#members.filter((it) => !after.has(it)));
    this.#members = members;
    this.#generation += 1;
  }

  holders(workspace: WorkspaceId, burst: number): InstanceId[] {
    return this.#rank(workspace).candidates
      .slice(0, holderCount(this.#members.length, burst))
      .map(({ instance }) => instance);
  }

  #rank(workspace: WorkspaceId): Ranking {
    const known = this.#rankings.get(workspace);
    if (known?.generation === this.#generation) return known;
    const isNext = known?.generation === this.#generation - 1;
    const updated = known && isNext
      ? this.#update(workspace, known)
      : undefined;
    const ranking = updated ?? this.#rankAll(workspace);
    this.#rankings.set(workspace, ranking);
    return ranking;
  }

  #score(workspace: WorkspaceId, instance: InstanceId): Candidate {
    return { instance, score: hashNumber(`limits/${workspace}\n${instance}`) };
  }

  #rankAll(workspace: WorkspaceId): Ranking {
    const all = this.#members.map((it) => this.#score(workspace, it));
    return {
      candidates: all.sort(compare).slice(0, maximumCandidates),
      isComplete: all.length <= maximumCandidates,
      generation: this.#generation,
    };
  }

  /** Applies the last change of the members; undefined if too few candidates remain. */
  #update(workspace: WorkspaceId, known: Ranking): Ranking | undefined {
    let candidates = known.candidates.filter((candidate) =>
      !this.#removed.has(candidate.instance)
    );
    const minimum = Math.min(maximumHolders, this.#members.length);
    if (!known.isComplete && candidates.length < minimum) return undefined;
    let { isComplete } = known;
    for (const instance of this.#added) {
      const candidate = this.#score(workspace, instance);
      const last = candidates.at(-1);
      // If the list is incomplete, members outside it may rank between its last candidate and
      // this one.
      if (!isComplete && (!last || compare(candidate, last) > 0)) continue;
      candidates.push(candidate);
      candidates.sort(compare);
    }
    if (candidates.length > maximumCandidates) {
      candidates = candidates.slice(0, maximumCandidates);
      isComplete = false;
    }
    return { candidates, isComplete, generation: this.#generation };
  }
}
