/**
 * Hashes that decide ownership. Rendezvous hashing moves only the items of a member that
 * joined or left, and needs no state beyond the list of members.
 */

import { createHash } from "node:crypto";

export function sha256Hex(text: string | Uint8Array): string {
  return createHash("sha256").update(text).digest("hex");
}

/** A non-negative 48-bit number from the SHA-256 of the text, exact in a double. */
export function hashNumber(text: string): number {
  return createHash("sha256").update(text).digest().readUIntBE(0, 6);
}

/** Candidates sorted by descending rendezvous score for the item. */
export function rankByRendezvous<Candidate extends string>(
  item: string,
  candidates: readonly Candidate[],
): Candidate[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hashNumber(`${item}\n${candidate}`),
    }))
    .sort((left, right) =>
      right.score - left.score || (left.candidate < right.candidate ? -1 : 1)
    )
    .map((entry) => entry.candidate);
}

/** The candidate with the highest rendezvous score, or undefined if there is none. */
export function pickByRendezvous<Candidate extends string>(
  item: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = hashNumber(`${item}\n${candidate}`);
    if (
      score > bestScore ||
      (score === bestScore && best !== undefined && candidate < best)
    ) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
