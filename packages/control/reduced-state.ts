/**
 * The complete state that the reducer of the control stream maintains: the `ControlState` for
 * other packages, and the data on which later verdicts depend. A checkpoint covers all of it.
 */

import type { ValidationProblem } from "../common/errors.ts";
import {
  brandAs,
  type Offset,
  type SectionName,
  type WriterId,
} from "../common/ids.ts";
import {
  emptyConfiguration,
  emptySectionValues,
  type SectionValues,
} from "./configuration.ts";
import type { ControlState } from "./control-state.ts";

export type PublishVerdict =
  | { readonly outcome: "accepted"; readonly version: number }
  | { readonly outcome: "conflict"; readonly currentVersion: number }
  | { readonly outcome: "bad_signature" }
  | { readonly outcome: "not_owner" }
  | {
    readonly outcome: "invalid";
    readonly problems: readonly ValidationProblem[];
  };

export interface StoredVerdict {
  readonly section: SectionName;
  readonly offset: Offset;
  readonly verdict: PublishVerdict;
}

export interface SectionState {
  readonly version: number;
  /** JSON text exactly as it was published. */
  readonly body: string;
}

export interface ReducedControlState extends ControlState {
  readonly sections: ReadonlyMap<SectionName, SectionState>;
  /** The parsed sections, derived from `sections`. */
  readonly values: SectionValues;
  /** Verdicts by publish id, oldest first. */
  readonly verdicts: ReadonlyMap<string, StoredVerdict>;
  /** Highest sequence number of each writer, least recently seen writer first. */
  readonly writers: ReadonlyMap<WriterId, number>;
  /** Keys of incarnations that were replaced, left or were evicted, oldest first. */
  readonly endedIncarnations: ReadonlySet<string>;
}

export function createInitialState(): ReducedControlState {
  const offsetBeforeFirstRecord = brandAs<Offset>(-1);
  return {
    appliedOffset: offsetBeforeFirstRecord,
    membershipOffset: offsetBeforeFirstRecord,
    configuration: emptyConfiguration(),
    members: new Map(),
    sections: new Map(),
    values: emptySectionValues,
    verdicts: new Map(),
    writers: new Map(),
    endedIncarnations: new Set(),
  };
}

/** Copies the map, sets the key as its newest entry and drops the oldest entries over the limit. */
export function appendBounded<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
  value: Value,
  limit: number,
): Map<Key, Value> {
  const copy = new Map(map);
  copy.delete(key);
  copy.set(key, value);
  while (copy.size > limit) copy.delete(copy.keys().next().value as Key);
  return copy;
}
