/**
 * Decides how long the control state of an instance counts as fresh, as pure functions. The
 * evidence is that a majority of the peers replied and none of them reported a newer offset. It
 * dates from the monotonic time at which the request was sent, so it expires by itself when the
 * process is paused.
 */

import type { InstanceId, Offset } from "../common/ids.ts";
import { freshnessMilliseconds } from "./constants.ts";
import { majorityOf, type PeerGroup } from "./peer-group.ts";

/** The latest reply of a peer to a heartbeat. */
export interface PeerReply {
  /** Monotonic time at which the heartbeat was sent. */
  readonly sentAt: number;
  /** Offset that the peer had applied when it replied. */
  readonly appliedOffset: Offset;
  /** Age of the peer's own evidence in milliseconds when it replied; infinite if it had none. */
  readonly evidenceAge: number;
}

export interface PeerEvidenceInput {
  readonly self: InstanceId;
  readonly group: PeerGroup;
  readonly appliedOffset: Offset;
  readonly now: number;
  readonly replies: ReadonlyMap<InstanceId, PeerReply>;
  /** Highest applied offset that each peer has reported in any message. */
  readonly reportedOffsets: ReadonlyMap<InstanceId, Offset>;
}

/** Time of evidence that does not exist. */
export const noEvidence = Number.NEGATIVE_INFINITY;

/**
 * Monotonic time of the evidence from the peers, or `noEvidence`. A leaf relies on a majority of
 * its relays, every other member on a majority of the voters. When any contact reports an
 * offset that is not applied here yet, there is no evidence until it is applied.
 */
export function peerEvidenceAt(input: PeerEvidenceInput): number {
  const { self, group, appliedOffset, now, replies, reportedOffsets } = input;
  if (group.role === "outside") return noEvidence;
  const isBehind = group.contacts.some((peer) =>
    (reportedOffsets.get(peer) ?? -1) > appliedOffset
  );
  if (isBehind) return noEvidence;
  if (group.role === "leaf") {
    const evidenceTimes = group.contacts.map((relay) => {
      const reply = replies.get(relay);
      return reply ? reply.sentAt - reply.evidenceAge : noEvidence;
    });
    return nthHighest(evidenceTimes, majorityOf(group.contacts.length));
  }
  const sentTimes = group.voters.map((voter) =>
    voter === self ? now : replies.get(voter)?.sentAt ?? noEvidence
  );
  return nthHighest(sentTimes, majorityOf(group.voters.length));
}

/** The n-th highest value, where `rank` 1 is the highest; `noEvidence` if there are fewer. */
export function nthHighest(
  values: readonly number[],
  rank: number,
): number {
  const sorted = [...values].sort((left, right) => right - left);
  return sorted[rank - 1] ?? noEvidence;
}

/** Monotonic time until which evidence from `evidenceAt` keeps the instance fresh. */
export function freshUntil(evidenceAt: number): number {
  return evidenceAt + freshnessMilliseconds;
}

/** Highest offset that a majority of the voters has applied. */
export function majorityOffset<Voter>(
  voters: readonly Voter[],
  appliedOffsetOf: (voter: Voter) => number,
): number {
  return nthHighest(voters.map(appliedOffsetOf), majorityOf(voters.length));
}
