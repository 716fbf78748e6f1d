/**
 * The stored verdicts on prompt parts, and the claims on trials for release. The state depends only
 * on the records and their order, so that all instances agree on who may run a trial. A claim is
 * valid if it is the first for the next trial; it has a key of its own, since the store keeps only
 * the newest record of a key.
 */

import * as z from "zod/mini";
import type { PromptPartId } from "../common/ids.ts";
import { decodeValue, encodeValue } from "../protocol/frames.ts";
import type { KeyedEntry, KeyedRecord } from "../store/keyed-store.ts";
import {
  maximumVerdicts,
  releaseTrialIntervalsMilliseconds,
} from "./constants.ts";

/**
 * A part that crashes servers. While the crashes may also be due to one of its alternatives, only
 * requests that have one of these too are rejected.
 */
export interface Verdict {
  readonly part: PromptPartId;
  readonly alternatives: readonly PromptPartId[];
  readonly crashes: number;
  readonly requests: number;
  readonly odds: number;
  /** Wall-clock milliseconds. */
  readonly decidedAt: number;
}

export interface TrialClaim {
  readonly part: PromptPartId;
  /** 1 for the first trial for the release of the part. */
  readonly trial: number;
  /** The instance and its incarnation. */
  readonly claimant: string;
  /** Wall-clock milliseconds. */
  readonly claimedAt: number;
}

interface VerdictState {
  verdict: Verdict;
  readonly claims: TrialClaim[];
}

const verdictSchema = z.object({
  part: z.string(),
  alternatives: z.array(z.string()),
  crashes: z.number(),
  requests: z.number(),
  odds: z.number(),
  decidedAt: z.number(),
});
const claimSchema = z.object({
  part: z.string(),
  trial: z.int().check(z.positive()),
  claimant: z.string(),
  claimedAt: z.number(),
});

const verdictPrefix = "verdict/";
const claimPrefix = "trial/";

export function verdictEntry(verdict: Verdict): KeyedEntry {
  return {
    key: verdictPrefix + verdict.part,
    value: encodeValue(verdict),
  };
}

export function claimEntry(claim: TrialClaim): KeyedEntry {
  return { key: claimKey(claim), value: encodeValue(claim) };
}

/** The part of the verdict that is stored under the key; undefined for other keys. */
export function verdictPartOf(key: string): PromptPartId | undefined {
  return key.startsWith(verdictPrefix)
    ? key.slice(verdictPrefix.length) as PromptPartId
    : undefined;
}

function claimKey({ part, trial, claimant }: TrialClaim): string {
  return `${claimPrefix}${part}/${trial}/${claimant}`;
}

export class VerdictTable {
  readonly #states = new Map<PromptPartId, VerdictState>();

  get size(): number {
    return this.#states.size;
  }

  all(): Verdict[] {
    return [...this.#states.values()].map(({ verdict }) => verdict);
  }

  get(part: PromptPartId): Verdict | undefined {
    return this.#states.get(part)?.verdict;
  }

  claims(part: PromptPartId): readonly TrialClaim[] {
    return this.#states.get(part)?.claims ?? [];
  }

  /** When the next trial for release is due, in wall-clock milliseconds; undefined for never. */
  nextTrialAt(part: PromptPartId): number | undefined {
    const state = this.#states.get(part);
    if (!state) return undefined;
    const interval = releaseTrialIntervalsMilliseconds[state.claims.length];
    if (interval === undefined) return undefined;
    return (state.claims.at(-1)?.claimedAt ?? state.verdict.decidedAt) +
      interval;
  }

  /** Adds a verdict that may not be stored yet, or replaces the known one of the part. */
  set(verdict: Verdict): void {
    const known = this.#states.get(verdict.part);
    if (known) known.verdict = verdict;
    else this.#states.set(verdict.part, { verdict, claims: [] });
    for (const oldest of this.#states.keys()) {
      if (this.#states.size <= maximumVerdicts) break;
      this.#states.delete(oldest);
    }
  }

  delete(part: PromptPartId): boolean {
    return this.#states.delete(part);
  }

  /** Entries that remove the verdict and its claims from the store. */
  removalEntries(part: PromptPartId): KeyedEntry[] {
    return [
      { key: verdictPrefix + part, value: undefined },
      ...this.claims(part).map((claim) => ({
        key: claimKey(claim),
        value: undefined,
      })),
    ];
  }

  /** Applies a record; returns the part of a verdict that was removed. Throws if it is invalid. */
  apply({ key, value }: KeyedRecord): PromptPartId | undefined {
    const part = verdictPartOf(key);
    if (part !== undefined) {
      if (value === undefined) {
        return this.#states.delete(part) ? part : undefined;
      }
      this.set(
        verdictSchema.parse(decodeValue(value)) as unknown as Verdict,
      );
    } else if (key.startsWith(claimPrefix) && value !== undefined) {
      const claim = claimSchema.parse(
        decodeValue(value),
      ) as unknown as TrialClaim;
      const claims = this.#states.get(claim.part)?.claims;
      if (claims && claim.trial === claims.length + 1) claims.push(claim);
    }
    return undefined;
  }
}
