/**
 * SHA-256 digests and rendezvous hashing, which assigns items to members. When a member joins or
 * leaves, only the items assigned to it move, and no state is needed beyond the list of members.
 */

import { createHash } from "node:crypto";

/** The SHA-256 digest of the text as UTF-8, or of the bytes, in lower-case hexadecimal. */
export function sha256Hex(text: string | Uint8Array): string {
  return createHash("sha256").update(text).digest("hex");
}

/** The first 48 bits of the text's SHA-256 as an unsigned integer, which a double holds exactly. */
export function hashNumber(text: string): number {
  return createHash("sha256").update(text).digest().readUIntBE(0, 6);
}

/** Sorts the candidates by descending rendezvous score for the item; ties by name. */
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

/** Returns the candidate with the highest rendezvous score, or undefined without candidates. */
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
